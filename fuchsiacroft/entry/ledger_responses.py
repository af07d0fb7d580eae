"""Responses to requests whose idempotency key is already in the ledger."""

from aiohttp import web

from fuchsiacroft.control.ledger import KeyState, KeyStatus, StoredResponse
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER, ExecutionState, Problem

RETRY_AFTER_S = 2.0
STORED_HEADER = "Fuchsiacroft-Stored"


def response(status: KeyStatus, exchange: Exchange) -> web.Response:
    """Return the response to a request whose key is not free."""
    if status.state is KeyState.ANSWERED:
        return _stored_response(status.answer, exchange)
    return exchange.error_response(_state_problem(status.state))


def no_quorum_problem() -> Problem:
    """Return the problem for an unreachable ledger."""
    detail = "no quorum of control VMs is reachable; the request did not run"
    return Problem(503, "no_quorum", detail, ExecutionState.NO, RETRY_AFTER_S)


def _state_problem(state: KeyState) -> Problem:
    match state:
        case KeyState.IN_PROGRESS:
            detail = "the request with this key is in progress"
            return Problem(
                409, "in_progress", detail, ExecutionState.YES, RETRY_AFTER_S
            )
        case KeyState.OTHER_REQUEST:
            detail = "this key was used for another request; this one did not run"
            return Problem(422, "key_reused", detail, ExecutionState.NO)
        case KeyState.FULL:
            detail = "the ledger is full; the request did not run"
            return Problem(503, "ledger_full", detail, ExecutionState.NO, RETRY_AFTER_S)
        case KeyState.EXPIRED:
            detail = "the key's retention has ended; its request may have run"
            return Problem(409, "key_expired", detail, ExecutionState.MAYBE)
        case _:
            detail = "the request with this key may have run; its outcome is unknown"
            return Problem(409, "outcome_unknown", detail, ExecutionState.MAYBE)


def _stored_response(stored: StoredResponse, exchange: Exchange) -> web.Response:
    if stored.body is None:
        detail = f"the request ran with status {stored.status}; its body was not stored"
        return exchange.error_response(
            Problem(409, "answer_not_kept", detail, ExecutionState.YES)
        )
    headers = {"Content-Type": stored.content_type} if stored.content_type else {}
    headers |= {REQUEST_ID_HEADER: exchange.request_id, STORED_HEADER: "yes"}
    return web.Response(status=stored.status, body=stored.body, headers=headers)
