"""The bodies of the operators' API, shared by its server and its clients."""

import msgspec

from fuchsiacroft.config.changes import Change
from fuchsiacroft.config.document import Document
from fuchsiacroft.control.configuration import VersionRecord

CHANGE_ID_HEADER = "Fuchsiacroft-Change-Id"
OPERATOR_HEADER = "Fuchsiacroft-Operator"
MAX_CHANGE_ID_LENGTH = 200
MAX_OPERATOR_LENGTH = 100


class DocumentResponse(msgspec.Struct, frozen=True):
    """A document and its version."""

    version: int
    document: Document


class ChangeResponse(msgspec.Struct, frozen=True):
    """The change is accepted as `version`; `resent` if that was so before."""

    version: int
    resent: bool = False


class ErrorResponse(msgspec.Struct, frozen=True):
    """A request that changed nothing, and why."""

    title: str
    detail: str


class Conflict(msgspec.Struct, frozen=True):
    """Others changed the document first; `changes` is what they changed.

    `changes` is None when the held version is too old to compare with.
    """

    title: str
    detail: str
    version: int
    operators: tuple[str, ...] = ()
    changes: tuple[Change, ...] | None = ()


class DocumentFault(msgspec.Struct, frozen=True):
    """One fault of a document, with its JSON path."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class InvalidDocument(msgspec.Struct, frozen=True):
    """Every fault of a document that was refused."""

    title: str
    faults: tuple[DocumentFault, ...]


class HistoryResponse(msgspec.Struct, frozen=True):
    """Versions, the oldest first."""

    versions: list[VersionRecord]


class InForceResponse(msgspec.Struct, frozen=True):
    """The newest version, and the version that each process has in force."""

    version: int
    in_force: dict[str, int]


class MemberStatus(msgspec.Struct, frozen=True):
    """How one control member sees the system.

    `term` is the leader's fencing number; `leader_peer` its peer address.
    """

    node: str
    failure_domain: str
    version: int
    leads: bool
    term: int
    leader_peer: str | None
    in_force: dict[str, int]
