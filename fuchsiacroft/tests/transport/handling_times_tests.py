"""Tests that a busy process tells which messages take its time."""

from loguru import logger

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.transport.handling_times import PERIOD_S, HandlingTimes


class HandlingTimesTests(TestCase):
    """The times of the handlers of one process."""

    def setUp(self):
        super().setUp()
        self.lines: list[str] = []
        sink = logger.add(self.lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)
        self.times = HandlingTimes()
        self.at = self.times._period_started_at

    def handle(self, kind: str, seconds: float) -> None:
        """Record a message that begins where the one before ended."""
        self.times.record(kind, self.at, self.at + seconds)
        self.at += seconds

    def test_a_busy_process_does_not_say_what_takes_its_time(self):
        self.handle("test.short", 0.01)
        self.handle("test.long", PERIOD_S / 2)
        self.handle("test.long", PERIOD_S / 2)
        [line] = self.lines
        self.assertIn("event=messages_handled", line)
        self.assertIn("kinds=test.long:2:1.000,test.short:1:0.010", line)

    def test_a_process_with_little_to_do_logs_each_second(self):
        for _ in range(3):
            self.handle("test.short", 0.01)
            self.at += PERIOD_S
        self.assertEqual([], self.lines)

    def test_the_times_of_earlier_seconds_are_not_in_the_dump(self):
        self.handle("test.long", 1.5 * PERIOD_S)
        self.handle("test.long", PERIOD_S / 2)
        self.assertEqual({"test.long": 2.0}, self.times.dump())
