"""Bounds what all responses of an entry hold in memory before they are passed on."""

from types import TracebackType
from typing import Self

from fuchsiacroft.entry.memory_budget import Claim, MemoryBudget, Use
from fuchsiacroft.utils.clock import now

DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class BufferedBytes:
    """The bytes that all requests hold together, `max_bytes` at most.

    They also draw from the budget of the process, until the caller has read them.
    """

    def __init__(
        self, max_bytes: int = DEFAULT_MAX_BYTES, budget: MemoryBudget | None = None
    ) -> None:
        self._max_bytes = max_bytes
        self._budget = budget or MemoryBudget()
        self.held = 0

    def open_claim(self) -> Claim:
        """Return the claim of a response, which must be released."""
        return self._budget.open(Use.RESPONSE)

    def try_change(self, before: int, after: int) -> bool:
        """Hold `after` bytes in place of `before`, if there is room."""
        held = self.held - before + after
        if after > before and held > self._max_bytes:
            return False
        self.held = held
        return True


class HeldBytes:
    """Context manager of the bytes that one response holds."""

    def __init__(self, buffered: BufferedBytes) -> None:
        self._buffered = buffered
        self._claim = buffered.open_claim()
        self._is_kept = False
        self._size = 0

    def __enter__(self) -> Self:
        """Begin with no bytes."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Hold nothing any more."""
        self._buffered.try_change(self._size, 0)
        self._size = 0
        if not self._is_kept:
            self._claim.release()

    def try_hold(self, size: int) -> bool:
        """Return whether there is room for `size` bytes in all, and hold them."""
        if not self._buffered.try_change(self._size, size):
            return False
        if not self._claim.fits(size) and not self._claim.try_hold(size, now()):
            self._buffered.try_change(size, self._size)
            return False
        self._claim.hold(size)
        self._size = size
        return True

    def keep(self, size: int) -> Claim:
        """Return the claim of a whole response, which is held until it is released."""
        self._is_kept = True
        self._claim.hold(size)
        return self._claim
