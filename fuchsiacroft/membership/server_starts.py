"""Which starts of backend servers are certain, of those that this VM knows.

What is known of a server, like the version of its software, holds for one start of it.
A server whose run was lost, or that could not be connected to, may have started again
under its name before that is known here. Its start is certain again if a run that was
sent there before goes on afterwards, or if the control members list the same start
for so long that a heartbeat from after the loss has come. Losses some time apart are
proven apart, as hardly a run goes on over all of them on a server that loses many.
Another start is another instance, which is certain. The module does no I/O and gets the
time as an argument.
"""

import functools
import math
from dataclasses import dataclass

from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.utils.bounded import set_newest

SETTLING_S = 0.3
"""All connections of a server that has ended are lost, and known to be, within it.

So losses within it of each other are one doubt: a run that goes on after it has gone on
after all of them.
"""
LATE_HEARTBEATS = 4.0
"""Heartbeat periods by which a heartbeat may be late, and a server silent."""
LIST_DELAY_S = 5.0
"""A server that control members no longer list is dropped by every VM within it."""
DEFAULT_HEARTBEAT_S = 1.0
MAX_DOUBTED = 20_000
"""Servers whose starts are doubted; the oldest are forgotten beyond this number."""
MAX_DOUBTS = 64
"""Doubts of one start; the oldest are joined beyond this number."""


@dataclass(frozen=True, slots=True)
class Doubt:
    """A start is uncertain: it was alive at `since`, and seemed lost until `latest`.

    The first loss was at `lost_at`.
    """

    since: float
    lost_at: float
    latest: float

    def is_proven_by(self, sent_at: float, at: float) -> bool:
        """Whether a run that was sent at one time and goes on at another spans it."""
        return sent_at < self.since and at >= self.latest + SETTLING_S

    def covers(self, lost_at: float) -> bool:
        """Whether a loss is part of it."""
        return lost_at <= self.lost_at + SETTLING_S

    def joined(self, other: "Doubt") -> "Doubt":
        """Return the doubt that spans both."""
        return Doubt(
            min(self.since, other.since),
            min(self.lost_at, other.lost_at),
            max(self.latest, other.latest),
        )


class ServerStarts:
    """The starts of backend servers that are not certain."""

    def __init__(self) -> None:
        self._doubts: dict[ServerInstance, list[Doubt]] = {}
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
        if not server.may_start_again:
            return True
        doubt = self.doubt(server, at)
        return doubt is None or sent_at < doubt.since

    def doubt(self, server: ServerInstance, at: float) -> Doubt | None:
        """Return the span of all doubts of a start, None if it is certain."""
        if server not in self._doubts:
            return None
        self._keep(
            server, [d for d in self._doubts[server] if not self._is_over(d, at)]
        )
        doubts = self._doubts.get(server)
        return functools.reduce(Doubt.joined, doubts) if doubts else None

    def covers(self, server: ServerInstance, lost_at: float) -> bool:
        """Return whether a loss is part of the last doubt of a start."""
        doubts = self._doubts.get(server)
        return bool(doubts) and doubts[-1].covers(lost_at)

    def record_loss(self, server: ServerInstance, alive_at: float, at: float) -> bool:
        """Record that a run was lost, or a connection refused, at `at`.

        The server was alive at `alive_at`. Returns whether its start was certain.
        """
        was_certain = self.doubt(server, at) is None
        doubt = Doubt(alive_at - SETTLING_S, at, at)
        doubts = self._doubts.pop(server, [])
        if doubts and doubts[-1].covers(at):
            doubts[-1] = doubts[-1].joined(doubt)
        else:
            doubts.append(doubt)
        if len(doubts) > MAX_DOUBTS:
            doubts[:2] = [doubts[0].joined(doubts[1])]
        set_newest(self._doubts, server, doubts, MAX_DOUBTED)
        return was_certain

    def is_proof(self, server: ServerInstance, sent_at: float, at: float) -> bool:
        """Return whether a run that goes on at `at` proves a doubt wrong.

        Its request was sent at `sent_at`.
        """
        doubts = self._doubts.get(server, ())
        return any(doubt.is_proven_by(sent_at, at) for doubt in doubts)

    def record_progress(
        self, server: ServerInstance, sent_at: float, at: float
    ) -> bool:
        """Record that a run went on at `at`, of a request that was sent at `sent_at`.

        Returns whether the start has become certain by it.
        """
        if not self.is_proof(server, sent_at, at):
            return False
        doubts = self._doubts[server]
        self._keep(server, [d for d in doubts if not d.is_proven_by(sent_at, at)])
        return server not in self._doubts

    def record_alive(self, server: ServerInstance, at: float) -> bool:
        """Record that this start answered a question that was sent at `at`.

        Returns whether it has become certain by it.
        """
        doubts = self._doubts.get(server)
        if doubts is None:
            return False
        self._keep(server, [doubt for doubt in doubts if doubt.latest > at])
        return server not in self._doubts

    def record_unlisted(self, at: float) -> None:
        """Record that no control member lists the servers to this VM now."""
        self._unlisted_at = at

    def _is_over(self, doubt: Doubt, at: float) -> bool:
        return at >= max(doubt.latest, self._unlisted_at) + self._listed_s

    def _keep(self, server: ServerInstance, doubts: list[Doubt]) -> None:
        if doubts:
            self._doubts[server] = doubts
        else:
            del self._doubts[server]
