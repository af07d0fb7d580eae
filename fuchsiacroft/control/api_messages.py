"""The message bodies of the operators' API, shared by server and clients."""

from typing import Annotated

import msgspec

from fuchsiacroft.config.bounds import PeriodS, SoftwareVersion
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
    """The change is accepted as `version`; `resent` if it had been accepted before."""

    version: int
    resent: bool = False


class ErrorResponse(msgspec.Struct, frozen=True):
    """An error response: its title and the reason.

    The request changed nothing, unless the status is 504: then it is unknown
    whether it took effect.
    """

    title: str
    detail: str


class Conflict(msgspec.Struct, frozen=True):
    """Other operators have changed the document since the expected version.

    `changes` lists their changes; it is None if the expected version is too old to
    compare with.
    """

    title: str
    detail: str
    version: int
    operators: tuple[str, ...] = ()
    changes: tuple[Change, ...] | None = ()


class DocumentIssue(msgspec.Struct, frozen=True):
    """One validation error of a document, with its JSON path."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class InvalidDocument(msgspec.Struct, frozen=True):
    """All validation errors of a document; empty if a checked document is valid."""

    title: str
    faults: tuple[DocumentIssue, ...]


class HistoryResponse(msgspec.Struct, frozen=True):
    """Document versions, oldest first."""

    versions: list[VersionRecord]


class InForceResponse(msgspec.Struct, frozen=True):
    """The newest version, and the version that each process has in force."""

    version: int
    in_force: dict[str, int]


class RolloutOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Move a service to a software version within `duration_s`."""

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    to: Annotated[SoftwareVersion, msgspec.Meta(min_length=1)]
    duration_s: PeriodS


class RolloutStatus(msgspec.Struct, frozen=True):
    """The newest rollout of a service.

    `state` is `running`, `completed` or `rolled_back`; `elapsed_s` is the time since
    the order at the last step, and `reason` why that step was taken.
    """

    service: str
    to: str
    state: str
    stage: str
    share: float
    duration_s: float
    elapsed_s: float
    reason: str


class RolloutsResponse(msgspec.Struct, frozen=True):
    """The newest rollout of each service, by name."""

    rollouts: list[RolloutStatus]


class MemberStatus(msgspec.Struct, frozen=True):
    """The status of the system as seen by one control member.

    `leads` is whether this member is the leader, `term` the leader's fencing
    token and `leader_peer` its peer address.
    """

    node: str
    failure_domain: str
    version: int
    leads: bool
    term: int
    leader_peer: str | None
    in_force: dict[str, int]
