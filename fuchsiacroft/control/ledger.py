"""The ledger of idempotency keys for requests that must run at most once.

A key is claimed durably on a majority before its request is dispatched. The
stored outcome is returned for every resend until the retention period ends.
After that the key is still known as used, and a resend is rejected.
"""

import enum
from collections import OrderedDict

import msgspec

from fuchsiacroft.config.bounds import Count, Seconds
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.control.used_keys import SavedBucket, UsedKeys
from fuchsiacroft.transport import codec

RETENTION_S = 86_400.0
USED_KEY_RETENTION_S = 30 * 86_400.0
RELEASED_CLAIM_RETENTION_S = 900.0
MAX_LIVE_KEYS = 120_000
MAX_USED_KEYS = 4_000_000
MAX_STORED_BYTES = 32 * 1024 * 1024
MAX_STORED_RESPONSE_BYTES = 64 * 1024


class KeyState(enum.Enum):
    """The state of a key in the ledger.

    `UNKNOWN`: the request may or may not have run. `EXPIRED`: the key was used, and
    its outcome is no longer stored. `OTHER_REQUEST`: the key belongs to a request
    with another fingerprint. `FULL`: the ledger accepts no new keys.
    """

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    OTHER_REQUEST = "other_request"
    FREE = "free"
    FULL = "full"


class StoredResponse(msgspec.Struct, frozen=True):
    """The response to an executed request; `body` is None if it was not stored."""

    status: Count
    content_type: str
    body: bytes | None


@codec.message("ledger.claim")
class ClaimKey(msgspec.Struct, frozen=True):
    """Claim a key for one execution of its request.

    `key` is a digest of the workspace and its idempotency key, `fingerprint` a
    digest of the request, and `claim` the id of this attempt. After `lease_s`
    without an outcome, the outcome is unknown. `dated` keys contain their own
    timestamp, so that they can be dropped after the retention period.
    """

    key: bytes
    fingerprint: bytes
    claim: str
    lease_s: Seconds
    dated: bool = False


@codec.message("ledger.settle")
class SettleKey(msgspec.Struct, frozen=True):
    """Record the outcome of a claim; without a response it is unknown."""

    key: bytes
    claim: str
    answer: StoredResponse | None


@codec.message("ledger.release")
class ReleaseKey(msgspec.Struct, frozen=True):
    """Release a claim whose request was not dispatched.

    A claim that arrives after its release is not granted.
    """

    key: bytes
    claim: str


@codec.message("ledger.advance")
class AdvanceClock(msgspec.Struct, frozen=True):
    """Advance the ledger's clock by the seconds measured by the leader."""

    by_s: Seconds


@codec.message("ledger.status")
class KeyStatus(msgspec.Struct, frozen=True):
    """The result of a claim or a lookup."""

    state: KeyState
    answer: StoredResponse | None = None


class LedgerEntry(msgspec.Struct, array_like=True):
    """One key: its claim, and the response once the request has run."""

    fingerprint: bytes
    claim: str
    lease_ends: float
    expires: float
    dated: bool
    settled: bool = False
    answer: StoredResponse | None = None


class _Snapshot(msgspec.Struct, frozen=True):
    clock: float
    entries: list[tuple[bytes, LedgerEntry]]
    used: list[SavedBucket]
    released: list[tuple[str, float]] = []


class LedgerState(StateMachine):
    """All claimed keys, in the order of their claims."""

    commands = (ClaimKey, SettleKey, ReleaseKey, AdvanceClock)

    def __init__(
        self, max_live_keys: int = MAX_LIVE_KEYS, max_used_keys: int = MAX_USED_KEYS
    ) -> None:
        self.clock = 0.0
        self.stored_bytes = 0
        self._max_live_keys = max_live_keys
        self._max_used_keys = max_used_keys
        self._entries: OrderedDict[bytes, LedgerEntry] = OrderedDict()
        self._answered_keys: OrderedDict[bytes, None] = OrderedDict()
        self._used_keys = UsedKeys(USED_KEY_RETENTION_S)
        self._released_claims: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of retained keys and released claims."""
        return len(self._entries) + len(self._used_keys) + len(self._released_claims)

    def apply(self, index: int, command: msgspec.Struct) -> KeyStatus:
        """Apply one command; all of them are idempotent."""
        match command:
            case ClaimKey():
                return self._claim(command)
            case SettleKey():
                return self._settle(command)
            case ReleaseKey():
                return self._release(command)
            case AdvanceClock():
                return self._advance(command)

    def look_up(self, key: bytes, fingerprint: bytes) -> KeyStatus:
        """Return the state of a key without claiming it."""
        if key in self._used_keys:
            return KeyStatus(KeyState.EXPIRED)
        entry = self._entries.get(key)
        if entry is None:
            return KeyStatus(KeyState.FREE)
        if entry.fingerprint != fingerprint:
            return KeyStatus(KeyState.OTHER_REQUEST)
        if entry.answer is not None:
            return KeyStatus(KeyState.ANSWERED, entry.answer)
        if entry.settled or entry.lease_ends <= self.clock:
            return KeyStatus(KeyState.UNKNOWN)
        return KeyStatus(KeyState.IN_PROGRESS)

    def snapshot(self) -> bytes:
        """Return all keys and the clock, encoded."""
        entries = list(self._entries.items())
        used = self._used_keys.save()
        released = list(self._released_claims.items())
        return msgspec.msgpack.encode(_Snapshot(self.clock, entries, used, released))

    def restore(self, data: bytes) -> None:
        """Restore the state from a snapshot."""
        saved = msgspec.msgpack.decode(data, type=_Snapshot)
        self.clock = saved.clock
        self._entries = OrderedDict(saved.entries)
        self._used_keys.load(saved.used)
        self._released_claims = OrderedDict(saved.released)
        self._answered_keys = OrderedDict(
            (key, None) for key, entry in saved.entries if _stored_size(entry)
        )
        self.stored_bytes = sum(_stored_size(entry) for _, entry in saved.entries)

    def _claim(self, command: ClaimKey) -> KeyStatus:
        entry = self._entries.get(command.key)
        if entry is not None and entry.claim == command.claim:
            return KeyStatus(KeyState.GRANTED)
        if command.claim in self._released_claims:
            return KeyStatus(KeyState.FREE)
        known = self.look_up(command.key, command.fingerprint)
        if known.state is not KeyState.FREE:
            return known
        if self._is_full(command):
            return KeyStatus(KeyState.FULL)
        self._entries[command.key] = LedgerEntry(
            command.fingerprint,
            command.claim,
            self.clock + command.lease_s,
            self.clock + RETENTION_S,
            command.dated,
        )
        return KeyStatus(KeyState.GRANTED)

    def _is_full(self, command: ClaimKey) -> bool:
        if len(self._entries) >= self._max_live_keys:
            return True
        return not command.dated and len(self._used_keys) >= self._max_used_keys

    def _settle(self, command: SettleKey) -> KeyStatus:
        entry = self._entries.get(command.key)
        if entry is None or entry.claim != command.claim:
            return KeyStatus(KeyState.FREE)
        if not entry.settled:
            entry.settled = True
            entry.answer = command.answer
            self._store_response(command.key, entry)
        return self.look_up(command.key, entry.fingerprint)

    def _release(self, command: ReleaseKey) -> KeyStatus:
        entry = self._entries.get(command.key)
        if entry is not None and entry.claim == command.claim and not entry.settled:
            del self._entries[command.key]
        self._released_claims[command.claim] = self.clock + RELEASED_CLAIM_RETENTION_S
        return KeyStatus(KeyState.FREE)

    def _advance(self, command: AdvanceClock) -> KeyStatus:
        self.clock += command.by_s
        self._remove_expired_entries()
        self._used_keys.expire(self.clock)
        _remove_expired(self._released_claims, self.clock)
        return KeyStatus(KeyState.FREE)

    def _remove_expired_entries(self) -> None:
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.expires > self.clock:
                return
            del self._entries[key]
            self._answered_keys.pop(key, None)
            self.stored_bytes -= _stored_size(entry)
            if not entry.dated:
                self._used_keys.add(key, self.clock)

    def _store_response(self, key: bytes, entry: LedgerEntry) -> None:
        self._answered_keys[key] = None
        self.stored_bytes += _stored_size(entry)
        while self.stored_bytes > MAX_STORED_BYTES:
            oldest, _ = self._answered_keys.popitem(last=False)
            dropped = self._entries[oldest]
            self.stored_bytes -= _stored_size(dropped)
            answer = dropped.answer
            if answer is not None:
                dropped.answer = StoredResponse(
                    answer.status, answer.content_type, None
                )


def _remove_expired(expiry_times: OrderedDict, clock: float) -> None:
    while expiry_times:
        key, expires = next(iter(expiry_times.items()))
        if expires > clock:
            return
        del expiry_times[key]


def _stored_size(entry: LedgerEntry) -> int:
    if entry.answer is None or entry.answer.body is None:
        return 0
    return len(entry.answer.body)
