"""Reasons for which a start does not go on."""


class NotStartedError(Exception):
    """A program can't start; the message says why."""


class NotReadyError(Exception):
    """Something that a start needs is not available yet; says why."""


class StopRequestedError(Exception):
    """A signal asks a program to stop while it starts."""
