"""Index of the prompt prefixes cached by each backend server.

It has two sources: the prefixes of runs dispatched by this entry, and the cache
events that engines publish, with delays and gaps. After a gap, the data of that
engine is trusted less, and a little more with each event that follows.
"""

from collections import OrderedDict

from fuchsiacroft.membership.announcement import CacheEvent
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.clock import now

TOKENS_PER_BLOCK = 256
RETENTION_S = 300.0
MAX_PREFIXES = 50_000
TRUST_AFTER_GAP = 0.5
TRUST_REGAINED = 0.1


class PrefixIndex:
    """Maps prefix digests to backend servers and the time last seen there."""

    def __init__(self) -> None:
        self._seen_at: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._last_event_numbers: dict[str, int] = {}
        self._trust: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many prefixes are known."""
        return len(self._seen_at)

    def record_run(self, request: PermitRequest, backend_server: str) -> None:
        """Record that a run has cached its prefixes."""
        for prefix in request.prefixes:
            self._record(prefix, backend_server)

    def record_events(
        self, backend_server: str, events: tuple[CacheEvent, ...]
    ) -> None:
        """Apply the cache events of one announcement."""
        for event in events:
            last = self._last_event_numbers.get(backend_server)
            if last is not None and event.number <= last:
                continue
            self._record_event_number(backend_server, event.number, last)
            if event.cached:
                self._record(event.prefix, backend_server)
            else:
                self._seen_at.get(event.prefix, {}).pop(backend_server, None)

    def remove_server(self, backend_server: str) -> None:
        """Drop the data of a removed backend server."""
        self._last_event_numbers.pop(backend_server, None)
        self._trust.pop(backend_server, None)
        for servers in self._seen_at.values():
            servers.pop(backend_server, None)

    def cached_tokens(self, request: PermitRequest, backend_server: str) -> int:
        """Return the number of prompt tokens likely to be cached there."""
        for i in range(len(request.prefixes), 0, -1):
            seen_at = self._seen_at.get(request.prefixes[i - 1], {}).get(backend_server)
            if seen_at is not None and now() - seen_at < RETENTION_S:
                trust = self._trust.get(backend_server, 1.0)
                return int(i * TOKENS_PER_BLOCK * trust)
        return 0

    def holders(self, request: PermitRequest) -> set[str]:
        """Return the backend servers that cache the longest known prefix."""
        for prefix in reversed(request.prefixes):
            servers = self._seen_at.get(prefix)
            if servers:
                return set(servers)
        return set()

    def _record_event_number(
        self, backend_server: str, number: int, last: int | None
    ) -> None:
        self._last_event_numbers[backend_server] = number
        trust = self._trust.get(backend_server, 1.0)
        if last is not None and number != last + 1:
            trust = TRUST_AFTER_GAP
        self._trust[backend_server] = min(1.0, trust + TRUST_REGAINED)

    def _record(self, prefix: int, backend_server: str) -> None:
        servers = self._seen_at.get(prefix)
        if servers is None:
            servers = self._seen_at[prefix] = {}
            if len(self._seen_at) > MAX_PREFIXES:
                self._seen_at.popitem(last=False)
        else:
            self._seen_at.move_to_end(prefix)
        servers[backend_server] = now()
