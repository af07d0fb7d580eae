"""What `check` found, printed as text or as JSON."""

import sys
from collections.abc import Callable

import msgspec

from fuchsiacroft.config.effects import Difference
from fuchsiacroft.config.validation import ValidationIssue


class Finding(msgspec.Struct, frozen=True, omit_defaults=True):
    """A fault, or a warning of a rule, at a JSON path."""

    path: str
    message: str
    rule: str = ""

    @classmethod
    def of(cls, issue: ValidationIssue, rule: str = "") -> "Finding":
        """Return the finding for a validation issue."""
        return cls(issue.path, issue.message, rule)

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class Report(msgspec.Struct):
    """Faults, warnings and differences; `differences` is None if none were sought."""

    faults: list[Finding] = []
    warnings: list[Finding] = []
    differences: list[Difference] | None = None


def print_text(report: Report) -> None:
    """Print findings on standard error, differences and the summary on output."""
    for fault in report.faults:
        print(fault, file=sys.stderr)
    for warning in report.warnings:
        print(f"warning: {warning}", file=sys.stderr)
    for difference in report.differences or ():
        print(f"difference: {difference}")
    if report.differences == []:
        print("no differences")
    counts = f"{len(report.faults)} faults, {len(report.warnings)} warnings"
    print(counts if report.faults else "no faults")


def print_json(report: Report) -> None:
    """Print the report as one JSON object on standard output."""
    print(msgspec.json.format(msgspec.json.encode(report)).decode())


FORMATS: dict[str, Callable[[Report], None]] = {"text": print_text, "json": print_json}
