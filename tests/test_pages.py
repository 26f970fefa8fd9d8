"""Generated or checked parts of the pages match the code."""

import pathlib
import re
import subprocess
import sys

from dandeliondrum import command

ROOT = pathlib.Path(__file__).parent.parent


def test_the_settings_tables_are_up_to_date(tmp_path):
    page = ROOT / 'docs' / 'OPERATIONS.md'
    copy = tmp_path / 'OPERATIONS.md'
    copy.write_text(page.read_text())
    arguments = [sys.executable, '-m', 'dandeliondrum.settings', str(copy)]
    subprocess.run(arguments, cwd=ROOT, check=True, timeout=60)
    assert copy.read_text() == page.read_text()
    assert '| `election_min_ms` |' in page.read_text()


def test_all_exit_codes_are_documented():
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    documented = {int(code) for code in re.findall(r'\n\| (\d+) \|', page)}
    assert documented == set(command.ExitCode)
