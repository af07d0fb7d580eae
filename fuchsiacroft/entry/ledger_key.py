"""Ledger keys, derived from a workspace and its idempotency key."""

import hashlib
import uuid

from fuchsiacroft.control.ledger import RETENTION_S
from fuchsiacroft.entry.request import LedgerKey
from fuchsiacroft.utils import clock

KEY_BYTES = 16
DATED_MARGIN_S = 3_600.0
UUID7_TIME_SHIFT = 80


def ledger_key(workspace: str, key: str, fingerprint: bytes) -> LedgerKey:
    """Return the ledger key for a workspace's idempotency key.

    `fingerprint` is the digest of the request that uses the key.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    digest.update(workspace.encode())
    digest.update(b"\0")
    digest.update(key.encode("utf-8", "surrogateescape"))
    return LedgerKey(digest.digest(), fingerprint, key_age_s(key) is not None)


def key_age_s(key: str) -> float | None:
    """Return the age of a key that contains its time (UUID version 7), or None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return clock.wall_time() - (parsed.int >> UUID7_TIME_SHIFT) / 1000


def is_past_retention(key: str) -> bool:
    """Whether the ledger may have discarded a dated key."""
    age = key_age_s(key)
    return age is not None and age > RETENTION_S - DATED_MARGIN_S
