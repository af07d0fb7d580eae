"""How many requests a second backend servers take from all VMs together.

A server names its limit in its answers for as long as it holds. Answers cross each
other, and what they say reaches a VM in any order. Unless a statement is certainly
older than what is known, the lower limit counts. So a limit rises or ends only with
an answer to a request that was sent after the limit was last named.

A limit belongs to one instance of a server. The module does no I/O and gets the time
as an argument; times are on the event loop's clock.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fuchsiacroft.membership.server_notices import ServerInstance

UNLIMITED = math.inf
"""The limit of a server that names none, in requests per second."""
RETENTION_S = 60.0
"""An ended limit, or that of a server which is gone, is kept this long, so that no
older statement that arrives late puts it in force again."""
MAX_LIMITS = 20_000
"""The oldest limits are forgotten beyond this number."""


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What an answer said of its server's limit.

    The server said it between `sent_at`, when the request was sent, and `received_at`.
    """

    per_s: float
    sent_at: float
    received_at: float

    def replaces(self, known: "LimitStatement") -> bool:
        """Return whether this statement counts in place of a known one."""
        if self.per_s > known.per_s:
            return self.sent_at >= known.received_at
        if self.per_s == known.per_s:
            return self.received_at > known.received_at
        return self.received_at > known.sent_at


class ServerLimits:
    """The limits of backend servers as this VM knows them."""

    def __init__(self) -> None:
        self._known: dict[ServerInstance, LimitStatement] = {}
        self._limited: set[ServerInstance] = set()

    @property
    def is_empty(self) -> bool:
        """Whether no server has a limit now."""
        return not self._limited

    def dump(self) -> dict[str, float]:
        """Return the limits in force, in requests per second."""
        return {server.name: self._known[server].per_s for server in self._limited}

    def record(self, server: ServerInstance, statement: LimitStatement) -> bool:
        """Record a statement; return whether the server's limit has changed."""
        known = self._known.get(server)
        if known is not None and not statement.replaces(known):
            return False
        known_per_s = self.per_s(server)
        self._known.pop(server, None)
        self._known[server] = statement
        self._mark(server, statement)
        while len(self._known) > MAX_LIMITS:
            self._remove(next(iter(self._known)))
        return statement.per_s != known_per_s

    def per_s(self, server: ServerInstance) -> float:
        """Return the limit of a server, `UNLIMITED` if it names none."""
        if server not in self._limited:
            return UNLIMITED
        return self._known[server].per_s

    def statement(self, server: ServerInstance) -> LimitStatement | None:
        """Return the statement that counts for a server."""
        return self._known.get(server)

    def statements(self) -> Iterator[tuple[ServerInstance, LimitStatement]]:
        """Return what counts for each server, limits that ended lately included."""
        return iter(self._known.items())

    def carry_over(
        self, server: ServerInstance, successor: ServerInstance, since: float
    ) -> None:
        """Let a limit that may be of the next start, as of a time, hold for it."""
        statement = self._known.get(server)
        if statement is not None and statement.received_at >= since:
            self.record(successor, statement)

    def forget(self, is_current: Callable[[ServerInstance], bool], at: float) -> None:
        """Drop old statements of limits that ended or whose servers are gone."""
        oldest = at - RETENTION_S
        old = [
            server
            for server, statement in self._known.items()
            if statement.received_at < oldest
            and not (server in self._limited and is_current(server))
        ]
        for server in old:
            self._remove(server)

    def _mark(self, server: ServerInstance, statement: LimitStatement) -> None:
        if statement.per_s == UNLIMITED:
            self._limited.discard(server)
        else:
            self._limited.add(server)

    def _remove(self, server: ServerInstance) -> None:
        del self._known[server]
        self._limited.discard(server)
