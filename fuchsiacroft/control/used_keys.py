"""Keys whose outcome is forgotten, remembered as used in eight bytes each.

A key is known by the first 64 bits of its digest. Two keys that share them are
taken for one, which refuses a request and never runs one twice.
"""

from array import array
from bisect import bisect_left

import msgspec

BUCKET_DURATION_S = 86_400.0
DIGEST_BYTES = 8


class SavedBucket(msgspec.Struct, frozen=True, array_like=True):
    """The digests of one bucket, each of eight bytes."""

    number: int
    digests: bytes


class UsedKeys:
    """Buckets of a day each: the newest a set, older ones sorted arrays."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._current_number = 0
        self._current_bucket: set[int] = set()
        self._past_buckets: dict[int, array] = {}

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._current_bucket) + sum(
            len(part) for part in self._past_buckets.values()
        )

    def __contains__(self, key: bytes) -> bool:
        """Tell whether a key is remembered."""
        digest = _digest(key)
        if digest in self._current_bucket:
            return True
        return any(_contains(part, digest) for part in self._past_buckets.values())

    def add(self, key: bytes, clock: float) -> None:
        """Remember a key from now on; `clock` is the ledger's, in seconds."""
        self._rotate_bucket(clock)
        self._current_bucket.add(_digest(key))

    def expire(self, clock: float) -> None:
        """Forget the keys that have been kept for long enough."""
        self._rotate_bucket(clock)
        oldest = int((clock - self._retention_s) // BUCKET_DURATION_S)
        for number in [number for number in self._past_buckets if number < oldest]:
            del self._past_buckets[number]

    def save(self) -> list[SavedBucket]:
        """Return every bucket."""
        saved = [
            SavedBucket(n, part.tobytes()) for n, part in self._past_buckets.items()
        ]
        newest = array("Q", sorted(self._current_bucket))
        return [*saved, SavedBucket(self._current_number, newest.tobytes())]

    def load(self, saved: list[SavedBucket]) -> None:
        """Replace every bucket."""
        self._current_bucket, self._past_buckets = set(), {}
        for bucket in saved:
            part = array("Q")
            part.frombytes(bucket.digests)
            self._past_buckets[bucket.number] = part
        if saved:
            self._current_number = saved[-1].number
            self._current_bucket = set(self._past_buckets.pop(self._current_number))

    def _rotate_bucket(self, clock: float) -> None:
        """Close the newest bucket when its day is over."""
        number = int(clock // BUCKET_DURATION_S)
        if number <= self._current_number:
            return
        if self._current_bucket:
            self._past_buckets[self._current_number] = array(
                "Q", sorted(self._current_bucket)
            )
        self._current_bucket = set()
        self._current_number = number


def _digest(key: bytes) -> int:
    return int.from_bytes(key[:DIGEST_BYTES], "big")


def _contains(part: array, digest: int) -> bool:
    at = bisect_left(part, digest)
    return at < len(part) and part[at] == digest
