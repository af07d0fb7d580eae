"""When this process started, before the imports of its modules."""

import time


class ProcessStart:
    """The start of the process, once it is recorded."""

    def __init__(self) -> None:
        self._started_at: float | None = None

    def record(self) -> None:
        """Record that the process has started just now."""
        self._started_at = time.monotonic()

    def elapsed_s(self) -> float:
        """Return the time since the start, 0 if it wasn't recorded."""
        if self._started_at is None:
            return 0.0
        return time.monotonic() - self._started_at


process_start = ProcessStart()
