"""Item-by-item differences between two documents."""

import enum

import msgspec

from fuchsiacroft.config.document import Document

NAMED_SECTIONS = ("tiers", "services", "workspaces")


class ChangeKind(enum.Enum):
    """How an item changed."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class Change(msgspec.Struct, frozen=True):
    """One item that differs; `fields` are the names of its changed fields."""

    part: str
    name: str
    kind: ChangeKind
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        text = f'{self.part}: "{self.name}" {self.kind.value}'
        return f"{text} ({', '.join(self.fields)})" if self.fields else text


def list_changes(old: Document, new: Document) -> tuple[Change, ...]:
    """Return every item that differs, in the order of the document's sections.

    The order of named items is ignored. Rules have no names and their order is
    significant, so they are identified by their position, counted from 1.
    """
    changes = []
    for section in NAMED_SECTIONS:
        before = {item.name: item for item in getattr(old, section)}
        after = {item.name: item for item in getattr(new, section)}
        changes += _section_changes(section, before, after)
    before = {f"rule {i}": rule for i, rule in enumerate(old.rules, 1)}
    after = {f"rule {i}": rule for i, rule in enumerate(new.rules, 1)}
    return tuple(changes + _section_changes("rules", before, after))


def _section_changes(section: str, before: dict, after: dict) -> list[Change]:
    changes = []
    for name, item in after.items():
        old = before.get(name)
        if old is None:
            changes.append(Change(section, name, ChangeKind.ADDED))
        elif old != item:
            fields = _changed_fields(old, item)
            changes.append(Change(section, name, ChangeKind.CHANGED, fields))
    for name in before:
        if name not in after:
            changes.append(Change(section, name, ChangeKind.REMOVED))
    return changes


def _changed_fields(old: msgspec.Struct, new: msgspec.Struct) -> tuple[str, ...]:
    return tuple(
        name
        for name in new.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    )
