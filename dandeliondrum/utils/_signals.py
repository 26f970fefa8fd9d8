"""Waiting in the main thread for an event that a signal handler sets."""

import threading

# Python runs signal handlers in the main thread, and a signal that another
# thread receives does not wake it.
SIGNAL_POLL_S = 0.5


def wait_for_signal(event: threading.Event) -> None:
    """Wait until a signal handler has set the event."""
    while not event.wait(SIGNAL_POLL_S):
        pass
