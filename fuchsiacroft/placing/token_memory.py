"""Keeps the tokens of the runs on each server within the server's memory.

It answers load of many large prompts: an engine whose runs need more tokens than its
memory holds preempts some or crashes. A run counts with its prompt and its expected
output from its start. A request that fits nowhere while smaller ones still do is held
a place at one server: requests of its rank or a less urgent one that would take the
room are not placed there. A request larger than the whole memory gets an idle server.
The module does no I/O and gets the time as an argument.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.moving_average import moving_average
from fuchsiacroft.placing.server_load import ServerLoad
from fuchsiacroft.routing.permits import PermitRequest

HOLD_S = 1.0
"""A hold ends this long after its request was last looked at, for instance as it was
placed in another domain or may no longer run on the server."""
SIZE_WEIGHT = 0.05
"""Weight of the newest request in a service's mean tokens."""


@dataclass(frozen=True, slots=True)
class _Hold:
    """Room on a server that is kept for a waiting request."""

    run_id: str
    rank: int
    tokens: int
    until: float


class TokenMemory:
    """The token memory of each service's servers, and the requests that wait for it."""

    def __init__(self) -> None:
        self._capacities: Mapping[str, int] = {}
        self._reporting: set[str] = set()
        self._mean_tokens: dict[str, float] = {}
        self._holds: dict[ServerLoad, _Hold] = {}

    def replace(self, capacities: Mapping[str, int]) -> None:
        """Replace the tokens that a server of each service holds."""
        self._capacities = capacities

    def record_report(self, services: Iterable[str]) -> None:
        """Record that a server of these services reports how long work takes there.

        The memory of all of their servers counts from then on, also of new ones.
        """
        self._reporting.update(services)

    def bounded_free(self, load: ServerLoad, service: str, free: int) -> int:
        """Return how many of its free slots a server can fill with usual requests.

        It is 0 only if no request with tokens fits.
        """
        capacity = self._capacity(load, service)
        if capacity is None or not load.runs:
            return free
        room = capacity - load.tokens
        if room <= 0:
            return 0
        mean_tokens = self._mean_tokens.get(service, 0.0)
        if mean_tokens <= 0.0:
            return free
        return min(free, max(int(room / mean_tokens), 1))

    def mean_fitting(self, service: str) -> float:
        """Return how many runs fit on a server on average, if its memory counts."""
        capacity = self._capacities.get(service)
        mean_tokens = self._mean_tokens.get(service, 0.0)
        if capacity is None or mean_tokens <= 0.0:
            return math.inf
        return max(capacity / mean_tokens, 1.0)

    def is_counted(self, load: ServerLoad, service: str) -> bool:
        """Return whether the memory of a server counts."""
        return service in self._reporting or load.learning.is_active

    def fits(self, load: ServerLoad, request: PlaceRequest, at: float) -> bool:
        """Return whether a request fits on a server now, beside what is held there."""
        permit_request = request.ask
        tokens = permit_request.size.total_tokens
        capacity = self._capacity(load, permit_request.service)
        if capacity is None or not tokens:
            return True
        held = self._held_tokens(load, request, at)
        if not load.runs and not held:
            return True
        return load.tokens + held + tokens <= capacity

    def hold(
        self,
        request: PlaceRequest,
        servers: Iterable[ServerLoad],
        at: float,
        has_slot: Callable[[ServerLoad], bool],
    ) -> None:
        """Keep room for a waiting request at the server that has the most of it.

        Only servers with a free slot lack nothing but room.
        """
        if not self._capacities or not request.ask.size.total_tokens:
            return
        service = request.ask.service
        best, most_room = None, float("-inf")
        for load in servers:
            capacity = self._capacity(load, service)
            if capacity is None or not has_slot(load):
                continue
            hold = self._current(load, at)
            if hold is not None and hold.run_id == request.run_id:
                best = load
                break
            if hold is None and capacity - load.tokens > most_room:
                best, most_room = load, capacity - load.tokens
        if best is not None:
            self._holds[best] = _Hold(
                request.run_id,
                request.ask.rank,
                request.ask.size.total_tokens,
                at + HOLD_S,
            )

    def record_start(self, request: PermitRequest, run_id: str) -> None:
        """Record that a request got a slot."""
        self.release(run_id)
        if self._capacities:
            self._mean_tokens[request.service] = moving_average(
                self._mean_tokens.get(request.service),
                request.size.total_tokens,
                SIZE_WEIGHT,
            )

    def release(self, run_id: str) -> None:
        """Drop what is held for a request."""
        held = [load for load, hold in self._holds.items() if hold.run_id == run_id]
        for load in held:
            del self._holds[load]

    def forget(self, load: ServerLoad) -> None:
        """Drop what is held at a server that is gone."""
        self._holds.pop(load, None)

    def _capacity(self, load: ServerLoad, service: str) -> int | None:
        capacity = self._capacities.get(service)
        if capacity is None:
            return None
        return capacity if self.is_counted(load, service) else None

    def _held_tokens(self, load: ServerLoad, request: PlaceRequest, at: float) -> int:
        """Return what is held at a server for others that a request goes behind."""
        hold = self._current(load, at)
        if hold is None or hold.run_id == request.run_id:
            return 0
        return hold.tokens if request.ask.rank >= hold.rank else 0

    def _current(self, load: ServerLoad, at: float) -> _Hold | None:
        hold = self._holds.get(load)
        if hold is not None and hold.until <= at:
            del self._holds[load]
            return None
        return hold
