"""Tests that writing log lines never blocks on their reader."""

import os
import time

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.utils.line_writer import LineWriter

LINE = "x" * 199 + "\n"


class LineWriterTests(TestCase):
    """A reader that stops causes dropped lines but no delay."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.lines = LineWriter(self.writer)

    def test_lines_arrive_in_order(self):
        for number in range(50):
            self.lines.write(f"line {number}\n")
        self.lines.close()
        read = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual([f"line {number}" for number in range(50)], read)

    def test_a_stopped_reader_does_not_block_and_dropped_lines_are_counted(self):
        began_at = time.monotonic()
        for _ in range(20_000):
            self.lines.write(LINE)
        self.lines.close()
        self.assertLess(time.monotonic() - began_at, 5.0)
        self.assertGreater(self.lines.dropped, 0)

    def test_a_line_longer_than_a_chunk_arrives_complete(self):
        self.lines.write("y" * 10_000 + "\n")
        self.lines.close()
        self.assertEqual(10_001, len(os.read(self.reader, 65536)))

    def test_a_closed_reader_only_drops_lines(self):
        reader, writer = os.pipe()
        lines = LineWriter(writer)
        os.close(reader)
        lines.write(LINE)
        lines.close()
        os.close(writer)
        self.assertEqual(1, lines.dropped)
