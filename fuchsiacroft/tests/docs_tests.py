"""Tests that the documentation covers metrics, problem codes and log events."""

import re
from pathlib import Path

from fuchsiacroft.tests.base import TestCase

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = ROOT / "fuchsiacroft"
GUIDE = ROOT / "docs" / "user-guide"
METRIC = re.compile(r'"(fuchsiacroft_[a-z_]+)"')
PROBLEM = re.compile(r'Problem\(\s*\d+,\s*"([a-z_]+)"')
EVENT = re.compile(r'(?:event\(\s*"[a-z]+",|RateLimitedLog\()\s*"([a-z_]+)"')
DOCUMENTED_EVENT = re.compile(r"event=([a-z_]+)")
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


def names_in_source(pattern: re.Pattern, parts: tuple[str, ...] = ("",)) -> set[str]:
    """Return the names that a pattern captures in the source, or in parts of it."""
    return {
        name
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts
        and path.relative_to(PACKAGE).as_posix().startswith(parts)
        for name in pattern.findall(path.read_text(encoding="utf-8"))
    }


def page_text(*names: str) -> str:
    """Return the text of user guide pages."""
    return "".join((GUIDE / name).read_text(encoding="utf-8") for name in names)


class DocsTests(TestCase):
    """Each name that operators may see is documented."""

    def test_metrics_are_documented(self):
        names = names_in_source(METRIC)
        self.assertIn("fuchsiacroft_answers_total", names)
        page = page_text("logs-and-metrics.md")
        self.assertEqual([], sorted(name for name in names if name not in page))

    def test_problem_codes_are_documented(self):
        codes = names_in_source(PROBLEM)
        self.assertIn("unknown_key", codes)
        page = page_text("troubleshooting.md")
        missing = sorted(code for code in codes if f"`{code}`" not in page)
        self.assertEqual([], missing)

    def test_region_events_are_documented(self):
        events = names_in_source(EVENT, REGION_PATHS)
        self.assertIn("place_refused", events)
        page = page_text("logs-and-metrics.md")
        missing = sorted(name for name in events if f"`{name}`" not in page)
        self.assertEqual([], missing)

    def test_events_in_operations_page_exist(self):
        page = (GUIDE.parent / "OPERATIONS.md").read_text(encoding="utf-8")
        named = set(DOCUMENTED_EVENT.findall(page))
        self.assertIn("place_refused", named)
        events = names_in_source(EVENT)
        unknown = [
            name
            for name in sorted(named)
            if not any(event.startswith(name) for event in events)
        ]
        self.assertEqual([], unknown)

    def test_failure_events_are_documented(self):
        events = names_in_source(FAILURE_EVENT)
        self.assertIn("disk_full", events)
        pages = page_text("logs-and-metrics.md", "troubleshooting.md")
        missing = sorted(name for name in events if f"`{name}" not in pages)
        self.assertEqual([], missing)
