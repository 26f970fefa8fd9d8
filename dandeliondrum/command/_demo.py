"""The demo: a whole cell in this process."""

import dataclasses
import json

from dandeliondrum.command import _report

LENGTH_MAX_S = 3_600


def demo(length_s: int, seed: int, folder: str) -> _report.Report:
    """Run the demo, print its progress, and report its tables."""
    # The roles that run alone need none of this.
    from dandeliondrum import embedded

    if not 1 <= length_s <= LENGTH_MAX_S:
        return _report.Report(
            _report.ExitCode.USAGE,
            note=f'--length-s takes 1 to {LENGTH_MAX_S}, found {length_s}',
        )
    options = embedded.DemoOptions(length_s=length_s, seed=seed, folder=folder)
    ended = embedded.run(options, show=_show)
    code = _report.ExitCode.REFUSED
    if embedded.passed(ended.summary):
        code = _report.ExitCode.DONE
    summary = dataclasses.asdict(ended.summary)
    return _report.Report(
        code, text=f'\n{ended.tables}\n\n{json.dumps(summary)}', data=summary
    )


def _show(line: str) -> None:
    print(line, flush=True)
