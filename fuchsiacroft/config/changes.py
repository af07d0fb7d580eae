"""Names what differs between two documents, item by item."""

import enum

import msgspec

from fuchsiacroft.config.document import Document

NAMED_PARTS = ("tiers", "services", "workspaces")


class ChangeKind(enum.Enum):
    """What became of an item."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class Change(msgspec.Struct, frozen=True):
    """One item that differs; `fields` are those changed, by name."""

    part: str
    name: str
    kind: ChangeKind
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        text = f'{self.part}: "{self.name}" {self.kind.value}'
        return f"{text} ({', '.join(self.fields)})" if self.fields else text


def list_changes(old: Document, new: Document) -> tuple[Change, ...]:
    """Return every item that differs, in the order of the document's parts.

    The order of named items means nothing. Rules have no names and their
    order decides, so they are named by their position, counted from 1.
    """
    changes = []
    for part in NAMED_PARTS:
        before = {item.name: item for item in getattr(old, part)}
        after = {item.name: item for item in getattr(new, part)}
        changes += _part_changes(part, before, after)
    before = {f"rule {i}": rule for i, rule in enumerate(old.rules, 1)}
    after = {f"rule {i}": rule for i, rule in enumerate(new.rules, 1)}
    return tuple(changes + _part_changes("rules", before, after))


def _part_changes(part: str, before: dict, after: dict) -> list[Change]:
    changes = []
    for name, item in after.items():
        old = before.get(name)
        if old is None:
            changes.append(Change(part, name, ChangeKind.ADDED))
        elif old != item:
            fields = _changed_fields(old, item)
            changes.append(Change(part, name, ChangeKind.CHANGED, fields))
    for name in before:
        if name not in after:
            changes.append(Change(part, name, ChangeKind.REMOVED))
    return changes


def _changed_fields(old: msgspec.Struct, new: msgspec.Struct) -> tuple[str, ...]:
    return tuple(
        name
        for name in new.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    )
