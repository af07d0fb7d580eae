"""A fake model engine for `tools/bench_entry.py`.

Writes the current time into each chunk of a stream, so that a reader can measure
the chunk's age on arrival.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

import uvloop
from absl import app, flags

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER  # noqa: E402
from fuchsiacroft.standin import announcer  # noqa: E402
from fuchsiacroft.utils.http import split_address  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_string("address", "", "address to listen on")
flags.DEFINE_string("entry", "", "entry to announce to; none if empty")

NAME = REQUEST_ID_HEADER.lower().encode() + b": "
START = b"HTTP/1.1 200 OK\r\n" + NAME + b"%b\r\n"
HEAD = START + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
SHORT = START + b"Content-Length: 16\r\n\r\n0123456789abcdef"


class Emitter(asyncio.Protocol):
    """Serves one connection: a paced stream of tokens, or a short response."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._data = b""

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond when a request is complete."""
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        head = head.lower()
        request_id = head.partition(NAME)[2].split(b"\r\n", 1)[0]
        if head.startswith(b"get"):
            self._data = b""
            self._transport.write(SHORT % request_id)
            return
        length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self._data = b""
        fields = json.loads(body)
        self._left = fields["max_tokens"]
        self._gap_s = fields["gap_s"]
        self._next = self._loop.time()
        self._transport.write(HEAD % request_id)
        self._emit()

    def _emit(self) -> None:
        if self._transport.is_closing():
            return
        if not self._left:
            self._transport.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
            return
        self._left -= 1
        text = (
            f'data: {{"choices":[{{"text":" lens","at":{time.monotonic_ns()}}}]}}\n\n'
        )
        chunk = text.encode()
        self._transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        self._next += self._gap_s
        self._loop.call_at(self._next, self._emit)


async def emit() -> None:
    """Serve requests and announce the emitter until killed."""
    host, port = split_address(FLAGS.address)
    loop = asyncio.get_running_loop()
    await loop.create_server(Emitter, host, port, backlog=2048)
    if not FLAGS.entry:
        await asyncio.Event().wait()
    announcement = announcer.create_announcement(
        name=f"emitter-{port}",
        domain="bench",
        address=FLAGS.address,
        service="bench-model",
        slots=5_000,
        generation="g1",
    )
    offers = (announcer.Offer("bench-model"), announcer.Offer("bench-plain"))
    announcement = announcer.msgspec.structs.replace(announcement, offers=offers)
    await announcer.Announcer(
        announcement, [FLAGS.entry], lambda current: current
    ).run()


def main(argv: list[str]) -> None:
    """Run the emitter until killed."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(emit())


if __name__ == "__main__":
    app.run(main)
