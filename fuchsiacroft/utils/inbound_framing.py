"""Finds where the heads of one connection end, and limits the bytes of no body.

It does no I/O. It handles clients that send heads, empty lines, chunk extensions or
trailers without end.
"""

import enum

from fuchsiacroft.utils.inbound_limits import (
    BODY_STEP_BYTES,
    STEP_BYTES,
    FramingMeter,
)

CRLF = b"\r\n"
HEAD_END = CRLF + CRLF


class Excess(enum.Enum):
    """Why no more is read from a connection."""

    HEAD = "head_too_large"
    FRAMING = "framing_too_large"


class InboundFraming:
    """The place in the messages of one connection, as the parser has reported it.

    `has_begun_head` is true while a head has begun and isn't complete.
    """

    def __init__(self, max_head_bytes: int, max_framing_bytes: int) -> None:
        self._head_meter = FramingMeter(max_head_bytes)
        self._body_meter = FramingMeter(max_framing_bytes)
        self._is_in_body = False
        self._body_length: int | None = None
        self._head_tail = b""
        self.has_begun_head = False

    @property
    def is_in_framed_body(self) -> bool:
        """Whether a body is awaited whose end only its framing tells."""
        return self._is_in_body and self._body_length is None

    def begin_head(self) -> None:
        """Await the next head."""
        self._is_in_body = False
        self._head_tail = b""
        self.has_begun_head = False
        self._head_meter.reset()

    def begin_body(self, length: int | None) -> None:
        """Await a body, of a length unless it is framed or decompressed."""
        self.begin_head()
        self._is_in_body = True
        self._body_length = length
        self._body_meter.reset()

    def step_bytes(self, data: bytes, start: int, body_bytes: int) -> int:
        """Return how many bytes to parse next: up to where a head or a body may end.

        `body_bytes` of the body have been parsed. One of known length is parsed at
        once.
        """
        if not self._is_in_body:
            return self._head_step_bytes(data, start)
        if self._body_length is None:
            return BODY_STEP_BYTES
        left = self._body_length - body_bytes
        return left if left > 0 else STEP_BYTES

    def awaits_head_end(self, data: bytes, start: int) -> bool:
        """Return whether bytes of a head wait unparsed until its end has come.

        The parser keeps several times the bytes of a head that it has begun, so it
        gets only the first step of one that comes in parts. One that is too large is
        not waited for.
        """
        if self._is_in_body or not self.has_begun_head:
            return False
        if self._head_meter.received_bytes < STEP_BYTES:
            return False
        if self._head_meter.would_exceed(len(data) - start):
            return False
        return (self._head_tail + data[start:]).find(HEAD_END) < 0

    def _head_step_bytes(self, data: bytes, start: int) -> int:
        window = self._head_tail + data[start : start + STEP_BYTES]
        begin = 0 if self.has_begun_head else len(window) - len(window.lstrip(CRLF))
        end = window.find(HEAD_END, begin)
        return STEP_BYTES if end < 0 else end + len(HEAD_END) - len(self._head_tail)

    def add(self, data: bytes, body_bytes: int) -> Excess | None:
        """Count parsed bytes that completed no head and no body."""
        if self._is_in_body:
            self._body_meter.add(len(data))
            is_exceeded = self._body_meter.is_exceeded(body_bytes)
            return Excess.FRAMING if is_exceeded else None
        self.has_begun_head = self.has_begun_head or bool(data.strip())
        self._head_tail = (self._head_tail + data)[1 - len(HEAD_END) :]
        self._head_meter.add(len(data))
        return Excess.HEAD if self._head_meter.is_exceeded() else None
