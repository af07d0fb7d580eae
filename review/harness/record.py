"""The record of a case: what was sent, answered and run, with times."""

import time
from pathlib import Path


class Record:
    """Appends lines with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, who: str, text: str) -> None:
        """Append one line."""
        self._file.write(f"{self.now():8.3f} {who}: {text}\n")
        self._file.flush()
