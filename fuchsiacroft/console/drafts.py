"""Edits of one item of the document, and mapping of faults to its fields.

Documents are JSON-compatible values here, as entered and not yet validated.
"""

import re
from dataclasses import dataclass

from fuchsiacroft.config.bounds import whole_number
from fuchsiacroft.console.forms import Form
from fuchsiacroft.control.api_messages import DocumentIssue

FAULT_PATH = re.compile(r"\$\.(\w+)\[(\d+)\](?:\.(\w+))?")


@dataclass(frozen=True, slots=True)
class ItemRef:
    """Refers to an item of a part by name or, for rules, by position from 1.

    An empty `key` refers to an item that does not exist yet.
    """

    form: Form
    key: str = ""

    def index(self, document: dict) -> int | None:
        """Return the item's index in its part, or None."""
        items = document[self.form.part]
        if self.form.is_ordered:
            index = (whole_number(self.key) or 0) - 1
            return index if 0 <= index < len(items) else None
        names = [item["name"] for item in items]
        return names.index(self.key) if self.key in names else None

    def find(self, document: dict) -> dict | None:
        """Return the item, or None."""
        index = self.index(document)
        return None if index is None else document[self.form.part][index]


@dataclass(frozen=True, slots=True)
class Draft:
    """A document with one edited item, and that item's location."""

    document: dict
    part: str
    index: int

    @property
    def item(self) -> dict:
        """Return the edited item."""
        return self.document[self.part][self.index]


def put_item(document: dict, ref: ItemRef, item: dict, position: str = "") -> Draft:
    """Return the document with an item added or updated.

    Values that the form does not show are kept. `position` is the new position
    of a rule, counted from 1.
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
    place = whole_number(position)
    if ref.form.is_ordered and place is not None:
        moved = items.pop(index)
        index = min(max(place - 1, 0), len(items))
        items.insert(index, moved)
    return Draft(document | {ref.form.part: items}, ref.form.part, index)


def remove_item(document: dict, ref: ItemRef) -> dict | None:
    """Return the document without an item, or None if the item does not exist."""
    index = ref.index(document)
    if index is None:
        return None
    items = list(document[ref.form.part])
    del items[index]
    return document | {ref.form.part: items}


def faults_by_field(
    draft: Draft, faults: tuple[DocumentIssue, ...]
) -> tuple[dict[str, str], list[str]]:
    """Return the edited item's faults by field, and all other faults."""
    fields: dict[str, str] = {}
    others = []
    for fault in faults:
        found = FAULT_PATH.match(fault.path)
        is_edited_item = found is not None and (found[1], int(found[2])) == (
            draft.part,
            draft.index,
        )
        if is_edited_item and found[3]:
            fields.setdefault(found[3], fault.message)
        else:
            others.append(str(fault))
    return fields, others
