"""Bounds what all responses of an entry hold in memory before they are passed on."""

from types import TracebackType
from typing import Self

DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class BufferedBytes:
    """The bytes that all requests hold together, `max_bytes` at most."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held = 0

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
        self.try_hold(0)

    def try_hold(self, size: int) -> bool:
        """Return whether there is room for `size` bytes in all, and hold them."""
        if not self._buffered.try_change(self._size, size):
            return False
        self._size = size
        return True
