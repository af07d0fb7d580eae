"""What a draft would do: warnings, and its differences from the version in force.

The warnings and differences are those of `fuchsiacroft check`.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from expression import Result

from fuchsiacroft.config import document, effects, lint
from fuchsiacroft.config.document import Document
from fuchsiacroft.config.effects import Difference
from fuchsiacroft.config.validation import ValidationIssue
from fuchsiacroft.console.drafts import FAULT_PATH
from fuchsiacroft.console.forms import Form


@dataclass(frozen=True, slots=True)
class DraftReport:
    """The findings on a draft; `new_warnings` are those that the base doesn't have."""

    warnings: tuple[ValidationIssue, ...]
    new_warnings: tuple[ValidationIssue, ...]
    differences: tuple[Difference, ...]

    def needs_consent(self, form: Form) -> bool:
        """Return whether an operator should see new warnings before an item changes.

        One at a field that the form doesn't show, like a workspace's keys, can't be
        mended there.
        """
        return any(not _is_hidden(issue, form) for issue in self.new_warnings)


def create(base: dict, draft: dict) -> DraftReport | None:
    """Return the report on a draft, None if it is not a valid document."""
    old, new = _decode(base), _decode(draft)
    if old is None or new is None:
        return None
    return DraftReport(
        tuple(lint.lint_document(new)),
        tuple(_new_warnings(old, new)),
        tuple(effects.list_differences(old, new)),
    )


def _new_warnings(old: Document, new: Document) -> Iterator[ValidationIssue]:
    """Yield the warnings that come with a change; it may move those before."""
    known = Counter(issue.message for issue in lint.lint_document(old))
    for issue in lint.lint_document(new):
        if known[issue.message]:
            known[issue.message] -= 1
        else:
            yield issue


def _decode(value: dict) -> Document | None:
    match document.decode(msgspec.json.encode(value)):
        case Result(tag="ok", ok=parsed):
            return parsed
    return None


def _is_hidden(issue: ValidationIssue, form: Form) -> bool:
    found = FAULT_PATH.match(issue.path)
    if found is None or found[1] != form.part or not found[3]:
        return False
    return found[3] not in {field.name for field in form.fields}
