"""The configurations in the log; the last one takes effect when it is appended."""

import bisect

from fuchsiacroft.control import records
from fuchsiacroft.control.records import Configuration, Entry
from fuchsiacroft.control.recovery import Recovered

CONFIGURATION_KIND = "configuration"
EMPTY_CONFIGURATION = Configuration("", ())


class ConfigurationHistory:
    """The configurations in the log, by the index of their entry."""

    def __init__(self) -> None:
        self._indexes: list[int] = []
        self._items: list[Configuration] = []

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._items[-1] if self._items else EMPTY_CONFIGURATION

    @property
    def index(self) -> int:
        """Return the log index of the configuration in force."""
        return self._indexes[-1] if self._indexes else 0

    @property
    def possible_leaders(self) -> set[str]:
        """Return the voters of the last two configurations in the log.

        A configuration is appended only once the one before it is committed. A
        member that a committed change removed can't lead any more, so the voters of
        earlier configurations don't matter.
        """
        recent = self._items[-2:]
        return {voter.identity for item in recent for voter in item.voters()}

    def reset(self, index: int, configuration: Configuration) -> None:
        """Replace the history by one configuration."""
        self._indexes = [index]
        self._items = [configuration]

    def clear(self) -> None:
        """Remove all configurations."""
        self._indexes = []
        self._items = []

    def append_entry(self, entry: Entry) -> None:
        """Add the configuration that an appended entry carries, if any."""
        if entry.kind == CONFIGURATION_KIND:
            self._indexes.append(entry.index)
            self._items.append(records.decode_configuration(entry.body))

    def truncate(self, index: int) -> None:
        """Remove the configurations at and after an index."""
        keep = bisect.bisect_left(self._indexes, index)
        del self._indexes[keep:]
        del self._items[keep:]

    def at_index(self, index: int) -> tuple[int, Configuration]:
        """Return the log index and the configuration in force at `index`.

        Before the first configuration, these are 0 and `EMPTY_CONFIGURATION`.
        """
        position = bisect.bisect_right(self._indexes, index) - 1
        if position < 0:
            return 0, EMPTY_CONFIGURATION
        return self._indexes[position], self._items[position]


def recovered_configuration(state: Recovered) -> Configuration:
    """Return the configuration in force in a recovered state."""
    configuration = EMPTY_CONFIGURATION
    if state.snapshot is not None:
        configuration = state.snapshot.configuration
    for entry in state.entries:
        if entry.kind == CONFIGURATION_KIND:
            configuration = records.decode_configuration(entry.body)
    return configuration
