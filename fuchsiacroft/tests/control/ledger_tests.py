"""Tests of the ledger's state machine."""

from fuchsiacroft.control import ledger
from fuchsiacroft.control.ledger import (
    AdvanceClock,
    ClaimKey,
    KeyState,
    LedgerState,
    ReleaseKey,
    SettleKey,
    StoredResponse,
)
from fuchsiacroft.tests.base import TestCase

KEY = b"key"
ANSWER = StoredResponse(200, "text/plain", b"booked")
LEASE_S = 60.0


def claim(name: str, key: bytes = KEY, content: bytes = b"a", dated: bool = False):
    return ClaimKey(key, content, name, LEASE_S, dated)


class LedgerStateTests(TestCase):
    """A key is granted to one claim, regardless of resends."""

    def setUp(self):
        super().setUp()
        self.state = LedgerState()

    def apply(self, command) -> KeyState:
        return self.state.apply(1, command).state

    def test_a_key_is_granted_to_one_claim_only(self):
        self.assertEqual(KeyState.GRANTED, self.apply(claim("one")))
        self.assertEqual(KeyState.GRANTED, self.apply(claim("one")))
        self.assertEqual(KeyState.IN_PROGRESS, self.apply(claim("two")))

    def test_a_resend_gets_the_stored_response(self):
        self.apply(claim("one"))
        self.apply(SettleKey(KEY, "one", ANSWER))
        self.apply(SettleKey(KEY, "one", None))
        status = self.state.apply(1, claim("two"))
        self.assertEqual((KeyState.ANSWERED, ANSWER), (status.state, status.answer))

    def test_a_key_reused_for_another_request_is_detected(self):
        self.apply(claim("one"))
        self.assertEqual(KeyState.OTHER_REQUEST, self.apply(claim("two", content=b"b")))

    def test_a_claim_without_an_outcome_is_unknown_after_its_lease(self):
        self.apply(claim("one"))
        self.apply(AdvanceClock(LEASE_S + 1))
        self.assertEqual(KeyState.UNKNOWN, self.apply(claim("two")))
        self.apply(SettleKey(KEY, "one", ANSWER))
        self.assertEqual(KeyState.ANSWERED, self.apply(claim("three")))

    def test_a_released_claim_frees_the_key_and_is_never_granted_again(self):
        self.apply(claim("one"))
        self.apply(ReleaseKey(KEY, "one"))
        self.assertEqual(KeyState.FREE, self.apply(claim("one")))
        self.assertEqual(KeyState.GRANTED, self.apply(claim("two")))

    def test_a_claim_that_arrives_after_its_release_is_not_granted(self):
        self.apply(ReleaseKey(KEY, "late"))
        self.assertEqual(KeyState.FREE, self.apply(claim("late")))
        self.assertEqual(KeyState.GRANTED, self.apply(claim("next")))

    def test_a_settled_claim_cannot_be_released(self):
        self.apply(claim("one"))
        self.apply(SettleKey(KEY, "one", ANSWER))
        self.apply(ReleaseKey(KEY, "one"))
        self.assertEqual(KeyState.ANSWERED, self.apply(claim("two")))

    def test_a_resend_after_the_retention_period_is_rejected(self):
        self.apply(claim("one"))
        self.apply(SettleKey(KEY, "one", ANSWER))
        self.apply(AdvanceClock(ledger.RETENTION_S + 1))
        self.assertEqual(KeyState.EXPIRED, self.apply(claim("two")))
        self.assertEqual(0, self.state.stored_bytes)

    def test_a_dated_key_is_removed_after_the_retention_period(self):
        self.apply(claim("one", dated=True))
        self.apply(AdvanceClock(ledger.RETENTION_S + 1))
        self.assertEqual(0, len(self.state))

    def test_a_full_ledger_rejects_new_keys_and_keeps_existing_ones(self):
        self.state = LedgerState(max_live_keys=2)
        self.apply(claim("one", b"1"))
        self.apply(claim("two", b"2"))
        self.assertEqual(KeyState.FULL, self.apply(claim("three", b"3")))
        self.assertEqual(KeyState.IN_PROGRESS, self.apply(claim("five", b"1")))

    def test_a_ledger_full_of_used_keys_accepts_only_dated_keys(self):
        self.state = LedgerState(max_used_keys=1)
        self.apply(claim("one", b"1"))
        self.apply(AdvanceClock(ledger.RETENTION_S + 1))
        self.assertEqual(KeyState.FULL, self.apply(claim("two", b"2")))
        self.assertEqual(KeyState.GRANTED, self.apply(claim("two", b"2", dated=True)))
        self.assertEqual(KeyState.EXPIRED, self.apply(claim("three", b"1")))

    def test_used_keys_are_kept_for_the_retention_period_in_any_bucket(self):
        numbers = range(5)
        for number in numbers:
            self.apply(claim("c", f"key-{number:012d}".encode()))
            self.apply(AdvanceClock(ledger.RETENTION_S + 1))
        restored = LedgerState()
        restored.restore(self.state.snapshot())
        for number in numbers:
            late = claim("late", f"key-{number:012d}".encode())
            self.assertEqual(KeyState.EXPIRED, restored.apply(1, late).state)
        restored.apply(
            1, AdvanceClock(ledger.USED_KEY_RETENTION_S + 2 * ledger.RETENTION_S)
        )
        self.assertEqual(0, len(restored))

    def test_stored_responses_are_bounded_and_a_dropped_one_never_runs_again(self):
        body = b"x" * ledger.MAX_STORED_RESPONSE_BYTES
        count = ledger.MAX_STORED_BYTES // len(body) + 3
        for i in range(count):
            key = str(i).encode()
            self.apply(claim(f"c{i}", key))
            self.apply(SettleKey(key, f"c{i}", StoredResponse(200, "", body)))
        self.assertLessEqual(self.state.stored_bytes, ledger.MAX_STORED_BYTES)
        status = self.state.apply(1, claim("again", b"0"))
        self.assertEqual(KeyState.ANSWERED, status.state)
        self.assertIsNone(status.answer.body)

    def test_a_snapshot_contains_the_whole_state(self):
        self.apply(claim("one", b"1"))
        self.apply(SettleKey(b"1", "one", ANSWER))
        self.apply(AdvanceClock(ledger.RETENTION_S + 1))
        self.apply(claim("two", b"2"))
        self.apply(SettleKey(b"2", "two", ANSWER))
        self.apply(ReleaseKey(b"3", "three"))
        restored = LedgerState()
        restored.restore(self.state.snapshot())
        self.assertEqual(self.state.snapshot(), restored.snapshot())
        self.assertEqual(self.state.stored_bytes, restored.stored_bytes)
        self.assertEqual(KeyState.EXPIRED, restored.apply(1, claim("x", b"1")).state)
        self.assertEqual(KeyState.ANSWERED, restored.apply(1, claim("x", b"2")).state)
