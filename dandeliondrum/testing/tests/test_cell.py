"""The error of a test cell that does not become ready in time."""

import pytest

from dandeliondrum import testing


def test_the_error_names_the_state_of_each_process(tmp_path):
    with testing.Cell(tmp_path) as cell:
        cell.add_controllers(1, form=False)
        cell.add_gateways(1)
        cell.processes.wait_ready('g1')
        testing.wait_until(
            lambda: '"started"' in cell.processes.log_tail('g1')
        )
        cell.processes.kill('c1')
        with pytest.raises(AssertionError) as raised:
            cell.wait_ready(0, timeout_ms=500)
    (note,) = raised.value.__notes__
    assert 'c1 ended with -9' in note
    assert 'g1 running' in note and '"started"' in note
