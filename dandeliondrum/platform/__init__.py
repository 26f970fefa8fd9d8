"""Runs dandeliondrum on the platform of its first users.

Translates the platform's settings, bodies and errors into types of
:mod:`dandeliondrum.jobs`; see docs/PLATFORM.md. Nothing outside this package
knows the platform's names.
"""
