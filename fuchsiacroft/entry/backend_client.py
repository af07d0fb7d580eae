"""Starts runs on backend servers over HTTP, each at most once."""

import asyncio
import enum
from collections.abc import AsyncIterator

import aiohttp
from expression import Error, Ok, Result
from yarl import URL

from fuchsiacroft.entry import http_headers
from fuchsiacroft.entry.answer_identity import RequestName
from fuchsiacroft.entry.at_most_once import (
    ForeignAnswerError,
    SendGuard,
    open_session,
)
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.server_notices import ServerNotice
from fuchsiacroft.routing.permits import Permit, RunOutcome
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

BOOT_ID_HEADER = "Fuchsiacroft-Boot-Id"
OFFSET_HEADER = "Fuchsiacroft-Offset"
"""On the answer to a resume: the byte of the run's output at which its body begins."""
LEAVING_HEADER = "Fuchsiacroft-Leaving"
"""On an answer: the backend server leaves, if the value is 1."""
LIMIT_HEADER = "Fuchsiacroft-Limit"
"""On an answer: requests a second that the server takes from all entries together."""
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 2.0
CANCEL_TRIES = 3
CANCEL_PAUSE_S = 0.2
RESUME_TIMEOUT_S = 5.0
RUN_NOT_FOUND_STATUS = 404

Body = bytes | AsyncIterator[bytes] | None


class ResumeError(enum.Enum):
    """Why a stream was not resumed."""

    RUN_NOT_FOUND = "run_gone"
    UNREACHABLE = "unreachable"


class BackendClient(Service):
    """HTTP client for backend servers, with one connection for each request."""

    name = "backend_client"

    def __init__(self) -> None:
        self._tasks = BackgroundTasks("backend_client")

    async def start(self, kernel: Kernel) -> None:
        """Open the HTTP client session."""
        self._session = open_session(CONNECT_TIMEOUT_S)

    async def stop(self) -> None:
        """Close every connection."""
        await self._tasks.cancel()
        await self._session.close()

    async def open(
        self, permit: Permit, request: CallerRequest, body: Body, send_guard: SendGuard
    ) -> Result[aiohttp.ClientResponse, RunOutcome]:
        """Send the request and return its own response once the head has arrived.

        The error is `NOT_DISPATCHED` only if no byte was written, and `FAILED` if an
        answer came that isn't shown to be the request's own.
        """
        headers = [*request.headers, (REQUEST_ID_HEADER, request.request_id)]
        try:
            response = await self._session.request(
                request.method,
                URL(f"http://{permit.address}{request.path}", encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
                middlewares=(send_guard,),
            )
        except ForeignAnswerError:
            return Error(RunOutcome.FAILED)
        except (aiohttp.ClientError, OSError):
            if send_guard.sent:
                return Error(RunOutcome.CONNECTION_LOST)
            return Error(RunOutcome.NOT_DISPATCHED)
        return Ok(response)

    async def resume(
        self, permit: Permit, offset: int
    ) -> Result[aiohttp.ClientResponse, ResumeError]:
        """Resume the stream of a run, on the same boot, at a byte offset."""
        request_id = permit.request.request_id
        run = f"/runs/{request_id}?offset={offset}"
        headers = {REQUEST_ID_HEADER: request_id, BOOT_ID_HEADER: permit.boot_id}
        try:
            async with asyncio.timeout(RESUME_TIMEOUT_S):
                response = await self._session.get(
                    URL(f"http://{permit.address}{run}", encoded=True),
                    headers=headers,
                    allow_redirects=False,
                    middlewares=(SendGuard(name=request_name(request_id)),),
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Error(ResumeError.UNREACHABLE)
        if _is_continuation(response, permit, offset):
            return Ok(response)
        response.close()
        return Error(ResumeError.RUN_NOT_FOUND)

    def cancel(self, permit: Permit) -> None:
        """Ask a model engine to cancel a run, in the background."""
        self._tasks.spawn(self._cancel(permit), "cancel-run")

    async def _cancel(self, permit: Permit) -> None:
        for _ in range(CANCEL_TRIES):
            if await self._try_cancel(permit):
                return
            await asyncio.sleep(CANCEL_PAUSE_S)
        event(
            "warning",
            "run_not_cancelled",
            request_id=permit.request.request_id,
            backend_server=permit.backend_server,
        )

    async def _try_cancel(self, permit: Permit) -> bool:
        """Return whether the engine says that it ends the run, or doesn't have it."""
        request_id = permit.request.request_id
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                response = await self._session.post(
                    f"http://{permit.address}/runs/{request_id}/cancel",
                    headers={REQUEST_ID_HEADER: request_id},
                    middlewares=(SendGuard(name=request_name(request_id)),),
                )
                response.close()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        return response.ok or response.status == RUN_NOT_FOUND_STATUS


def request_name(request_id: str) -> RequestName:
    """Return what an answer to a request has to name."""
    return RequestName(REQUEST_ID_HEADER, request_id)


def server_notice(response: aiohttp.ClientResponse) -> ServerNotice:
    """Return what a backend server says of itself in a response."""
    has_run = response.status != http_headers.UNAVAILABLE
    return http_headers.server_notice(
        response, LEAVING_HEADER, LIMIT_HEADER, has_run=has_run
    )


def _is_continuation(
    response: aiohttp.ClientResponse, permit: Permit, offset: int
) -> bool:
    """Return whether a response is shown to be the stream of a run from an offset.

    Without framing, another answer could follow as a part of it.
    """
    named = {
        REQUEST_ID_HEADER: permit.request.request_id,
        BOOT_ID_HEADER: permit.boot_id,
        OFFSET_HEADER: str(offset),
    }
    return (
        response.status == 200
        and response.content_type == "text/event-stream"
        and "Content-Encoding" not in response.headers
        and http_headers.is_framed(response)
        and all(
            response.headers.getall(name, []) == [value]
            for name, value in named.items()
        )
    )


def create() -> BackendClient:
    """Return the backend client service."""
    return BackendClient()
