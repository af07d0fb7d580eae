"""Finds another answer within a body with a length or chunks.

A backend server that stops in the middle of a body and answers once more on the
connection would have its second answer read as the rest of the first.
"""

import functools
import re

import aiohttp

from fuchsiacroft.entry.answer_identity import RequestName

MAX_HEAD_BYTES = 4 * 1024
"""Longer heads are not found if they arrive in several pieces."""
_STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9][0-9](?![0-9])[^\r\n]{0,256}\r\n"
_HEADER_LINE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n"
_CUT_HEAD = re.compile(
    _STATUS_LINE + rb"(?:%b){0,64}[^\r\n]{0,4096}\r?\Z" % _HEADER_LINE
)
_START = b"HTTP/1."


class SecondAnswerError(aiohttp.ClientPayloadError):
    """The head of another answer came in the middle of a body."""


class SecondAnswerFinder:
    """Looks for a head that names a request in the pieces of a body.

    A body that only speaks of the protocol is no answer. At the end of the body a head
    counts that is cut, as its rest lies behind the end.
    """

    def __init__(self, name: RequestName) -> None:
        self._head = _naming_head(name.header)
        self._recent = b""

    def feed(self, chunk: bytes) -> None:
        """Raise `SecondAnswerError` if another answer's head has come."""
        data = self._recent + chunk
        self._recent = data[-MAX_HEAD_BYTES:]
        if _START in data and self._head.search(data):
            raise SecondAnswerError("another answer begins within the body")

    def end(self) -> None:
        """Raise `SecondAnswerError` if another answer's head goes past the end."""
        if _START in self._recent and _CUT_HEAD.search(self._recent):
            raise SecondAnswerError("another answer begins at the end of the body")


@functools.cache
def _naming_head(header: str) -> re.Pattern[bytes]:
    name = re.escape(header.encode())
    return re.compile(_STATUS_LINE + rb"(?:%b){0,64}?(?i:%b):" % (_HEADER_LINE, name))
