"""Settings of the garbage collector for processes that run for long."""

import gc

# Net allocations before a collection of the youngest generation, and
# collections of one generation before one of the next.
YOUNG_ALLOCATIONS_COUNT = 10_000
COLLECTIONS_PER_GENERATION = 10


def limit_collections() -> None:
    """Collect garbage more rarely, and never look at present objects again.

    Reference counting frees nearly all objects. A full collection looks at
    each record that the process holds, while all its threads wait. To be
    called once, when the process has started.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        YOUNG_ALLOCATIONS_COUNT,
        COLLECTIONS_PER_GENERATION,
        COLLECTIONS_PER_GENERATION,
    )
