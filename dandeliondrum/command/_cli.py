"""The commands, flags and help texts of the command line."""

import sys

import fire

from dandeliondrum.command import _arguments
from dandeliondrum.command import _controllers_commands
from dandeliondrum.command import _daemon
from dandeliondrum.command import _demo
from dandeliondrum.command import _domains_commands
from dandeliondrum.command import _exit_code
from dandeliondrum.command import _fleet_actions
from dandeliondrum.command import _gateways
from dandeliondrum.command import _keys_commands
from dandeliondrum.command import _report
from dandeliondrum.command import _rules_commands
from dandeliondrum.command import _settings_commands
from dandeliondrum.command import _submit
from dandeliondrum.command import _why

NAME = 'dandeliondrum'
DEFAULT_REFRESH_MS = 1_000


class Commands:
    """Runs and operates dandeliondrum, a cluster scheduler.

    Exit codes: 0 done; 1 refused, or a problem was found; 2 wrong usage;
    3 in doubt, the answer was lost; 4 no serving gateway or controller could
    be reached, and nothing was done; 70 a daemon's invariant is broken.

    Operator commands call the gateways given by --gateways or the variable
    DANDELIONDRUM_GATEWAYS, with the key from --key-file or the variable
    DANDELIONDRUM_OPERATOR_KEY. "COMMAND --help" explains a command.
    """

    def __init__(self) -> None:
        self.settings = _settings_commands.SettingsCommands()
        self.rules = _rules_commands.RulesCommands()
        self.keys = _keys_commands.KeysCommands()
        self.controllers = _controllers_commands.ControllersCommands()
        self.domains = _domains_commands.DomainsCommands()

    @_arguments.convert_arguments
    def run(self, role: str, *, settings: str) -> _report.Command:
        """Run a daemon until SIGTERM or SIGINT stops it gracefully.

        Exits with 0 after a graceful stop, also during the start, and with 1
        when the settings are invalid or the daemon can't start. SIGHUP is
        logged; settings are read only at a start.

        Args:
          role: One of controller, gateway, worker.
          settings: Its settings file.
        """
        return _report.Command(lambda: _daemon.run(role, settings))

    @_arguments.convert_arguments
    def demo(
        self, *, length_s: int = 20, seed: int = 1, folder: str = ''
    ) -> _report.Command:
        """Run a demo cell in this process, and lose its leader midway.

        Prints its progress, tables of the results, and a final line of JSON.
        Exits with 0 when no invariant was violated, else with 1.

        Args:
          length_s: How long work is submitted, in s.
          seed: Seed of the random workload.
          folder: Folder in which data and log are kept.
        """
        return _report.Command(lambda: _demo.demo(length_s, seed, folder))

    @_arguments.convert_arguments
    def status(
        self, *, gateways: str = '', key_file: str = '', json: bool = False
    ) -> _report.Command:
        """Show the leader, the controllers, the gateways and the teams.

        Args:
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON, workers included.
        """
        return _report.Command(
            lambda: _fleet_actions.status(
                _gateways.connect(gateways, key_file)
            ),
            json,
        )

    @_arguments.convert_arguments
    def top(
        self,
        *,
        every_ms: int = DEFAULT_REFRESH_MS,
        rounds: int = 0,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Show the fleet repeatedly, the fullest workers first.

        Args:
          every_ms: Time between two refreshes, in ms.
          rounds: Number of refreshes; 0 runs until interrupted.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print one line of JSON for each view.
        """
        return _report.Command(
            lambda: _fleet_actions.top(
                _gateways.connect(gateways, key_file), every_ms, rounds, json
            ),
            json,
        )

    @_arguments.convert_arguments
    def drain(
        self,
        worker: str,
        *,
        operator: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Assign no new tasks to a worker; its running tasks finish.

        Args:
          worker: The id of the worker.
          operator: The operator's name; by default the login name.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
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

    @_arguments.convert_arguments
    def explain(
        self,
        task: str,
        *,
        team: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Show the scheduling decisions about a task, with times and reasons.

        Args:
          task: TEAM/REQUEST_ID, or the request id together with --team.
          team: The team of the task.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _fleet_actions.explain(
                _gateways.connect(gateways, key_file), task, team
            ),
            json,
        )

    @_arguments.convert_arguments
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

        The body comes from --body, --file or standard input, the key from
        --key-file or the variable DANDELIONDRUM_KEY. Exits with 0 for an
        answer, 1 when the task failed or was refused and not run, 3 when
        the outcome is in doubt, 4 when nothing was sent.

        Args:
          queue: The queue.
          team: The team; optional on some open queues.
          body: The body of the request.
          file: File with the body of the request.
          output: File for the answer; otherwise it is printed.
          request_id: The id of the task; generated by default.
          task_class: urgent or batch; by default batch.
          idempotent: Whether the task may safely run more than once.
          timeout_ms: Time limit for the answer, in ms.
          expected_run_ms: Expected run time, in ms.
          cpu_millicores: Required CPU in millicores; 1000 are one core.
          memory_mb: Required memory, in MB.
          accelerators_count: Required accelerators.
          region: Region to run in.
          callers: callers_address of gateways, separated by commas; by
            default from the variable DANDELIONDRUM_CALLERS.
          key_file: File with the team's key.
          json: Print JSON, with the answer in base64.
        """
        flags = dict(locals())

        def action() -> _report.Report:
            return _submit.submit(_submit.from_flags(flags))

        return _report.Command(action, json)

    @_arguments.convert_arguments
    def why(self, request: str, *, json: bool = False) -> _report.Command:
        """Show the log lines on standard input that concern a request.

        Accepts lines of any number of processes in any order. Shows those
        about the request, and leader and worker changes during its lifetime.
        Exits with 1 when no line names the request.

        Args:
          request: The id of the request or job.
          json: Print JSON.
        """
        return _report.Command(lambda: _why.report(request, sys.stdin), json)


def run(words: list[str]) -> int:
    """Run the command that the arguments name and return its exit code.

    Raises SystemExit for wrong usage and for help.
    """
    command = fire.Fire(
        Commands(),
        command=_arguments.quote_arguments(words),
        name=NAME,
        serialize=_suppress_command,
    )
    if not isinstance(command, _report.Command):
        return _exit_code.ExitCode.USAGE
    return _report.execute(command)


def _suppress_command(component: object) -> object:
    """Hide a parsed command from Fire; it prints its output when it runs."""
    return None if isinstance(component, _report.Command) else component
