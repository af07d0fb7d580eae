"""Checks whether an answer on a backend server's connection is the request's own."""

import enum
from dataclasses import dataclass

from multidict import CIMultiDictProxy


class AnswerIdentity(enum.Enum):
    """Whose answer an answer is, by the request id that it names."""

    OWN = "own"
    OTHER = "other"
    UNNAMED = "unnamed"


@dataclass(frozen=True, slots=True)
class RequestName:
    """The header in which a backend server names the request that it answers."""

    header: str
    request_id: str

    def identify(self, headers: CIMultiDictProxy[str]) -> AnswerIdentity:
        """Return whose answer has these headers."""
        named = set(headers.getall(self.header, ()))
        if named == {self.request_id}:
            return AnswerIdentity.OWN
        return AnswerIdentity.OTHER if named else AnswerIdentity.UNNAMED
