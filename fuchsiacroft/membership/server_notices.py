"""What backend servers said of themselves in their answers to this VM.

A notice belongs to one instance of a server, so a restarted server with the same
name is used again at once. The module does no I/O and gets the time as an argument.
"""

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass

from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.utils.bounded import set_newest

MIN_RAMP_S = 0.5
MAX_RAMP_S = 5.0
"""Bounds of the time in which a server's share returns after its pause. In between it
is as long as the pause was."""
MAX_NOTICES = 20_000
"""The oldest notices are forgotten beyond this number."""


class NoticeReason(enum.Enum):
    """Why a backend server gets no request now, or fewer."""

    LEAVING = "leaving"
    PAUSED = "paused"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server says of itself in one answer.

    `retry_after` is the value with which it asks this VM to stay away for a time, and
    `limit` the requests a second that it takes from all VMs. `has_run` is true if it
    ran the request; only then does an answer without a limit say that there is none.
    `load` is the load that it reports.
    """

    is_leaving: bool = False
    retry_after: str | None = None
    limit: str | None = None
    has_run: bool = False
    load: ReportedLoad | None = None


NO_START = "0"
"""Start of a server that doesn't tell its starts; each has another name."""


@dataclass(frozen=True, slots=True)
class ServerInstance:
    """One start of a backend server; `start` differs between the starts of one name."""

    name: str
    start: str

    @property
    def may_start_again(self) -> bool:
        """Whether its name may have another start, as it tells its starts apart."""
        return self.start != NO_START


@dataclass(frozen=True, slots=True)
class NoticedAnswer:
    """An answer of a server to a request that was sent at `sent_at`.

    A Retry-After without sense counts as `longest_pause_s`. `is_limited` is true if
    the server was known to have a limit when the request was placed there.
    """

    server: ServerInstance
    notice: ServerNotice
    request_id: str
    sent_at: float
    longest_pause_s: float
    is_limited: bool = False


@dataclass(frozen=True, slots=True)
class _Pause:
    """The server wants nothing from `began_at` to `until`."""

    began_at: float
    until: float

    @property
    def ramp_s(self) -> float:
        return min(max(self.until - self.began_at, MIN_RAMP_S), MAX_RAMP_S)

    def free_at(self, running: int, slots: int) -> float:
        """Return when one more request than the running ones may be sent."""
        return self.until + self.ramp_s * min(running / max(slots, 1), 1.0)


class ServerNotices:
    """The notices of backend servers to this VM."""

    def __init__(self) -> None:
        self._leaving: dict[ServerInstance, None] = {}
        self._pauses: dict[ServerInstance, _Pause] = {}

    def dump(self) -> dict:
        """Return the servers that leave, and the end of each pause."""
        return {
            "leaving": [server.name for server in self._leaving],
            "paused_until": {
                server.name: round(pause.until, 3)
                for server, pause in self._pauses.items()
            },
        }

    @property
    def is_empty(self) -> bool:
        """Whether there is no notice."""
        return not self._leaving and not self._pauses

    def record_leaving(self, server: ServerInstance) -> bool:
        """Record that a server leaves; return whether that was not known yet."""
        if server in self._leaving:
            return False
        set_newest(self._leaving, server, None, MAX_NOTICES)
        return True

    def record_pause(self, server: ServerInstance, seconds: float, at: float) -> None:
        """Record that a server wants no request for some time; the longest counts."""
        known = self._pauses.get(server)
        until = at + seconds
        if known is None or until > known.until:
            set_newest(self._pauses, server, _Pause(at, until), MAX_NOTICES)

    def reason(
        self, server: ServerInstance, running: int, slots: int, at: float
    ) -> NoticeReason | None:
        """Return why a server gets no further request from this VM now, or None.

        `running` of its `slots` are in use by this VM. After a pause they may be used
        one after the other.
        """
        if server in self._leaving:
            return NoticeReason.LEAVING
        if self.resumes_at(server, running, slots, at) > at:
            return NoticeReason.PAUSED
        return None

    def resumes_at(
        self, server: ServerInstance, running: int, slots: int, at: float
    ) -> float:
        """Return when the next request may be sent; infinity if never."""
        if server in self._leaving:
            return math.inf
        pause = self._pauses.get(server)
        if pause is None:
            return at
        if at >= pause.until + pause.ramp_s:
            del self._pauses[server]
            return at
        return max(pause.free_at(running, slots), at)

    def carry_over(
        self, server: ServerInstance, successor: ServerInstance, since: float
    ) -> None:
        """Let a pause that began since a time hold for the next start, too."""
        pause = self._pauses.get(server)
        if pause is not None and pause.began_at >= since:
            set_newest(self._pauses, successor, pause, MAX_NOTICES)

    def paused(self) -> tuple[ServerInstance, ...]:
        """Return the servers that asked for a pause."""
        return tuple(self._pauses)

    def forget(self, is_current: Callable[[ServerInstance], bool]) -> None:
        """Drop the notices of instances that are not current any more."""
        for notices in (self._leaving, self._pauses):
            for server in [server for server in notices if not is_current(server)]:
                del notices[server]
