"""Keys whose outcome is forgotten, remembered as used in eight bytes each.

A key is known by the first 64 bits of its digest. Two keys that share them are
taken for one, which refuses a request and never runs one twice.
"""

from array import array
from bisect import bisect_left

import msgspec

BUCKET_S = 86_400.0
DIGEST_BYTES = 8


class SavedBucket(msgspec.Struct, frozen=True, array_like=True):
    """The digests of one bucket, each of eight bytes."""

    number: int
    digests: bytes


class UsedKeys:
    """Buckets of a day each: the newest a set, older ones sorted arrays."""

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._newest = 0
        self._open: set[int] = set()
        self._closed: dict[int, array] = {}

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._open) + sum(len(part) for part in self._closed.values())

    def __contains__(self, key: bytes) -> bool:
        """Tell whether a key is remembered."""
        digest = _digest(key)
        if digest in self._open:
            return True
        return any(_holds(part, digest) for part in self._closed.values())

    def add(self, key: bytes, clock: float) -> None:
        """Remember a key from now on; `clock` is the ledger's, in seconds."""
        self._turn(clock)
        self._open.add(_digest(key))

    def expire(self, clock: float) -> None:
        """Forget the keys that have been kept for long enough."""
        self._turn(clock)
        oldest = int((clock - self._kept_s) // BUCKET_S)
        for number in [number for number in self._closed if number < oldest]:
            del self._closed[number]

    def save(self) -> list[SavedBucket]:
        """Return every bucket."""
        saved = [SavedBucket(n, part.tobytes()) for n, part in self._closed.items()]
        newest = array("Q", sorted(self._open))
        return [*saved, SavedBucket(self._newest, newest.tobytes())]

    def load(self, saved: list[SavedBucket]) -> None:
        """Replace every bucket."""
        self._open, self._closed = set(), {}
        for bucket in saved:
            part = array("Q")
            part.frombytes(bucket.digests)
            self._closed[bucket.number] = part
        if saved:
            self._newest = saved[-1].number
            self._open = set(self._closed.pop(self._newest))

    def _turn(self, clock: float) -> None:
        """Close the newest bucket when its day is over."""
        number = int(clock // BUCKET_S)
        if number <= self._newest:
            return
        if self._open:
            self._closed[self._newest] = array("Q", sorted(self._open))
        self._open = set()
        self._newest = number


def _digest(key: bytes) -> int:
    return int.from_bytes(key[:DIGEST_BYTES], "big")


def _holds(part: array, digest: int) -> bool:
    at = bisect_left(part, digest)
    return at < len(part) and part[at] == digest
