"""Adapter that runs dandeliondrum on its users' platform.

Translates the platform's settings, request bodies and errors to and from the
types of :mod:`dandeliondrum.jobs`; see docs/PLATFORM.md. The platform's own
field names are used only in this package.
"""
