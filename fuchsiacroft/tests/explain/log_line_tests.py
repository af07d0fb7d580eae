"""Tests of parsing log lines."""

from fuchsiacroft.explain import log_line
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.utils.logs import quote

LINE = "time=2026-02-26T20:22:50.500+00:00 level=INFO event=run_ended"


class LogLineTests(TestCase):
    """Log lines are parsed into the values that were logged."""

    def test_a_line_is_parsed_with_its_source(self):
        got = log_line.parse(f"{LINE} request_id=ab seconds=0.1", "edge-1").ok
        self.assertEqual(
            ("edge-1", "INFO", "run_ended"), (got.source, got.level, got.event)
        )
        self.assertEqual({"request_id": "ab", "seconds": "0.1"}, got.fields)
        self.assertEqual(0.5, got.at % 1)

    def test_a_word_before_the_time_names_the_process(self):
        got = log_line.parse(f"  17.5 edge-2 {LINE}", "all").ok
        self.assertEqual("edge-2", got.source)

    def test_values_are_unquoted(self):
        for value in ("two words", 'a "quoted" one', "a=b", "two\nlines", ""):
            got = log_line.parse(f"{LINE} reason={quote(value)} after=1", "edge-1").ok
            self.assertEqual({"reason": value, "after": "1"}, got.fields)

    def test_invalid_lines_are_refused_with_a_reason(self):
        for text, reason in (
            ("Traceback (most recent call last):", "it has no time="),
            ("time=2026-02-26T20:22:50.500+00:00 level=INFO", "it has no event="),
            ("time=soon event=ready", "its time is not in ISO 8601 format"),
        ):
            self.assertEqual(reason, log_line.parse(text, "edge-1").error)
