"""Resolves the peer addresses of entries by node name."""

from collections.abc import Callable

from fuchsiacroft.config.settings import Settings

LiveAddress = Callable[[str], str | None]


class AddressBook:
    """Resolves live entries of the domain, and entries listed in the settings.

    `live` returns the address of an entry known to the membership, or None.
    """

    def __init__(self, settings: Settings, live: LiveAddress) -> None:
        self._listed = {member.node: member.peers for member in settings.entries}
        self._live = live

    def get(self, node: str) -> str | None:
        """Return the address of an entry, or None if it is not known."""
        return self._live(node) or self._listed.get(node)


def create(settings: Settings, live: LiveAddress | None = None) -> AddressBook:
    """Create the address book of an entry."""
    return AddressBook(settings, live or (lambda node: None))
