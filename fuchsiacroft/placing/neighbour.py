"""What one failure domain knows of another's room for requests."""

from dataclasses import dataclass

import msgspec

from fuchsiacroft.placing.messages import ServiceRoom

FRESH_S = 0.2
"""How long a domain's room counts after it was told."""


@dataclass(slots=True)
class Neighbour:
    """The room of another domain as told, less what was sent there since."""

    rooms: dict[str, ServiceRoom]
    heard_at: float
    avoid_until: float = 0.0

    def is_known(self, at: float) -> bool:
        """Tell whether what was told is fresh, and the domain answers."""
        return at - self.heard_at <= FRESH_S and at >= self.avoid_until

    def free(self, service: str) -> int:
        """Return the free places of a service."""
        room = self.rooms.get(service)
        return room.free if room is not None else 0

    def urgency(self, service: str, rank: int) -> float | None:
        """Return the rank of who is next there, if a request would go before it.

        Where nobody waits it is infinite.
        """
        room = self.rooms.get(service)
        if room is None:
            return None
        if room.head_rank is None:
            return float("inf")
        return room.head_rank if room.head_rank > rank else None

    def note_sent(self, service: str) -> None:
        """Count a request that asks for a free place."""
        self._change(service, free=self.free(service) - 1)

    def note_full(self, service: str) -> None:
        """Note that there was no free place."""
        self._change(service, free=0)

    def note_waits(self, service: str, rank: int) -> None:
        """Note that a request is next there."""
        self._change(service, head_rank=rank)

    def _change(self, service: str, **changes: int) -> None:
        room = self.rooms.get(service)
        if room is not None:
            self.rooms[service] = msgspec.structs.replace(room, **changes)
