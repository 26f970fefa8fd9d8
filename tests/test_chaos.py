"""Random faults from fixed seeds; any seed can be run with `make chaos`."""

import pytest

from dandeliondrum import testing

LENGTH_S = 12


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_no_invariant_is_violated_under_random_faults(tmp_path, seed):
    outcome = testing.run_chaos(tmp_path, seed, LENGTH_S)
    assert outcome.answered_count > 0
    assert outcome.violations == (), outcome.faults
