"""Results of requests to the operators' API."""

from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control.api_messages import (
    ChangeResponse,
    Conflict,
    DocumentIssue,
    ErrorResponse,
    InForceResponse,
    InvalidDocument,
    MemberStatus,
)

RETRYABLE_STATUSES = (429, 500, 502, 503, 504)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No control member responded; `reasons` has the reason for each."""

    reasons: tuple[str, ...]

    def __str__(self) -> str:
        return "no control member answers: " + "; ".join(self.reasons)


@dataclass(frozen=True, slots=True)
class Denied:
    """A control member rejected the request."""

    status: int
    detail: str

    def __str__(self) -> str:
        return f"refused ({self.status}): {self.detail}"


@dataclass(frozen=True, slots=True)
class DocumentRejected:
    """The document has validation errors."""

    faults: tuple[DocumentIssue, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


ReadError = Unreachable | Denied
ChangeError = Unreachable | Denied | DocumentRejected | Conflict


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """An HTTP response of a process."""

    status: int
    body: bytes

    @property
    def is_final(self) -> bool:
        """Whether trying another control member would not help."""
        return self.status not in RETRYABLE_STATUSES

    def decode(self, kind: type) -> Result:
        """Decode the body of a successful response as `kind`, or return the error."""
        if self.status == 200:
            return Ok(msgspec.json.decode(self.body, type=kind))
        return Error(self.denied())

    def denied(self) -> Denied:
        """Return this response as a rejection."""
        try:
            detail = msgspec.json.decode(self.body, type=ErrorResponse).detail
        except msgspec.MsgspecError:
            detail = self.body[:200].decode(errors="replace")
        return Denied(self.status, detail)

    def change_result(self) -> Result[ChangeResponse, ChangeError]:
        """Return the result of a change."""
        if self.status == 409:
            return Error(msgspec.json.decode(self.body, type=Conflict))
        return self._check_status().bind(lambda _: self.decode(ChangeResponse))

    def check_result(self) -> Result[None, ChangeError]:
        """Return the validation errors of a draft, if any."""
        return self._check_status()

    def _check_status(self) -> Result[None, ChangeError]:
        match self.status:
            case 200:
                return Ok(None)
            case 422:
                invalid = msgspec.json.decode(self.body, type=InvalidDocument)
                return Error(DocumentRejected(invalid.faults))
        return Error(self.denied())


def member_status(response: Result[ApiResponse, str]) -> MemberStatus | str:
    """Return a member's status, or why it is unknown."""
    match response.bind(lambda received: received.decode(MemberStatus)):
        case Result(tag="ok", ok=status):
            return status
        case Result(error=reason):
            return str(reason)


def merge_versions(responses: list[InForceResponse]) -> InForceResponse:
    """Merge responses to the newest version of each process."""
    in_force: dict[str, int] = {}
    for response in responses:
        for node, version in response.in_force.items():
            in_force[node] = max(version, in_force.get(node, 0))
    newest = max(response.version for response in responses)
    return InForceResponse(newest, dict(sorted(in_force.items())))
