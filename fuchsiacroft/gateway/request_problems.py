"""The problems with which an entry answers requests that no backend server answered."""

from fuchsiacroft.entry.problems import ExecutionState, Problem, draining_problem
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.routing.permits import Refusal, RefusalReason

NOT_READY_RETRY_S = 0.5
DRAINING_RETRY_S = 0.05
"""Short, because another entry can take the request immediately."""
MAX_RETRY_AFTER_SHARE = 0.3
"""Longest Retry-After as a share of the caller's time; the rest is for its retry."""


def not_ready() -> Problem:
    """Return the problem of a request that comes before the first route table."""
    detail = "no route table yet; the request did not run"
    return Problem(503, "not_ready", detail, ExecutionState.NO, NOT_READY_RETRY_S)


def stopping() -> Problem:
    """Return the problem of a request that can't be answered before the stop."""
    detail = "this entry is stopping; the request did not run"
    return draining_problem(detail, DRAINING_RETRY_S)


def broken_off() -> Problem:
    """Return the problem of a request whose server was lost, and that may have run."""
    detail = "connection to the backend server lost; the request may have run"
    return Problem(502, "broken_off", detail, ExecutionState.MAYBE)


def timed_out(context: RequestContext) -> Problem:
    """Return the problem of a request whose time, or that of the entry, is over."""
    if context.runs or context.sends:
        cause = "this entry stopped" if context.is_stopped else "its deadline"
        detail = f"no response before {cause}; the request may have run"
        return Problem(504, "timed_out", detail, ExecutionState.MAYBE)
    if context.is_stopped:
        return stopping()
    detail = "no backend server was free before the deadline; it did not run"
    if context.is_receiving:
        detail = "the body was not received before the deadline; it did not run"
    return Problem(503, "timed_out", detail, ExecutionState.NO, NOT_READY_RETRY_S)


def refused(refusal: Refusal | None, remaining_s: float) -> Problem:
    """Return the problem of a refused request; without a refusal, servers refused it.

    Its caller has `remaining_s` left.
    """
    if refusal is None:
        detail = "backend servers refused the request; it did not run"
        return Problem(503, "overloaded", detail, ExecutionState.NO, NOT_READY_RETRY_S)
    status = 429 if refusal.reason is RefusalReason.OVER_QUOTA else 503
    detail = f"{refusal.reason.value.replace('_', ' ')}; the request did not run"
    retry_after_s = refusal.retry_after_s
    if refusal.reason is not RefusalReason.SERVERS_PAUSED:
        longest_s = MAX_RETRY_AFTER_SHARE * max(remaining_s, 0.0)
        retry_after_s = min(retry_after_s, longest_s)
    code = refusal.reason.value
    return Problem(status, code, detail, ExecutionState.NO, retry_after_s)
