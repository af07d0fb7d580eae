"""The streams that began lately, by the start of the backend server that began them.

What is known of a server, like the version of its software, is known late: a server
that crashes while it is idle, and starts again under its name, may begin streams before
its first heartbeat is known. The module does no I/O and takes times as arguments.
"""

from collections import deque
from dataclasses import dataclass

MAX_SKEW_S = 5.0
"""The clocks of a server and a VM differ by less."""
MAX_UNKNOWN_S = 15.0
"""The first heartbeat of a start is known within it."""
MAX_STREAMS = 5_000
"""Streams of one start that are kept; the oldest go first."""


@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream of a service that began at `at`, on the loop's clock."""

    key: str
    service: str
    at: float


class BegunStreams:
    """The streams that a later start of their server may have begun.

    A server's starts are told apart by `born_ms`, the Unix time of a start.
    """

    def __init__(self) -> None:
        self._by_server: dict[str, dict[int, deque[BegunStream]]] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        starts = self._by_server.values()
        return sum(len(begun) for start in starts for begun in start.values())

    def add(self, server: str, born_ms: int, stream: BegunStream) -> None:
        """Record a stream, with the start that its server was known as."""
        starts = self._by_server.setdefault(server, {})
        if born_ms not in starts:
            starts[born_ms] = deque(maxlen=MAX_STREAMS)
        starts[born_ms].append(stream)

    def take_uncertain(
        self, server: str, born_ms: int, age_s: float, at: float
    ) -> list[BegunStream]:
        """Return the streams of earlier starts that this one may have begun.

        It began `age_s` seconds ago by its own clock. Those starts are forgotten.
        """
        starts = self._by_server.get(server, {})
        since = at - min(max(age_s, 0.0) + MAX_SKEW_S, MAX_UNKNOWN_S)
        uncertain: list[BegunStream] = []
        for earlier in [start for start in starts if start < born_ms]:
            uncertain += (s for s in starts.pop(earlier) if s.at >= since)
        return uncertain

    def forget_proven(self, at: float) -> None:
        """Forget the streams whose server has been listed as the same since."""
        for server, starts in list(self._by_server.items()):
            for born_ms, begun in list(starts.items()):
                while begun and begun[0].at < at - MAX_UNKNOWN_S:
                    begun.popleft()
                if not begun:
                    del starts[born_ms]
            if not starts:
                del self._by_server[server]
