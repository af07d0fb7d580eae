"""The peers addresses of entries, by node name."""

from collections.abc import Callable

from fuchsiacroft.config.settings import Settings

LiveAddress = Callable[[str], str | None]


class AddressBook:
    """Knows the live entries of the domain, and those that the settings list.

    `live` returns the address of an entry by the membership, or None.
    """

    def __init__(self, settings: Settings, live: LiveAddress) -> None:
        self._listed = {member.node: member.peers for member in settings.entries}
        self._live = live

    def get(self, node: str) -> str | None:
        """Return the address of an entry, or None if it is not known."""
        return self._live(node) or self._listed.get(node)


def create(settings: Settings, live: LiveAddress | None = None) -> AddressBook:
    """Return the addresses known to an entry."""
    return AddressBook(settings, live or (lambda node: None))
