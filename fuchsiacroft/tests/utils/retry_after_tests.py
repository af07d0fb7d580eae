"""Tests of the parser of Retry-After values."""

from datetime import UTC, datetime

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.utils import retry_after

NOON = datetime(2026, 12, 4, 12, 0, 0, tzinfo=UTC)


class RetryAfterTests(TestCase):
    """Seconds and dates are read; other values have a reason."""

    def test_seconds_and_dates(self):
        for text, expected in (
            ("2", 2.0),
            ("0.25", 0.25),
            ("0", 0.0),
            ("Fri, 04 Dec 2026 12:00:03 GMT", 3.0),
            ("Fri, 04 Dec 2026 11:59:00 GMT", 0.0),
        ):
            self.assertEqual(expected, retry_after.parse(text, NOON).ok, text)

    def test_a_long_delay_is_taken_for_an_error(self):
        for text, expected in (
            ("600", 600.0),
            ("3600", retry_after.MAX_RETRY_AFTER_S),
            ("1e9", retry_after.MAX_RETRY_AFTER_S),
            ("inf", retry_after.MAX_RETRY_AFTER_S),
            ("Fri, 04 Dec 2099 12:00:00 GMT", retry_after.MAX_RETRY_AFTER_S),
        ):
            self.assertEqual(expected, retry_after.parse(text, NOON).ok, text)

    def test_a_value_that_is_not_sensible_is_used(self):
        for text, reason in (
            ("-1", "negative"),
            ("nan", "negative"),
            ("soon", "unreadable"),
            ("", "unreadable"),
        ):
            self.assertEqual(reason, retry_after.parse(text, NOON).error, text)
