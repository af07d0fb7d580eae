"""A compact set of used keys whose outcome is no longer stored, 8 bytes each.

A key is represented by the first 64 bits of its digest. A collision makes a new
key look used, so that its request is rejected; it never runs a request twice.
"""

from array import array
from bisect import bisect_left

import msgspec

BUCKET_DURATION_S = 86_400.0
DIGEST_BYTES = 8


class SavedBucket(msgspec.Struct, frozen=True, array_like=True):
    """The digests of one bucket, eight bytes each."""

    number: int
    digests: bytes


class UsedKeys:
    """Buckets of one day each: the current one is a set, past ones sorted arrays."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._current_number = 0
        self._current_bucket: set[int] = set()
        self._past_buckets: dict[int, array] = {}

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._current_bucket) + sum(
            len(bucket) for bucket in self._past_buckets.values()
        )

    def __contains__(self, key: bytes) -> bool:
        """Return whether a key is in the set."""
        digest = _digest(key)
        if digest in self._current_bucket:
            return True
        return any(_contains(bucket, digest) for bucket in self._past_buckets.values())

    def add(self, key: bytes, clock: float) -> None:
        """Add a key; `clock` is the ledger's clock in seconds."""
        self._rotate_bucket(clock)
        self._current_bucket.add(_digest(key))

    def expire(self, clock: float) -> None:
        """Remove the buckets whose retention period has ended."""
        self._rotate_bucket(clock)
        oldest = int((clock - self._retention_s) // BUCKET_DURATION_S)
        for number in [number for number in self._past_buckets if number < oldest]:
            del self._past_buckets[number]

    def save(self) -> list[SavedBucket]:
        """Return all buckets, encoded."""
        saved = [
            SavedBucket(n, bucket.tobytes()) for n, bucket in self._past_buckets.items()
        ]
        newest = array("Q", sorted(self._current_bucket))
        return [*saved, SavedBucket(self._current_number, newest.tobytes())]

    def load(self, saved: list[SavedBucket]) -> None:
        """Replace all buckets."""
        self._current_bucket, self._past_buckets = set(), {}
        for item in saved:
            bucket = array("Q")
            bucket.frombytes(item.digests)
            self._past_buckets[item.number] = bucket
        if saved:
            self._current_number = saved[-1].number
            self._current_bucket = set(self._past_buckets.pop(self._current_number))

    def _rotate_bucket(self, clock: float) -> None:
        """Start a new bucket when the current one's day is over."""
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


def _contains(bucket: array, digest: int) -> bool:
    index = bisect_left(bucket, digest)
    return index < len(bucket) and bucket[index] == digest
