"""Reads the bodies of backend servers' answers, with or without a length.

A backend server that answers twice on a connection could have its second answer read as
a part of the first.
"""

import re

import aiohttp

from fuchsiacroft.entry.second_answer import SecondAnswerError, SecondAnswerFinder

MAX_STATUS_LINE_BYTES = 256
_HEAD_PARTS = (
    *(b"H", b"T", b"T", b"P", b"/", b"1", rb"\.", b"[01]", b" "),
    *(b"[1-5]", b"[0-9]", b"[0-9]", rb"(?![0-9])[^\r\n]{0,240}", rb"\r", rb"\n"),
    b"[!#$%&'*+.^_`|~0-9A-Za-z-]+",
    b":",
)
"""The status line of an answer, and the name of its first header."""


def _prefix_pattern(parts: tuple[bytes, ...]) -> bytes:
    """Return a pattern of the first part and any number of those that follow it."""
    pattern = b""
    for part in reversed(parts):
        pattern = part + b"(?:" + pattern + b")?" if pattern else part
    return pattern


_HEAD = re.compile(b"".join(_HEAD_PARTS))
_HEAD_START = re.compile(_prefix_pattern(_HEAD_PARTS) + rb"\Z")


class UnframedBody:
    """Reads a body piece by piece, up to its end or to the head of another answer.

    Bytes that may begin a head are held back until it is known.
    """

    def __init__(self, content: aiohttp.StreamReader) -> None:
        self._content = content
        self._held = b""

    async def readany(self) -> bytes:
        """Return the next bytes, or none at the end.

        Raise `SecondAnswerError` when another answer begins.
        """
        while True:
            chunk = await self._content.readany()
            data = self._held + chunk
            if _HEAD.search(data):
                raise SecondAnswerError("another answer follows a body without length")
            if not chunk:
                self._held = b""
                return data
            data, self._held = _split_possible_head(data)
            if data:
                return data


class FramedBody:
    """Reads a body with a length or chunks, piece by piece.

    The part of another answer that has been read before its head is known is returned,
    so the end of the body counts only if there is no error.
    """

    def __init__(
        self, content: aiohttp.StreamReader, finder: SecondAnswerFinder
    ) -> None:
        self._content = content
        self._finder = finder

    async def readany(self) -> bytes:
        """Return the next bytes, or none at the end.

        Raise `SecondAnswerError` when another answer begins.
        """
        chunk = await self._content.readany()
        if chunk:
            self._finder.feed(chunk)
        else:
            self._finder.end()
        return chunk


def _split_possible_head(data: bytes) -> tuple[bytes, bytes]:
    """Return the bytes that are no part of a head, and those that may begin one."""
    start = _HEAD_START.search(data, max(0, len(data) - MAX_STATUS_LINE_BYTES))
    if start is None:
        return data, b""
    return data[: start.start()], data[start.start() :]
