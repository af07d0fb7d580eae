"""Warnings for entries of a document that can never match or be used."""

import re
from collections.abc import Iterator

from fuchsiacroft.config.document import Document, Rule, ServiceSpec, Workspace
from fuchsiacroft.config.validation import ValidationIssue

# The callers' API refuses these before a rule is looked up.
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
REFUSED_SEGMENTS = frozenset({"", ".", ".."})
MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
MODEL_METHOD = "POST"
METHOD_FORM = re.compile(r"[A-Z][A-Z-]*")


def unreachable_rules(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a rule all of whose requests earlier rules match."""
    earlier_rules: dict[str, list[tuple[int, Rule]]] = {}
    for i, rule in enumerate(document.rules):
        earlier = earlier_rules.setdefault(rule.service, [])
        covering = _covering(rule, earlier)
        if covering:
            matches = "matches" if len(covering) == 1 else "match"
            named = ", ".join(f"$.rules[{j}]" for j in covering)
            yield ValidationIssue(f"$.rules[{i}]", f"never decides: {named} {matches}")
        earlier.append((i, rule))


def unmatched_paths(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a path prefix that no accepted path starts with."""
    kinds = {spec.name: spec.kind for spec in document.services}
    for i, rule in enumerate(document.rules):
        reason = _path_mismatch(rule.path_prefix, kinds[rule.service])
        if reason:
            yield ValidationIssue(
                f"$.rules[{i}].path_prefix", f"never matches: {reason}"
            )


def unmatched_methods(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a method that no accepted request has."""
    kinds = {spec.name: spec.kind for spec in document.services}
    for i, rule in enumerate(document.rules):
        for j, method in enumerate(rule.methods):
            reason = _method_mismatch(method, kinds[rule.service])
            if reason:
                path = f"$.rules[{i}].methods[{j}]"
                yield ValidationIssue(path, f"never matches: {reason}")


def unusable_workspace_keys(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a workspace without keys, and of hashes that no key has."""
    for i, workspace in enumerate(document.workspaces):
        path = f"$.workspaces[{i}].key_hashes"
        if not workspace.key_hashes:
            yield ValidationIssue(path, "is empty, so no caller can use the workspace")
        for j, value in enumerate(workspace.key_hashes):
            if not is_sha256(value):
                text = "is not a SHA-256 in hex, so no key matches it"
                yield ValidationIssue(f"{path}[{j}]", text)


def unused_tiers(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a tier at which no workspace may use any service."""
    used = set()
    for allowed in _distinct_allowances(document).values():
        for spec in document.services:
            used |= _served(spec, allowed)
    for i, tier in enumerate(document.tiers):
        if tier.name not in used:
            text = f'no workspace may use a service at tier "{tier.name}"'
            yield ValidationIssue(f"$.tiers[{i}]", text)


def unusable_services(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a service whose tiers are all higher than workspaces may use."""
    allowed = set()
    for tiers in _distinct_allowances(document).values():
        allowed |= tiers
    for i, spec in enumerate(document.services):
        if document.workspaces and spec.tiers and not allowed & set(spec.tiers):
            text = "no workspace may use any of these tiers, so no caller is served"
            yield ValidationIssue(f"$.services[{i}].tiers", text)


def unreachable_shares(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a workspace whose share counts nowhere, as no service serves it."""
    if not document.services:
        return
    reachable = {
        name: any(_served(spec, allowed) for spec in document.services)
        for name, allowed in _distinct_allowances(document).items()
    }
    for i, workspace in enumerate(document.workspaces):
        if not reachable[_highest_tier(workspace)]:
            text = "no service serves a tier that this workspace may use"
            yield ValidationIssue(f"$.workspaces[{i}].share", text)


RULES = (
    unreachable_rules,
    unmatched_paths,
    unmatched_methods,
    unusable_workspace_keys,
    unused_tiers,
    unusable_services,
    unreachable_shares,
)


def is_sha256(text: str) -> bool:
    """Return whether a text is a SHA-256 in lower-case hex."""
    return len(text) == 64 and all(char in "0123456789abcdef" for char in text)


def _covering(rule: Rule, earlier: list[tuple[int, Rule]]) -> list[int]:
    """Return the earlier rules that together match every request of a rule."""
    left = set(rule.methods)
    found = []
    for j, other in earlier:
        if not rule.path_prefix.startswith(other.path_prefix):
            continue
        if not other.methods:
            return [*found, j]
        if left & set(other.methods):
            left -= set(other.methods)
            found.append(j)
            if not left:
                return found
    return []


def _path_mismatch(prefix: str, kind: str) -> str | None:
    if prefix and not prefix.startswith("/"):
        return "every path starts with /"
    # The last segment may go on in the path, such as /. in /.well-known.
    if REFUSED_SEGMENTS & set(prefix.split("/")[1:-1]):
        return "paths with an empty, . or .. segment are refused"
    if "\\" in prefix or not prefix.isprintable():
        return "paths with a backslash or control characters are refused"
    if kind == "model" and not any(path.startswith(prefix) for path in MODEL_PATHS):
        return f"model services are served at {' and '.join(MODEL_PATHS)}"
    return None


def _method_mismatch(method: str, kind: str) -> str | None:
    if METHOD_FORM.fullmatch(method) is None:
        return "methods are written in capitals"
    if method in REFUSED_METHODS:
        return f"{method} requests are refused"
    if kind == "model" and method != MODEL_METHOD:
        return f"model services are called with {MODEL_METHOD}"
    return None


def _highest_tier(workspace: Workspace) -> str:
    return workspace.highest_tier or workspace.tier


def _distinct_allowances(document: Document) -> dict[str, set[str]]:
    """Return the tiers that workspaces may use, by their highest tier."""
    ranks = {tier.name: tier.rank for tier in document.tiers}
    highest = {_highest_tier(workspace) for workspace in document.workspaces}
    return {
        name: {tier for tier, rank in ranks.items() if rank >= ranks[name]}
        for name in highest
    }


def _served(spec: ServiceSpec, allowed: set[str]) -> set[str]:
    return allowed & set(spec.tiers) if spec.tiers else allowed
