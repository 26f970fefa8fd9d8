"""The ``demo`` command, which runs a cell in this process."""

import dataclasses
import json

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _report

LENGTH_MAX_S = 3_600


def demo(length_s: int, seed: int, folder: str) -> _report.Report:
    """Run the demo, print its progress, and report its tables."""
    # Imported here, because the daemons do not need it.
    from dandeliondrum import embedded

    if not 1 <= length_s <= LENGTH_MAX_S:
        return _report.Report(
            _exit_code.ExitCode.USAGE,
            note=f'--length-s takes 1 to {LENGTH_MAX_S}, found {length_s}',
        )
    options = embedded.DemoOptions(length_s=length_s, seed=seed, folder=folder)
    outcome = embedded.run(options, on_progress=_print_progress)
    code = _exit_code.ExitCode.REFUSED
    if embedded.passed(outcome.summary):
        code = _exit_code.ExitCode.DONE
    summary = dataclasses.asdict(outcome.summary)
    return _report.Report(
        code, text=f'\n{outcome.tables}\n\n{json.dumps(summary)}', data=summary
    )


def _print_progress(line: str) -> None:
    print(line, flush=True)
