"""Servers whose events tell their version, and callers that take streams up."""

import asyncio
import contextlib
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiacroft.tests.fakes.platform_region import PlatformRegion
from fuchsiacroft.tests.fakes.platform_wire import read_chunk, read_head
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    ReceivedRequest,
    Replica,
    chunk,
    stream_head,
)

EVENTS = 14
EVENT_PERIOD_S = 0.02
READ_BEFORE_BREAK = 4
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class VersionedServer:
    """A replica that streams events with its service and version.

    It breaks off new streams whose path is in `broken_paths`. `born` tells its starts
    apart.
    """

    def __init__(self, replica: Replica, service: str) -> None:
        self.replica = replica
        self.service = service
        self.born = 1_000
        self.event_period_s = EVENT_PERIOD_S
        self.broken_paths: set[str] = set()
        replica.handler = self.serve

    async def serve(self, req: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Stream the events after `Last-Event-Id`."""
        writer.write(stream_head(req))
        first = int(req.get("Last-Event-Id") or 0) + 1
        path = req.request_line.split()[1]
        breaks_off = first == 1 and path in self.broken_paths
        for number in range(first, EVENTS + 1):
            if breaks_off and number > READ_BEFORE_BREAK:
                writer.transport.abort()
                return
            mark = f"{self.service}/{self.replica.version}"
            writer.write(chunk(f"id: {number}\ndata: {mark}\n\n".encode()))
            await asyncio.sleep(self.event_period_s)
        writer.write(LAST_CHUNK)


@dataclass
class Stream:
    """What a caller got of one stream over its tries.

    Each has a path of its own, as requests that are alike look like one that crashes
    servers. `statuses` are those of its tries, `marks` the service and version of each
    event.
    """

    first_id: str
    path: str
    statuses: list[int] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    marks: list[str] = field(default_factory=list)

    @property
    def has_begun(self) -> bool:
        """Whether its first event has come."""
        return bool(self.numbers)

    @property
    def is_whole(self) -> bool:
        """Whether each event came once and in order."""
        return self.numbers == list(range(1, EVENTS + 1))

    @property
    def is_mixed(self) -> bool:
        """Whether it holds events of more than one service or version."""
        return len(set(self.marks)) > 1


async def read_events(
    region: PlatformRegion,
    stream: Stream,
    entry: int,
    *more: str,
    attempt_id: str | None = None,
    most: int = EVENTS,
) -> None:
    """Send a request, and read up to `most` events of its answer into the stream."""
    reader, writer = await region.connect(entry)
    try:
        writer.write(region.encode_request(stream.path, *more, attempt_id=attempt_id))
        status, _ = await read_head(reader)
        stream.statuses.append(status)
        if status != 200:
            return
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await _read_into(reader, stream, most)
    except (asyncio.IncompleteReadError, OSError):
        stream.statuses.append(0)
    finally:
        writer.close()


async def _read_into(reader: asyncio.StreamReader, stream: Stream, most: int) -> None:
    read = 0
    while read < most and (data := await read_chunk(reader)):
        for number, mark in _EVENT.findall(data):
            stream.numbers.append(int(number))
            stream.marks.append(mark.decode())
            read += 1


def resume_lines(stream: Stream) -> tuple[str, str]:
    """Return the headers with which a caller takes a stream up."""
    last = stream.numbers[-1] if stream.numbers else 0
    return f"Last-Event-Id: {last}", f"Resumes: {stream.first_id}"


async def take_up(region: PlatformRegion, stream: Stream, entry: int) -> None:
    """Take a stream up where it was broken off."""
    await read_events(region, stream, entry, *resume_lines(stream))


def new_stream(region: PlatformRegion) -> Stream:
    """Return a stream that has not begun."""
    first_id = region.next_attempt_id()
    return Stream(first_id, f"/report/{first_id}")


async def begin(
    region: PlatformRegion, entry: int, most: int = READ_BEFORE_BREAK
) -> Stream:
    """Begin a stream, and close its connection after `most` events."""
    stream = new_stream(region)
    await read_events(region, stream, entry, attempt_id=stream.first_id, most=most)
    return stream


def mixed(streams: Iterable[Stream]) -> list[list[str]]:
    """Return the marks of the streams that hold events of two services or versions."""
    return [stream.marks for stream in streams if stream.is_mixed]
