"""Answers of faulty backend servers that bring other bytes than the caller may get."""

import enum

from fuchsiacroft.tests.fakes.replica import (
    SEAL_HEADER,
    ReceivedRequest,
    own_id,
    response,
    response_head,
    unframed_head,
)

OTHER_ID = "Fuchsiacroft-Attempt-Id: ffffffffffffffff"
NOT_RUN = "Fuchsiacroft-Not-Executed: 1"
PAGE = b"<p>not your answer</p>"


class Garble(enum.Enum):
    """How an answer to a request that runs is garbled."""

    REFUSAL_FIRST = "refusal_first"
    SUCCESS_FIRST = "success_first"
    SECOND_ANSWER = "second_answer"
    SECOND_BEHIND_NO_LENGTH = "second_behind_no_length"
    UNNAMED = "unnamed"
    UNSIGNED = "unsigned"
    PROMISE = "promise"
    CUT_HEAD = "cut_head"
    PAGE = "page"


def plain(garble: Garble, req: ReceivedRequest, body: bytes, *lines: str) -> bytes:
    """Return the garbled answer of a request whose answer has this body.

    `lines` are further header lines of its own answer.
    """
    whole = response(req, body, "200 OK", *lines)
    length = f"Content-Length: {len(body)}"
    match garble:
        case Garble.REFUSAL_FIRST | Garble.SUCCESS_FIRST:
            return foreign(garble) + whole
        case Garble.SECOND_ANSWER:
            return whole + response(req, PAGE)
        case Garble.SECOND_BEHIND_NO_LENGTH:
            return unframed_head(req, *lines) + body + response(req, PAGE)
        case Garble.UNNAMED:
            return response_head("200 OK", SEAL_HEADER, length) + body
        case Garble.UNSIGNED:
            return response_head("200 OK", own_id(req), length) + body
        case Garble.PROMISE:
            return response(req, PAGE, "503 Busy", *lines)
        case Garble.CUT_HEAD:
            return whole[: whole.index(b"\r\n\r\n") - 1]
    return response_head("200 OK", f"Content-Length: {len(PAGE)}") + PAGE


def foreign(garble: Garble) -> bytes:
    """Return an answer that names another request."""
    length = f"Content-Length: {len(PAGE)}"
    status, *lines = (
        ("503 Busy", NOT_RUN) if garble is Garble.REFUSAL_FIRST else ("200 OK",)
    )
    return response_head(status, SEAL_HEADER, OTHER_ID, length, *lines) + PAGE
