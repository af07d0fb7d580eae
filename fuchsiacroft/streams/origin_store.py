"""A bounded store of streams' origins, each with the time until which it is kept.

It does no I/O and takes the time as an argument. Merging facts is commutative,
associative and idempotent, so they may come in any order and more than once.
"""

import heapq

import msgspec

from fuchsiacroft.config.bounds import Seconds, UnixMs
from fuchsiacroft.streams.origin import StreamOrigin
from fuchsiacroft.utils.bounded import set_newest

MAX_STREAMS = 50_000
"""Streams kept; the oldest go first."""
MAX_KEPT_S = 600.0
"""Longest time for which a stream is kept, whatever its caller asks for."""


class OriginFact(msgspec.Struct, frozen=True, array_like=True):
    """What began the stream of a key; kept for `kept_s` seconds from now.

    A key with two origins was used for two streams, or its server may have been either
    of two starts, so none of them is certain. `server` was known as the start of
    `born_ms`, the Unix time of its start, 0 if it doesn't tell its starts.
    """

    key: str
    origins: tuple[StreamOrigin, ...]
    kept_s: Seconds
    server: str = ""
    born_ms: UnixMs = 0


class _Kept(msgspec.Struct):
    origins: tuple[StreamOrigin, ...]
    until: float


class OriginStore:
    """The origins of streams by key."""

    def __init__(self, most: int = MAX_STREAMS) -> None:
        self._most = most
        self._kept: dict[str, _Kept] = {}
        self._ends: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._kept)

    def merge(self, fact: OriginFact, at: float) -> None:
        """Add what a fact says."""
        self.forget_ended(at)
        until = at + min(fact.kept_s, MAX_KEPT_S)
        known = self._kept.get(fact.key)
        origins = set(fact.origins)
        if known is not None:
            origins.update(known.origins)
            until = max(until, known.until)
        # Two are enough to know that the key is ambiguous.
        kept = _Kept(tuple(sorted(origins)[:2]), until)
        set_newest(self._kept, fact.key, kept, self._most)
        heapq.heappush(self._ends, (until, fact.key))

    def find(self, key: str, at: float) -> tuple[StreamOrigin, ...]:
        """Return the origins of a key: none if it is unknown, two if ambiguous."""
        kept = self._kept.get(key)
        return kept.origins if kept is not None and kept.until > at else ()

    def forget_ended(self, at: float) -> None:
        """Drop the streams whose time is over."""
        while self._ends and self._ends[0][0] <= at:
            _, key = heapq.heappop(self._ends)
            kept = self._kept.get(key)
            if kept is not None and kept.until <= at:
                del self._kept[key]
