"""What the changes of a document do to callers, one sentence for each field."""

from collections.abc import Callable

import msgspec

from fuchsiacroft.config import changes
from fuchsiacroft.config.changes import Change, ChangeKind
from fuchsiacroft.config.document import Document, Rule, ServiceSpec, Tier, Workspace

Item = Tier | ServiceSpec | Workspace | Rule


class Difference(msgspec.Struct, frozen=True):
    """One item that differs, and what the change does to callers."""

    part: str
    name: str
    kind: str
    fields: tuple[str, ...]
    effects: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.change}: {'; '.join(self.effects)}"

    @property
    def change(self) -> Change:
        """Return the change without its effects."""
        return Change(self.part, self.name, ChangeKind(self.kind), self.fields)


def list_differences(old: Document, new: Document) -> list[Difference]:
    """Return each item that differs, with the effects of the change."""
    before, after = _items(old), _items(new)
    return [
        Difference(
            change.part,
            change.name,
            change.kind.value,
            change.fields,
            _effects(change, before, after),
        )
        for change in changes.list_changes(old, new)
    ]


def _items(document: Document) -> dict[tuple[str, str], Item]:
    found: dict[tuple[str, str], Item] = {
        (section, item.name): item
        for section in changes.NAMED_SECTIONS
        for item in getattr(document, section)
    }
    for i, rule in enumerate(document.rules, 1):
        found["rules", f"rule {i}"] = rule
    return found


def _effects(change: Change, before: dict, after: dict) -> tuple[str, ...]:
    key = change.part, change.name
    match change.kind:
        case ChangeKind.ADDED:
            return (ADDED[change.part](after[key]),)
        case ChangeKind.REMOVED:
            return (REMOVED[change.part](before[key]),)
    old, new = before[key], after[key]
    if change.part == "rules":
        return (f"{_describe_rule(new)}; before: {_describe_rule(old)}",)
    return tuple(
        CHANGED[change.part, field](getattr(old, field), getattr(new, field))
        for field in change.fields
    )


def _describe_rule(rule: Rule) -> str:
    methods = " ".join(rule.methods) or "all"
    requests = f'{methods} requests of "{rule.service}" under "{rule.path_prefix}"'
    if rule.idempotent:
        return f"{requests} may run again after a failure"
    key = "need an idempotency key" if rule.key_required else "need no key"
    return f"{requests} run at most once and {key}"


def _seconds(text: str) -> Callable[[float, float], str]:
    return lambda old, new: f"{text} {new:g} s instead of {old:g} s"


def _rank(old: int, new: int) -> str:
    urgency = "more" if new < old else "less"
    return f"its requests are {urgency} urgent: rank {new} instead of {old}"


def _kind(old: str, new: str) -> str:
    return f"is served as a {new} service; requests to it as a {old} one get 404"


def _service_tiers(old: list[str], new: list[str]) -> str:
    def described(tiers: list[str]) -> str:
        return ", ".join(tiers) or "every tier"

    return f"serves {described(new)} instead of {described(old)}; others get 403"


def _body_bytes(old: int, new: int) -> str:
    return f"bodies over {new} instead of {old} bytes get 413"


def _replicas(old: int, new: int) -> str:
    return f"{new} instead of {old} copies of the model are wanted on engines"


def _key_hashes(old: list[str], new: list[str]) -> str:
    # The hashes themselves are kept out of the output.
    added, removed = len(set(new) - set(old)), len(set(old) - set(new))
    return f"{added} more keys are accepted, {removed} of its keys get 401"


def _default_tier(old: str, new: str) -> str:
    return f'requests that name no tier run at "{new}" instead of "{old}"'


def _highest_tier(old: str | None, new: str | None) -> str:
    names = [f'"{name}"' if name else "its default tier" for name in (new, old)]
    return f"may use up to {names[0]} instead of {names[1]}; higher ones get 403"


def _share(old: float, new: float) -> str:
    part = "larger" if new > old else "smaller"
    return f"gets a {part} part of scarce slots: weight {new:g} instead of {old:g}"


def _retries(old: float, new: float) -> str:
    return f"up to {new:g} instead of {old:g} of its requests a second are retried"


ADDED = {
    "tiers": lambda tier: (
        f"callers may name it; responses take up to {tier.timeout_s:g} s"
    ),
    "services": lambda spec: f"callers may use it as a {spec.kind} service",
    "workspaces": lambda space: (
        f'its {len(space.key_hashes)} keys are accepted, at tier "{space.tier}"'
    ),
    "rules": lambda rule: f"{_describe_rule(rule)}, unless an earlier rule matches",
}
REMOVED = {
    "tiers": lambda _: "requests that name it get 400 (unknown_tier)",
    "services": lambda _: "its requests get 404 (unknown_service)",
    "workspaces": lambda space: (
        f"its {len(space.key_hashes)} keys get 401 (unknown_key)"
    ),
    "rules": lambda rule: f"no longer: {_describe_rule(rule)}",
}
CHANGED: dict[tuple[str, str], Callable] = {
    ("tiers", "rank"): _rank,
    ("tiers", "timeout_s"): _seconds("its requests end after at most"),
    ("services", "kind"): _kind,
    ("services", "tiers"): _service_tiers,
    ("services", "first_token_target_s"): _seconds("first token is due within"),
    ("services", "token_gap_target_s"): _seconds("each next token is due within"),
    ("services", "max_body_bytes"): _body_bytes,
    ("services", "replicas"): _replicas,
    ("workspaces", "key_hashes"): _key_hashes,
    ("workspaces", "tier"): _default_tier,
    ("workspaces", "highest_tier"): _highest_tier,
    ("workspaces", "share"): _share,
    ("workspaces", "retries_per_s"): _retries,
}
