"""Tests that the documentation lists the names in the program's output."""

import re
from pathlib import Path

from fuchsiacroft.tests.base import TestCase

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = ROOT / "fuchsiacroft"
GUIDE = ROOT / "docs" / "user-guide"
METRIC = re.compile(r'"(fuchsiacroft_[a-z_]+)"')
PROBLEM = re.compile(r'Problem\(\s*\d+,\s*"([a-z_]+)"')
EVENT = re.compile(r'(?:event\(\s*"[a-z]+",|RateLimitedLog\()\s*"([a-z_]+)"')
SEARCHED_EVENT = re.compile(r"event=([a-z_]+)")
REGION_PATHS = (
    "gateway/",
    "placing/",
    "platform/",
    "config/published",
    "control/publish",
    "membership/registry",
    "membership/roster",
)
FAILURE_EVENT = re.compile(r'event\(\s*"(?:warning|error)",\s*"([a-z_]+)"')


def found(pattern: re.Pattern, parts: tuple[str, ...] = ("",)) -> set[str]:
    """Return what a pattern captures in the source, or in the given parts of it."""
    return {
        name
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts
        and path.relative_to(PACKAGE).as_posix().startswith(parts)
        for name in pattern.findall(path.read_text(encoding="utf-8"))
    }


def text(*names: str) -> str:
    """Return the joined text of user guide pages."""
    return "".join((GUIDE / name).read_text(encoding="utf-8") for name in names)


class PagesTests(TestCase):
    """Checks that metrics, problems and log events are documented."""

    def test_every_metric_is_described(self):
        names = found(METRIC)
        self.assertIn("fuchsiacroft_answers_total", names)
        page = text("logs-and-metrics.md")
        self.assertEqual([], sorted(name for name in names if name not in page))

    def test_every_problem_code_is_described(self):
        codes = found(PROBLEM)
        self.assertIn("unknown_key", codes)
        page = text("troubleshooting.md")
        missing = sorted(code for code in codes if f"`{code}`" not in page)
        self.assertEqual([], missing)

    def test_every_event_of_a_region_is_described(self):
        events = found(EVENT, REGION_PATHS)
        self.assertIn("place_refused", events)
        page = text("logs-and-metrics.md")
        missing = sorted(name for name in events if f"`{name}`" not in page)
        self.assertEqual([], missing)

    def test_every_event_in_the_operations_page_is_logged(self):
        page = (GUIDE.parent / "OPERATIONS.md").read_text(encoding="utf-8")
        named = set(SEARCHED_EVENT.findall(page))
        self.assertIn("place_refused", named)
        events = found(EVENT)
        unknown = [
            name
            for name in sorted(named)
            if not any(event.startswith(name) for event in events)
        ]
        self.assertEqual([], unknown)

    def test_every_warning_and_error_event_is_described(self):
        events = found(FAILURE_EVENT)
        self.assertIn("disk_full", events)
        pages = text("logs-and-metrics.md", "troubleshooting.md")
        missing = sorted(name for name in events if f"`{name}" not in pages)
        self.assertEqual([], missing)
