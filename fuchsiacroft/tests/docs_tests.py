"""Tests that the pages name what the program says."""

import re
from pathlib import Path

from fuchsiacroft.tests.base import TestCase

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = ROOT / "fuchsiacroft"
GUIDE = ROOT / "docs" / "user-guide"
METRIC = re.compile(r'"(fuchsiacroft_[a-z_]+)"')
PROBLEM = re.compile(r'Problem\(\s*\d+,\s*"([a-z_]+)"')
FAILURE_EVENT = re.compile(r'event\(\s*"(?:warning|error)",\s*"([a-z_]+)"')


def found(pattern: re.Pattern) -> set[str]:
    """Return what a pattern captures in the program's source."""
    return {
        name
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts
        for name in pattern.findall(path.read_text(encoding="utf-8"))
    }


def text(*names: str) -> str:
    """Return the text of pages of the user guide."""
    return "".join((GUIDE / name).read_text(encoding="utf-8") for name in names)


class PagesTests(TestCase):
    """Operators find each name that they may meet."""

    def test_every_metric_is_described(self):
        names = found(METRIC)
        self.assertIn("fuchsiacroft_answers_total", names)
        page = text("logs-and-metrics.md")
        self.assertEqual([], sorted(name for name in names if name not in page))

    def test_every_problem_of_a_caller_is_described(self):
        codes = found(PROBLEM)
        self.assertIn("unknown_key", codes)
        page = text("troubleshooting.md")
        missing = sorted(code for code in codes if f"`{code}`" not in page)
        self.assertEqual([], missing)

    def test_every_event_of_a_failure_is_described(self):
        events = found(FAILURE_EVENT)
        self.assertIn("disk_full", events)
        pages = text("logs-and-metrics.md", "troubleshooting.md")
        missing = sorted(name for name in events if f"`{name}" not in pages)
        self.assertEqual([], missing)
