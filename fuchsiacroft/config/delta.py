"""Changes between two versions of the document."""

import msgspec

from fuchsiacroft.config.document import (
    Document,
    Rule,
    ServiceSpec,
    Tier,
    Workspace,
)
from fuchsiacroft.config.validation import ValidationIssue
from fuchsiacroft.transport import codec

MAX_DELTA_BYTES = codec.MAX_ENTRY_BYTES


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The difference between a document and the next version.

    Named items are added, replaced or removed by name. Tiers and rules are
    ordered lists and are replaced as a whole when they change.
    """

    put_services: tuple[ServiceSpec, ...] = ()
    removed_services: tuple[str, ...] = ()
    put_workspaces: tuple[Workspace, ...] = ()
    removed_workspaces: tuple[str, ...] = ()
    tiers: tuple[Tier, ...] | None = None
    rules: tuple[Rule, ...] | None = None


def compute_delta(old: Document, new: Document) -> Delta:
    """Return the delta that turns `old` into `new`."""
    put_services, removed_services = _diff_items(old.services, new.services)
    put_workspaces, removed_workspaces = _diff_items(old.workspaces, new.workspaces)
    return Delta(
        put_services=put_services,
        removed_services=removed_services,
        put_workspaces=put_workspaces,
        removed_workspaces=removed_workspaces,
        tiers=tuple(new.tiers) if new.tiers != old.tiers else None,
        rules=tuple(new.rules) if new.rules != old.rules else None,
    )


def apply_delta(old: Document, delta: Delta) -> Document:
    """Return the result of applying a delta to `old`."""
    return Document(
        tiers=list(delta.tiers) if delta.tiers is not None else old.tiers,
        services=_merge_items(old.services, delta.put_services, delta.removed_services),
        workspaces=_merge_items(
            old.workspaces, delta.put_workspaces, delta.removed_workspaces
        ),
        rules=list(delta.rules) if delta.rules is not None else old.rules,
    )


def size_issue(delta: Delta) -> ValidationIssue | None:
    """Return the issue of a delta that is too large for a message.

    A leader could append it to the log, but no other member would receive it, nor
    any command after it.
    """
    size = len(msgspec.msgpack.encode(delta))
    if size <= MAX_DELTA_BYTES:
        return None
    text = (
        f"the change takes {size} bytes, more than {MAX_DELTA_BYTES}; make it in "
        "several smaller ones"
    )
    return ValidationIssue("$", text)


def _diff_items(old: list, new: list) -> tuple[tuple, tuple[str, ...]]:
    before = {item.name: item for item in old}
    put = tuple(item for item in new if before.get(item.name) != item)
    kept = {item.name for item in new}
    return put, tuple(name for name in before if name not in kept)


def _merge_items(old: list, put: tuple, removed: tuple[str, ...]) -> list:
    if not put and not removed:
        return old
    items = {item.name: item for item in old}
    for name in removed:
        items.pop(name, None)
    for item in put:
        items[item.name] = item
    return sorted(items.values(), key=lambda item: item.name)
