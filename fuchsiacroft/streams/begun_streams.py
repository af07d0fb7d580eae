"""The streams that began lately, by the start of the backend server that began them.

What is known of a server, like the version of its software, is known late: a server
that crashes while it is idle, and starts again under its name, may begin streams before
its first heartbeat is known. The module does no I/O and takes times as arguments.
"""

from collections import deque
from dataclasses import dataclass

from fuchsiacroft.membership.server_notices import ServerInstance

MAX_SKEW_S = 5.0
"""The clocks of a server and a VM differ by less."""
MAX_UNKNOWN_S = 15.0
"""The first heartbeat of a start is known within it."""
MAX_STREAMS = 5_000
"""Streams of one server that are kept; the oldest go first."""


@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream that began at `at`, with what its server was known to be."""

    key: str
    service: str
    server: ServerInstance
    at: float


class BegunStreams:
    """The streams that may have begun on another start than the known one."""

    def __init__(self) -> None:
        self._by_server: dict[str, deque[BegunStream]] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return sum(map(len, self._by_server.values()))

    def add(self, stream: BegunStream) -> None:
        """Record that a stream has begun."""
        empty: deque[BegunStream] = deque(maxlen=MAX_STREAMS)
        self._by_server.setdefault(stream.server.name, empty).append(stream)

    def take_uncertain(
        self, server: ServerInstance, age_s: float, at: float
    ) -> list[BegunStream]:
        """Return, and forget, the streams that another start of a server began.

        It started `age_s` seconds ago by its own clock, so it may have begun those that
        were taken for streams of the start before it.
        """
        begun = self._by_server.get(server.name)
        if begun is None:
            return []
        since = at - min(max(age_s, 0.0) + MAX_SKEW_S, MAX_UNKNOWN_S)
        others = [stream for stream in begun if stream.server != server]
        for stream in others:
            begun.remove(stream)
        return [stream for stream in others if stream.at >= since]

    def forget_proven(self, at: float) -> None:
        """Forget the streams whose server has been listed as the same since."""
        for name, begun in list(self._by_server.items()):
            while begun and begun[0].at < at - MAX_UNKNOWN_S:
                begun.popleft()
            if not begun:
                del self._by_server[name]
