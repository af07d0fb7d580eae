"""Asks a backend server which start of it answers."""

from abc import ABC, abstractmethod

from fuchsiacroft.kernel import Service


class StartProbe(Service, ABC):
    """Tells starts of a server apart, where its protocol can."""

    name = "start_probe"

    @abstractmethod
    async def ask(self, backend_server: str, address: str) -> str | None:
        """Return the start that a server tells now, None if it tells none in time."""
