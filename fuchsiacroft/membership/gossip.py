"""Claims that still have to be passed on, in bounded messages."""

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
    """Passes each claim on a number of times that grows with log(entries)."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        """Return how many claims still have to be passed on."""
        return len(self._pending)

    def add(self, claim: Update, entries: int) -> None:
        """Queue a claim; it replaces an older one about the same entry."""
        sends = SENDS_PER_DOUBLING * math.ceil(math.log2(entries + 2))
        self._pending[claim.node] = _Pending(claim, sends)

    def take(self, first: Update | None = None) -> tuple[Update, ...]:
        """Return claims for one message, the least passed on first.

        `first` goes along in any case: the claim that the receiver must hear.
        """
        claims = [first] if first is not None else []
        by_need = sorted(self._pending.values(), key=lambda one: -one.sends_left)
        for pending in by_need[: MAX_UPDATES_PER_MESSAGE - len(claims)]:
            claims.append(pending.claim)
            self._spend(pending)
        return tuple(claims)

    def _spend(self, pending: _Pending) -> None:
        pending.sends_left -= 1
        if pending.sends_left <= 0:
            del self._pending[pending.claim.node]
