"""Exceptions that stop a process; every other outcome is a value."""


class InvariantError(Exception):
    """An invariant of the system is broken, so the process must stop."""


class SettingsError(Exception):
    """A process cannot start with the settings it was given."""
