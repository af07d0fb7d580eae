"""Queue of claims to spread by gossip, in messages of bounded size."""

import math
from dataclasses import dataclass

from fuchsiacroft.membership.wire import Update

MAX_UPDATES_PER_MESSAGE = 6
SENDS_PER_DOUBLING = 3


@dataclass(slots=True)
class _Pending:
    claim: Update
    sends_left: int


class GossipQueue:
    """Sends each claim a number of times proportional to log(entries)."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        """Return the number of claims that still have to be sent."""
        return len(self._pending)

    def add(self, claim: Update, entries: int) -> None:
        """Enqueue a claim; it replaces any queued claim about the same entry."""
        sends = SENDS_PER_DOUBLING * math.ceil(math.log2(entries + 2))
        self._pending[claim.node] = _Pending(claim, sends)

    def take(self, first: Update | None = None) -> tuple[Update, ...]:
        """Return claims for one message, starting with those sent the fewest times.

        `first` is always included: a claim that the receiver has to refute.
        """
        claims = [first] if first is not None else []
        least_sent_first = sorted(
            self._pending.values(), key=lambda pending: -pending.sends_left
        )
        for pending in least_sent_first[: MAX_UPDATES_PER_MESSAGE - len(claims)]:
            claims.append(pending.claim)
            self._count_send(pending)
        return tuple(claims)

    def _count_send(self, pending: _Pending) -> None:
        pending.sends_left -= 1
        if pending.sends_left <= 0:
            del self._pending[pending.claim.node]
