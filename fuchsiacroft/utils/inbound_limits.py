"""Decides which bytes and connections of untrusted clients a process accepts.

It handles clients that send heads or framing without end, or that open many
connections and leave them idle. Nothing here does I/O.
"""

import resource
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from fuchsiacroft.config import defaults

MAX_OVERHEAD_BYTES = defaults.MAX_FRAMING_BYTES
"""Bytes of a message besides its body: head, interim heads, framing and trailers."""
MAX_OVERHEAD_RATIO = 16
"""Further bytes of framing for each byte of the body; chunks may be small."""
STEP_BYTES = 2 * 1024
"""Bytes that are parsed at a time until the head of a message has come."""
BODY_STEP_BYTES = 16 * 1024
"""Bytes of a body that are parsed at a time; heads may follow in the same bytes."""
FILES_RESERVE = 200
"""Descriptors that are left for files."""
UNLIMITED_DESCRIPTORS = 65_536
CALLERS_SHARE = 0.5
"""Part of the descriptors for callers; each may have a backend server's beside it."""
LISTENER_SHARE = 0.1
MIN_CONNECTIONS = 16
TLS_HANDSHAKE_TIMEOUT_S = 10.0
"""A connection counts only once its handshake is complete."""
NEW_GRACE_S = 1.0
"""A connection that has sent no request in that time is closed before others."""
MAX_CANDIDATES = 64
"""Connections that are examined to make room for one, which bounds the work."""

Connection = TypeVar("Connection")


@dataclass(frozen=True, slots=True)
class InboundLimits:
    """What one listening address accepts.

    `max_head_bytes` counts from the end of the last request, with empty lines.
    `max_queued_bytes` and `max_pipelined_requests` limit what waits on a connection
    behind the request that is served. `max_held_bytes` limits what all connections
    have received beyond that. A read of `max_read_bytes` is the last one of its
    connection in one iteration of the event loop. `max_turn_framing_bytes` of the
    framing of bodies are parsed in one iteration, for all connections together.
    """

    max_connections: int
    max_connections_per_address: int | None = None
    max_head_bytes: int = defaults.MAX_HEAD_BYTES
    max_framing_bytes: int = defaults.MAX_FRAMING_BYTES
    max_read_bytes: int = defaults.MAX_READ_BYTES
    max_turn_framing_bytes: int = defaults.MAX_TURN_FRAMING_BYTES
    max_pipelined_requests: int = defaults.MAX_PIPELINED_REQUESTS
    max_queued_bytes: int = defaults.MAX_QUEUED_BYTES
    max_held_bytes: int = defaults.MAX_HELD_BYTES
    head_timeout_s: float = defaults.HEAD_TIMEOUT_S


def connections_of(descriptors: int, share: float) -> int:
    """Return the connections for a share of the descriptors that files leave."""
    return max(int((descriptors - FILES_RESERVE) * share), MIN_CONNECTIONS)


def own_connections(share: float) -> int:
    """Return the connections for a share of what this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = UNLIMITED_DESCRIPTORS
    return connections_of(soft, share)


class FramingMeter:
    """Counts the bytes of one message that are not its body."""

    def __init__(self, max_overhead_bytes: int = MAX_OVERHEAD_BYTES) -> None:
        self._max_overhead_bytes = max_overhead_bytes
        self.received_bytes = 0

    def reset(self) -> None:
        """Begin to count anew, as a message has come or its body begins."""
        self.received_bytes = 0

    def add(self, count: int) -> None:
        """Count received bytes, of the body too."""
        self.received_bytes += count

    def would_exceed(self, count: int) -> bool:
        """Return whether so many further bytes would be too much without a body."""
        return self.received_bytes + count > self._max_overhead_bytes

    def is_exceeded(self, body_bytes: int = 0) -> bool:
        """Return whether there is too much framing for a body of this size."""
        allowed = self._max_overhead_bytes + (1 + MAX_OVERHEAD_RATIO) * body_bytes
        return self.received_bytes > allowed


class HeldBytes:
    """Counts what all connections have received and not parsed yet.

    That includes heads that have come in part.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.count = 0

    def has_room(self, before: int, after: int) -> bool:
        """Return whether a connection may hold so many bytes, in place of others."""
        return after <= before or self.count + after - before <= self._max_bytes

    def change(self, before: int, after: int) -> bool:
        """Count a connection's bytes; return false if there is no room for more."""
        if not self.has_room(before, after):
            return False
        self.count += after - before
        return True


class ConnectionTable(Generic[Connection]):
    """Admits connections, and chooses which is closed where there are too many.

    It handles a crowd that opens connections and sends nothing, or heads that never
    end. Closed first is the oldest that has sent no request for `NEW_GRACE_S`, then
    the one that has been idle for longest, then the oldest new one. Progress of a
    head counts for nothing, as bytes that trickle cost a client nothing. One that
    is served is never closed.
    """

    def __init__(self, max_total: int, max_per_address: int | None = None) -> None:
        self.max_total = max_total
        self._max_per_address = max_per_address or max_total
        self._addresses: dict[Connection, str] = {}
        self._counts: Counter[str] = Counter()
        # Both are ordered by the time at which a connection began to wait.
        self._new: dict[Connection, float] = {}
        self._idle: dict[Connection, float] = {}

    def __len__(self) -> int:
        """Return the number of connections that are accepted and not closed."""
        return len(self._addresses)

    def admit(
        self,
        conn: Connection,
        address: str,
        now: float,
        may_close: Callable[[Connection], bool],
    ) -> tuple[bool, Connection | None]:
        """Return whether a connection is accepted, and which one is closed for it.

        `may_close` says whether a connection that waits has received nothing more.
        """
        closed = None
        is_address_full = self._counts[address] >= self._max_per_address
        if is_address_full or len(self) >= self.max_total:
            closed = self._choose(address if is_address_full else None, now, may_close)
            if closed is None:
                self._forget_address(address)
                return False, None
            self.remove(closed)
        self._addresses[conn] = address
        self._counts[address] += 1
        self._new[conn] = now
        return True, closed

    def begin_request(self, conn: Connection) -> None:
        """Record that a request has come, so that the connection is in use."""
        self._new.pop(conn, None)
        self._idle.pop(conn, None)

    def end_request(self, conn: Connection, now: float) -> None:
        """Record that a connection waits for its next request."""
        if conn in self._addresses:
            self._idle.pop(conn, None)
            self._idle[conn] = now

    def remove(self, conn: Connection) -> None:
        """Forget a connection that is closed."""
        address = self._addresses.pop(conn, None)
        if address is None:
            return
        self.begin_request(conn)
        self._counts[address] -= 1
        self._forget_address(address)

    def _forget_address(self, address: str) -> None:
        if not self._counts[address]:
            del self._counts[address]

    def _choose(
        self,
        address: str | None,
        now: float,
        may_close: Callable[[Connection], bool],
    ) -> Connection | None:
        examined = 0
        for conn in self._in_order(now):
            if address is not None and self._addresses[conn] != address:
                continue
            if may_close(conn):
                return conn
            examined += 1
            if examined >= MAX_CANDIDATES:
                return None
        return None

    def _in_order(self, now: float) -> Iterator[Connection]:
        for conn, since in self._new.items():
            if now - since < NEW_GRACE_S:
                break
            yield conn
        yield from self._idle
        for conn, since in self._new.items():
            if now - since < NEW_GRACE_S:
                yield conn
