"""The replicated document with its versions, change ids and history.

The log contains deltas, so that the cost of a change depends on its size and
not on the size of the document.
"""

import itertools
from collections import OrderedDict, deque

import msgspec

from fuchsiacroft.config.bounds import Seconds, Whole
from fuchsiacroft.config.delta import Delta, apply_delta
from fuchsiacroft.config.document import EMPTY_DOCUMENT, Document
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.transport import codec

RETAINED_VERSIONS = 2_000
RETAINED_CHANGE_IDS = 200_000


@codec.message("configuration.change")
class ChangeDocument(msgspec.Struct, frozen=True):
    """Apply a delta if `held_version` is still the newest version.

    `change_id` makes the change idempotent; `operator` is for the audit log and
    `changed_at` is the time in seconds since the epoch.
    """

    held_version: Whole
    change_id: str
    operator: str
    delta: Delta
    changed_at: Seconds = 0.0


@codec.message("configuration.accepted")
class ChangeAccepted(msgspec.Struct, frozen=True):
    """The change is accepted as `version`; a resent change gets the same version."""

    version: Whole
    resent: bool = False


@codec.message("configuration.conflict")
class ChangeConflict(msgspec.Struct, frozen=True):
    """Another change was accepted first: the newest version and its operator."""

    version: Whole
    operator: str


class VersionRecord(msgspec.Struct, frozen=True):
    """One version in the history, with the delta from the previous version."""

    version: int
    change_id: str
    operator: str
    changed_at: float
    delta: Delta


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    document: Document
    history: list[VersionRecord]
    changes: list[tuple[str, int]]
    base: Document = EMPTY_DOCUMENT


class ConfigurationState(StateMachine):
    """The newest version of the document, and its recent history."""

    commands = (ChangeDocument,)

    def __init__(self) -> None:
        self.version = 0
        self.document = EMPTY_DOCUMENT
        self._base = EMPTY_DOCUMENT
        self._history: deque[VersionRecord] = deque()
        self._versions_by_change_id: OrderedDict[str, int] = OrderedDict()
        self._listeners: list = []

    def on_change(self, listener) -> None:
        """Register a callback that is called after every new version."""
        self._listeners.append(listener)

    def apply(self, index: int, command: ChangeDocument) -> msgspec.Struct:
        """Apply a change, unless it is a duplicate or conflicts."""
        accepted_version = self._versions_by_change_id.get(command.change_id)
        if accepted_version is not None:
            return ChangeAccepted(accepted_version, resent=True)
        if command.held_version != self.version:
            return ChangeConflict(self.version, self._last_operator())
        self._apply_change(command)
        return ChangeAccepted(self.version)

    def records_since(self, version: int) -> list[VersionRecord] | None:
        """Return the records after `version`, or None if they are not retained."""
        if version == self.version:
            return []
        if version > self.version or not self._history:
            return None
        first = self._history[0].version
        if version + 1 < first:
            return None
        return [record for record in self._history if record.version > version]

    def history(self) -> list[VersionRecord]:
        """Return the retained versions, oldest first."""
        return list(self._history)

    def document_at(self, version: int) -> Document | None:
        """Return the document at a version, or None if it is not retained."""
        if version == self.version:
            return self.document
        oldest = self.version - len(self._history)
        if not oldest <= version < self.version:
            return None
        document = self._base
        for record in itertools.islice(self._history, version - oldest):
            document = apply_delta(document, record.delta)
        return document

    def snapshot(self) -> bytes:
        """Return the document, its history and the retained change ids, encoded."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.version,
                self.document,
                list(self._history),
                list(self._versions_by_change_id.items()),
                self._base,
            )
        )

    def restore(self, data: bytes) -> None:
        """Restore the state from a snapshot."""
        saved = msgspec.msgpack.decode(data, type=_Snapshot)
        self.version = saved.version
        self.document = saved.document
        self._base = saved.base
        self._history = deque(saved.history)
        self._versions_by_change_id = OrderedDict(saved.changes)
        self._notify()

    def _apply_change(self, command: ChangeDocument) -> None:
        self.document = apply_delta(self.document, command.delta)
        self.version += 1
        self._history.append(
            VersionRecord(
                self.version,
                command.change_id,
                command.operator,
                command.changed_at,
                command.delta,
            )
        )
        if len(self._history) > RETAINED_VERSIONS:
            self._base = apply_delta(self._base, self._history.popleft().delta)
        self._versions_by_change_id[command.change_id] = self.version
        while len(self._versions_by_change_id) > RETAINED_CHANGE_IDS:
            self._versions_by_change_id.popitem(last=False)
        self._notify()

    def _last_operator(self) -> str:
        return self._history[-1].operator if self._history else ""

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
