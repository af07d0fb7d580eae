"""What came of a request to the operators' API."""

from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control.api_messages import (
    ChangeResponse,
    Conflict,
    DocumentFault,
    ErrorResponse,
    InForceResponse,
    InvalidDocument,
    MemberStatus,
)

TRY_ANOTHER = (429, 500, 502, 503, 504)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No control member gave an answer; `reasons` has one for each."""

    reasons: tuple[str, ...]

    def __str__(self) -> str:
        return "no control member answers: " + "; ".join(self.reasons)


@dataclass(frozen=True, slots=True)
class Denied:
    """A control member refused the request."""

    status: int
    detail: str

    def __str__(self) -> str:
        return f"refused ({self.status}): {self.detail}"


@dataclass(frozen=True, slots=True)
class Faulty:
    """The document has faults."""

    faults: tuple[DocumentFault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


ReadError = Unreachable | Denied
ChangeError = Unreachable | Denied | Faulty | Conflict


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer of a process."""

    status: int
    body: bytes

    @property
    def is_final(self) -> bool:
        """Tell whether another control member would answer no better."""
        return self.status not in TRY_ANOTHER

    def read(self, kind: type) -> Result:
        """Return the body of a good answer as `kind`, or the refusal."""
        if self.status == 200:
            return Ok(msgspec.json.decode(self.body, type=kind))
        return Error(self.denied())

    def denied(self) -> Denied:
        """Return the refusal that this answer is."""
        try:
            detail = msgspec.json.decode(self.body, type=ErrorResponse).detail
        except msgspec.MsgspecError:
            detail = self.body[:200].decode(errors="replace")
        return Denied(self.status, detail)

    def change_result(self) -> Result[ChangeResponse, ChangeError]:
        """Return what came of a change."""
        if self.status == 409:
            return Error(msgspec.json.decode(self.body, type=Conflict))
        return self._checked().bind(lambda _: self.read(ChangeResponse))

    def check_result(self) -> Result[None, ChangeError]:
        """Return the faults of a draft, if it has any."""
        return self._checked()

    def _checked(self) -> Result[None, ChangeError]:
        match self.status:
            case 200:
                return Ok(None)
            case 422:
                invalid = msgspec.json.decode(self.body, type=InvalidDocument)
                return Error(Faulty(invalid.faults))
        return Error(self.denied())


def member_status(answer: Result[Answer, str]) -> MemberStatus | str:
    """Return a member's status, or why it has none."""
    match answer.bind(lambda got: got.read(MemberStatus)):
        case Result(tag="ok", ok=status):
            return status
        case Result(error=reason):
            return str(reason)


def merged(answers: list[InForceResponse]) -> InForceResponse:
    """Return the newest version that any answer gives for each process."""
    in_force: dict[str, int] = {}
    for answer in answers:
        for node, version in answer.in_force.items():
            in_force[node] = max(version, in_force.get(node, 0))
    newest = max(answer.version for answer in answers)
    return InForceResponse(newest, dict(sorted(in_force.items())))
