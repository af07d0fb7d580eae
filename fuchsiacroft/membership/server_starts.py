"""Which starts of backend servers are certain, of those that this VM knows.

What is known of a server, like the version of its software, holds for one start of it.
A server whose run was lost, or that could not be connected to, may have started again
under its name before that is known here. Its start is certain again if a run that was
sent there before goes on afterwards, or if the control members list the same start
for so long that a heartbeat from after the loss has come. Another start is another
instance, which is certain. The module does no I/O and gets the time as an argument.
"""

import math
from dataclasses import dataclass

from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.utils.bounded import set_newest

SETTLING_S = 0.3
"""All connections of a server that has ended are lost, and known to be, within it."""
LATE_HEARTBEATS = 4.0
"""Heartbeat periods by which a heartbeat may be late, and a server silent."""
LIST_DELAY_S = 5.0
"""A server that control members no longer list is dropped by every VM within it."""
DEFAULT_HEARTBEAT_S = 1.0
MAX_DOUBTS = 20_000
"""The oldest doubts are forgotten beyond this number."""


@dataclass(frozen=True, slots=True)
class Doubt:
    """A start is uncertain: it was alive at `since`, and seemed lost until `latest`."""

    since: float
    latest: float


class ServerStarts:
    """The starts of backend servers that are not certain."""

    def __init__(self) -> None:
        self._doubts: dict[ServerInstance, Doubt] = {}
        self._unlisted_at = -math.inf
        self.set_heartbeat_s(DEFAULT_HEARTBEAT_S)

    def set_heartbeat_s(self, heartbeat_s: float) -> None:
        """Set the heartbeat period of backend servers."""
        self._listed_s = 2 * LATE_HEARTBEATS * heartbeat_s + LIST_DELAY_S

    def dump(self) -> list[str]:
        """Return the servers whose start is not certain."""
        return sorted(server.name for server in self._doubts)

    @property
    def is_empty(self) -> bool:
        """Whether all starts are certain."""
        return not self._doubts

    def is_certain(
        self, server: ServerInstance, at: float, sent_at: float = math.inf
    ) -> bool:
        """Return whether a request reaches this start, or did if sent at `sent_at`."""
        doubt = self.doubt(server, at)
        return doubt is None or sent_at < doubt.since

    def doubt(self, server: ServerInstance, at: float) -> Doubt | None:
        """Return why a start is not certain, None if it is."""
        doubt = self._doubts.get(server)
        if doubt is None:
            return None
        if at < max(doubt.latest, self._unlisted_at) + self._listed_s:
            return doubt
        del self._doubts[server]
        return None

    def record_loss(self, server: ServerInstance, alive_at: float, at: float) -> bool:
        """Record that a run was lost, or a connection refused, at `at`.

        The server was alive at `alive_at`. Returns whether its start was certain.
        """
        known = self.doubt(server, at)
        since = alive_at - SETTLING_S
        if known is not None:
            doubt = Doubt(min(since, known.since), max(at, known.latest))
        else:
            doubt = Doubt(since, at)
        set_newest(self._doubts, server, doubt, MAX_DOUBTS)
        return known is None

    def record_progress(
        self, server: ServerInstance, sent_at: float, at: float
    ) -> bool:
        """Record that a run went on at `at`, of a request that was sent at `sent_at`.

        Returns whether the start has become certain by it.
        """
        doubt = self._doubts.get(server)
        if doubt is None:
            return False
        if sent_at >= doubt.since or at < doubt.latest + SETTLING_S:
            return False
        del self._doubts[server]
        return True

    def record_unlisted(self, at: float) -> None:
        """Record that no control member lists the servers to this VM now."""
        self._unlisted_at = at
