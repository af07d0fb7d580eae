"""What the replies of entries show together of a stream's origin.

It does no I/O; the order of the replies makes no difference.
"""

import enum
from collections.abc import Iterable

from expression import Error, Ok, Result

from fuchsiacroft.streams.messages import OriginReply
from fuchsiacroft.streams.origin import StreamOrigin

SETTLING_DOMAINS = 2
"""Failure domains whose entries know a stream, after which no more replies are awaited.

One of them at least has an owner, which was notified of all streams with the same id.
"""


class OriginError(enum.Enum):
    """Why the origin of a stream is not certain.

    `UNKNOWN`: no reachable entry was notified of it, and several versions may have
    begun it. `AMBIGUOUS`: its id was used for streams of different origins.
    """

    UNKNOWN = "unknown"
    AMBIGUOUS = "ambiguous"


class Lookup:
    """The replies to one search; it may ask in several rounds.

    `service` is the one that began the stream, None if it may be one of several.
    """

    def __init__(self, service: str | None) -> None:
        self._service = service
        self._origins: set[StreamOrigin] = set()
        self._expected: set[str] = set()
        self._replied: set[str] = set()
        self._knowing: set[str] = set()
        self._saw_all = False
        self.versions: set[str] = set()
        self.replies = 0

    @property
    def is_known(self) -> bool:
        """Whether an entry was notified of the stream."""
        return bool(self._origins)

    @property
    def is_settled(self) -> bool:
        """Whether further replies would change nothing."""
        return len(self._origins) > 1 or len(self._knowing) >= SETTLING_DOMAINS

    def begin_round(self) -> None:
        """Forget which failure domains have replied."""
        self._expected.clear()
        self._replied.clear()

    def expect(self, domains: Iterable[str]) -> None:
        """Expect a reply from each failure domain that may know the stream."""
        self._expected.update(domains)

    def add(self, domain: str, reply: OriginReply) -> None:
        """Add the reply of an entry in a failure domain."""
        self.replies += 1
        self._replied.add(domain)
        if reply.origins:
            self._knowing.add(domain)
        self._origins.update(reply.origins)
        self.versions.update(reply.versions)
        self._saw_all = self._saw_all or reply.saw_all

    @property
    def unanswered(self) -> frozenset[str]:
        """The failure domains of which no entry has replied in this round."""
        return frozenset(self._expected - self._replied)

    def result(self, *, may_infer: bool) -> Result[StreamOrigin, OriginError]:
        """Return the origin.

        With `may_infer`, it is the only version of the service if every failure domain
        has replied and none saw another one.
        """
        if len(self._origins) == 1:
            return Ok(next(iter(self._origins)))
        if self._origins:
            return Error(OriginError.AMBIGUOUS)
        has_all = self._saw_all and not self.unanswered
        may_infer = may_infer and self._service is not None
        if may_infer and has_all and len(self.versions) == 1:
            return Ok(StreamOrigin(self._service, next(iter(self.versions))))
        return Error(OriginError.UNKNOWN)
