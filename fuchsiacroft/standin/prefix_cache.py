"""The bounded prompt-prefix cache of a stand-in engine, and its events."""

from collections import OrderedDict

from fuchsiacroft.membership.announcement import CacheEvent

MAX_PENDING_EVENTS = 2_000


class PrefixCache:
    """An LRU cache of prefix blocks that records changes as cache events."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._pending: list[CacheEvent] = []
        self._number = 0

    def access(self, prefixes: tuple[int, ...]) -> int:
        """Cache all blocks; return how many leading ones were cached before."""
        hits = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            hits += 1
        for prefix in prefixes:
            self._insert(prefix)
        return hits

    def take_events(self) -> tuple[CacheEvent, ...]:
        """Return and clear the pending events; they are lost if sending them fails."""
        events = tuple(self._pending)
        self._pending.clear()
        return events

    def _insert(self, prefix: int) -> None:
        if prefix not in self._blocks:
            self._record_event(prefix, True)
        self._blocks[prefix] = None
        self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._max_blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._record_event(oldest, False)

    def _record_event(self, prefix: int, cached: bool) -> None:
        self._number += 1
        if len(self._pending) < MAX_PENDING_EVENTS:
            self._pending.append(CacheEvent(self._number, prefix, cached))
