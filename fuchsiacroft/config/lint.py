"""Warnings for settings and documents that are valid but probably unintended."""

from collections import Counter
from collections.abc import Iterator

from fuchsiacroft.config import lint_limits, lint_rules
from fuchsiacroft.config.document import Document
from fuchsiacroft.config.lint_rules import is_sha256
from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.config.validation import ValidationIssue

MIN_FAULT_TOLERANT_MEMBERS = 3
DOCUMENT_RULES = (*lint_rules.RULES, *lint_limits.RULES)


def lint_settings(settings: Settings) -> list[ValidationIssue]:
    """Return the warnings for the settings of one process."""
    return [
        *_duplicate_addresses(settings),
        *_duplicate_nodes(settings),
        *_own_listing_mismatches(settings),
        *_control_member_count(settings),
        *_malformed_token_hashes(settings),
    ]


def lint_document(document: Document) -> list[ValidationIssue]:
    """Return the warnings for a document."""
    return [issue for _, issue in named_warnings(document)]


def named_warnings(document: Document) -> Iterator[tuple[str, ValidationIssue]]:
    """Yield each warning for a document, after the name of its rule."""
    for rule in DOCUMENT_RULES:
        for issue in rule(document):
            yield rule.__name__, issue


def _duplicate_addresses(settings: Settings) -> Iterator[ValidationIssue]:
    paths = _named_addresses(settings)
    counted = Counter(paths.values())
    for path, address in paths.items():
        if counted[address] > 1:
            others = [p for p, a in paths.items() if a == address and p != path]
            yield ValidationIssue(path, f"{address} stands in {', '.join(others)} too")


def _named_addresses(settings: Settings) -> dict[str, str]:
    own = settings.addresses
    found = {
        f"$.addresses.{name}": getattr(own, name)
        for name in own.__struct_fields__
        if getattr(own, name) is not None
    }
    for section in ("control", "entries"):
        for i, member in enumerate(getattr(settings, section)):
            if member.node == settings.node:
                continue
            found[f"$.{section}[{i}].peers"] = member.peers
            if member.operators is not None:
                found[f"$.{section}[{i}].operators"] = member.operators
    return found


def _listed_members(settings: Settings) -> list[tuple[str, Member]]:
    return [
        (f"$.{section}[{i}]", member)
        for section in ("control", "entries")
        for i, member in enumerate(getattr(settings, section))
    ]


def _duplicate_nodes(settings: Settings) -> Iterator[ValidationIssue]:
    seen: dict[str, str] = {}
    for path, member in _listed_members(settings):
        first = seen.setdefault(member.node, path)
        if first != path:
            yield ValidationIssue(
                f"{path}.node", f'"{member.node}" stands in {first} too'
            )


def _own_listing_mismatches(settings: Settings) -> Iterator[ValidationIssue]:
    for path, member in _listed_members(settings):
        if member.node != settings.node:
            continue
        if settings.addresses.peers not in (None, member.peers):
            text = f"{member.peers} is not this process's addresses.peers"
            yield ValidationIssue(f"{path}.peers", text)
        if member.failure_domain != settings.failure_domain:
            text = f'"{member.failure_domain}" is not this process\'s failure_domain'
            yield ValidationIssue(f"{path}.failure_domain", text)


def _control_member_count(settings: Settings) -> Iterator[ValidationIssue]:
    count = len(settings.control)
    if 0 < count < MIN_FAULT_TOLERANT_MEMBERS:
        yield ValidationIssue(
            "$.control", f"{count} members tolerate no failure; use 3 or 5"
        )
    elif count and count % 2 == 0:
        yield ValidationIssue(
            "$.control",
            f"{count} members tolerate no more failures than {count - 1} do",
        )


def _malformed_token_hashes(settings: Settings) -> Iterator[ValidationIssue]:
    for i, value in enumerate(settings.operator_token_hashes):
        if not is_sha256(value):
            path = f"$.operator_token_hashes[{i}]"
            yield ValidationIssue(
                path, "is not a SHA-256 in hex, so no token matches it"
            )
