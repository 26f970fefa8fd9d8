"""The command line as its users see it."""

import sys

import fire

from dandeliondrum.command import _arguments
from dandeliondrum.command import _controllers_commands
from dandeliondrum.command import _daemon
from dandeliondrum.command import _demo
from dandeliondrum.command import _fleet_actions
from dandeliondrum.command import _gateways
from dandeliondrum.command import _keys_commands
from dandeliondrum.command import _report
from dandeliondrum.command import _rules_commands
from dandeliondrum.command import _settings_commands
from dandeliondrum.command import _submit
from dandeliondrum.command import _why

NAME = 'dandeliondrum'
REFRESH_MS = 1_000


class Commands:
    """Runs and operates dandeliondrum, a cluster scheduler.

    Exit codes: 0 done; 1 refused, or a problem was found; 2 wrong usage;
    3 in doubt, the answer was lost; 4 no gateway or controller that serves
    could be reached, and nothing was done; 70 a daemon's invariant is broken.

    Commands for operators ask the gateways of --gateways, or of the variable
    DANDELIONDRUM_GATEWAYS, and show the key of --key-file, or of
    DANDELIONDRUM_OPERATOR_KEY. "COMMAND --help" explains a command.
    """

    def __init__(self) -> None:
        self.settings = _settings_commands.SettingsCommands()
        self.rules = _rules_commands.RulesCommands()
        self.keys = _keys_commands.KeysCommands()
        self.controllers = _controllers_commands.ControllersCommands()

    @_arguments.typed
    def run(self, role: str, *, settings: str) -> _report.Command:
        """Run a daemon until SIGTERM or SIGINT, which stop it gracefully.

        Exits with 0 after a stop, and with 1 when the settings have a
        problem or the daemon can't start.

        Args:
          role: One of controller, gateway, worker.
          settings: Its settings file.
        """
        return _report.Command(lambda: _daemon.run(role, settings))

    @_arguments.typed
    def demo(
        self, *, length_s: int = 20, seed: int = 1, folder: str = ''
    ) -> _report.Command:
        """Run a whole cell in this process, lose its leader, and count.

        Prints its progress, tables, and last a line of JSON. Exits with 0
        when workers and callers saw nothing that must never happen, else
        with 1.

        Args:
          length_s: For how long work is submitted, in s.
          seed: What the work is drawn from.
          folder: Folder for data and log, which are kept there.
        """
        return _report.Command(lambda: _demo.demo(length_s, seed, folder))

    @_arguments.typed
    def status(
        self, *, gateways: str = '', key_file: str = '', json: bool = False
    ) -> _report.Command:
        """Show who leads, the controllers, the gateways and the teams.

        Args:
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON, workers included.
        """
        return _report.Command(
            lambda: _fleet_actions.status(
                _gateways.connect(gateways, key_file)
            ),
            json,
        )

    @_arguments.typed
    def top(
        self,
        *,
        every_ms: int = REFRESH_MS,
        rounds: int = 0,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Show the fleet again and again, the fullest workers first.

        Args:
          every_ms: Time between two views, in ms.
          rounds: Views to show; 0 goes on until interrupted.
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print one line of JSON for each view.
        """
        return _report.Command(
            lambda: _fleet_actions.top(
                _gateways.connect(gateways, key_file), every_ms, rounds, json
            ),
            json,
        )

    @_arguments.typed
    def drain(
        self,
        worker: str,
        *,
        operator: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Give a worker no new tasks; what runs there ends by itself.

        Args:
          worker: The id of the worker.
          operator: Who drains; by default the login name.
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _fleet_actions.drain(
                _gateways.connect(gateways, key_file),
                worker,
                operator or _gateways.login_name(),
            ),
            json,
        )

    @_arguments.typed
    def explain(
        self,
        task: str,
        *,
        team: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Show what was decided about a task, when, and why.

        Args:
          task: TEAM/REQUEST_ID, or the request id together with --team.
          team: The team of the task.
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _fleet_actions.explain(
                _gateways.connect(gateways, key_file), task, team
            ),
            json,
        )

    @_arguments.typed
    def submit(
        self,
        queue: str,
        *,
        team: str = '',
        body: str = '',
        file: str = '',
        output: str = '',
        request_id: str = '',
        task_class: str = '',
        idempotent: bool = False,
        timeout_ms: int = 60_000,
        expected_run_ms: int = 0,
        cpu_millicores: int = 0,
        memory_mb: int = 0,
        accelerators_count: int = 0,
        region: str = '',
        callers: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Submit one task as a caller does, and wait for its answer.

        The body is --body, or --file, or standard input. The key is that of
        --key-file or of the variable DANDELIONDRUM_KEY. Exits with 0 for an
        answer, 1 when the task failed or was refused and not run, 3 when
        that is in doubt, 4 when nothing was sent.

        Args:
          queue: The queue.
          team: The team; may be left out on some open queues.
          body: The body of the request.
          file: File with the body of the request.
          output: File for the answer; otherwise it is printed.
          request_id: The id of the task; made up unless given.
          task_class: urgent or batch; by default batch.
          idempotent: True when the task may run twice without harm.
          timeout_ms: Time until the answer must be there, in ms.
          expected_run_ms: Expected run time, in ms.
          cpu_millicores: Processors; 1000 are one core.
          memory_mb: Memory, in MB.
          accelerators_count: Accelerators.
          region: Region to run in.
          callers: callers_address of gateways, with commas between them, or
            the variable DANDELIONDRUM_CALLERS.
          key_file: File with the team's key.
          json: Print JSON, with the answer in base64.
        """
        given = dict(locals())

        def action() -> _report.Report:
            return _submit.submit(_submit.from_flags(given))

        return _report.Command(action, json)

    @_arguments.typed
    def why(self, request: str, *, json: bool = False) -> _report.Command:
        """Show what log lines on standard input say about a request.

        Takes the lines of any number of processes in any order. Shows those
        about the request, and changes of leaders and workers in its time.
        Exits with 1 when no line names the request.

        Args:
          request: The id of the request or job.
          json: Print JSON.
        """
        return _report.Command(lambda: _why.report(request, sys.stdin), json)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line; ends with one of the exit codes."""
    words = sys.argv[1:] if arguments is None else arguments
    command = fire.Fire(
        Commands(),
        command=_arguments.prepared(words),
        name=NAME,
        serialize=_unprinted,
    )
    if not isinstance(command, _report.Command):
        sys.exit(_report.ExitCode.USAGE)
    sys.exit(_report.execute(command))


def _unprinted(component: object) -> object:
    """Keep a command from being printed; it prints when it runs."""
    return None if isinstance(component, _report.Command) else component
