"""Edits of one item of the document, and the faults that belong to its fields.

Documents are JSON-compatible values here, as entered and not yet checked.
"""

import re
from dataclasses import dataclass

from fuchsiacroft.console.forms import Form
from fuchsiacroft.control.api_messages import DocumentFault

FAULT_PATH = re.compile(r"\$\.(\w+)\[(\d+)\](?:\.(\w+))?")


@dataclass(frozen=True, slots=True)
class ItemRef:
    """An item of a part: by name, or by position from 1 for rules.

    An empty `key` is an item that does not exist yet.
    """

    form: Form
    key: str = ""

    def index(self, document: dict) -> int | None:
        """Return the item's index in its part, or None."""
        items = document[self.form.part]
        if self.form.is_ordered:
            known = self.key.isascii() and self.key.isdigit()
            index = int(self.key) - 1 if known else -1
            return index if 0 <= index < len(items) else None
        names = [item["name"] for item in items]
        return names.index(self.key) if self.key in names else None

    def find(self, document: dict) -> dict | None:
        """Return the item, or None."""
        index = self.index(document)
        return None if index is None else document[self.form.part][index]


@dataclass(frozen=True, slots=True)
class Draft:
    """A document with one item edited, and where that item stands in it."""

    document: dict
    part: str
    index: int

    @property
    def item(self) -> dict:
        """Return the item as edited."""
        return self.document[self.part][self.index]


def put(document: dict, ref: ItemRef, item: dict, position: str = "") -> Draft:
    """Return the document with an item added or replaced.

    Values that the form does not show are kept. `position` counts from 1 and
    moves a rule.
    """
    items = list(document[ref.form.part])
    index = ref.index(document)
    if index is None:
        if ref.form.part == "workspaces":
            item = {"key_hashes": []} | item
        items.append(item)
        index = len(items) - 1
    else:
        items[index] = items[index] | item
    if ref.form.is_ordered and position.isascii() and position.isdigit():
        moved = items.pop(index)
        index = min(max(int(position) - 1, 0), len(items))
        items.insert(index, moved)
    return Draft(document | {ref.form.part: items}, ref.form.part, index)


def remove(document: dict, ref: ItemRef) -> dict | None:
    """Return the document without an item, or None if there is no such item."""
    index = ref.index(document)
    if index is None:
        return None
    items = list(document[ref.form.part])
    del items[index]
    return document | {ref.form.part: items}


def faults_by_field(
    draft: Draft, faults: tuple[DocumentFault, ...]
) -> tuple[dict[str, str], list[str]]:
    """Return the faults of the edited item's fields, and all others."""
    fields: dict[str, str] = {}
    others = []
    for fault in faults:
        found = FAULT_PATH.match(fault.path)
        own = found is not None and (found[1], int(found[2])) == (
            draft.part,
            draft.index,
        )
        if own and found[3]:
            fields.setdefault(found[3], fault.message)
        else:
            others.append(str(fault))
    return fields, others
