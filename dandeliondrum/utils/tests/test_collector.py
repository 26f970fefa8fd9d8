"""Pauses by the garbage collector."""

import gc

import pytest

from dandeliondrum import utils


@pytest.fixture(autouse=True)
def restored():
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)


def _full_collections():
    return gc.get_stats()[2]['collections']


def test_objects_that_are_kept_cause_no_full_collections():
    utils.limit_collections()
    before = _full_collections()
    kept = [[number] for number in range(400_000)]
    assert _full_collections() == before
    assert len(kept) == 400_000


def test_cyclic_garbage_is_still_freed():
    utils.limit_collections()
    gc.collect()
    for _ in range(100_000):
        cycle = []
        cycle.append(cycle)
    assert len(gc.get_objects()) < 50_000
