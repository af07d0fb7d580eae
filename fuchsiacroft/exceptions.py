"""Exceptions that stop a process; other failures are returned as values."""


class InvariantError(Exception):
    """An invariant was violated, so the process must stop."""


class SettingsError(Exception):
    """A process cannot start with its settings."""
