"""Adapter for the platform's HTTP conventions between clients, gateway and replicas."""

import hashlib
from collections.abc import Callable
from dataclasses import replace

import aiohttp
import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import (
    MAX_COUNT,
    MAX_DURATION_S,
    is_unicode,
    whole_number,
)
from fuchsiacroft.config.route_table import Quota, Route, RouteTable, Workspace
from fuchsiacroft.entry import http_headers
from fuchsiacroft.entry.answer_identity import RequestName
from fuchsiacroft.entry.http_headers import HOP_BY_HOP
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.gateway.answer_flaw import AnswerFlaw
from fuchsiacroft.gateway.routed_request import (
    Headers,
    ProtocolAdapter,
    RoutedRequest,
)
from fuchsiacroft.membership import reported_load
from fuchsiacroft.membership.server_notices import ServerNotice
from fuchsiacroft.platform import header_names
from fuchsiacroft.routing.permits import WorkSize

DROPPED_REQUEST_HEADERS = (
    HOP_BY_HOP | header_names.RESERVED | {"host", "expect", "content-length"}
)
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP | {"content-length", "date", "server"}
MISDIRECTED = 421
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
"""Statuses by which a client knows that its request did not run and never will."""
MIN_DEADLINE_MS = 1
ROUTE_RANKS = 16
"""Weight of a workspace rank in a combined rank, above the usual route ranks."""
MAX_SHARED_PARTS = 64
"""Bounds what is kept of one request; further parts of its prompt are ignored."""
MAX_PART_CHARS = 64
"""Longer ids of parts are hashed, as entries keep tens of thousands of them."""
PART_HASH_BYTES = 16


class PlatformProtocolAdapter(ProtocolAdapter):
    """Decodes requests of the platform's clients and responses of its replicas."""

    def request_id(self, http: web.BaseRequest) -> str:
        """Return the id of the client's attempt."""
        return http.headers.get(header_names.REQUEST_ID, "")

    def caller_deadline_s(self, http: web.BaseRequest) -> float | None:
        """Return how many seconds the client waits, or None if it names no limit."""
        text = http.headers.get(header_names.DEADLINE, "")
        if "_" in text:  # Python would read 1_0 as 10.
            return None
        try:
            deadline_s = float(text) / 1000
        except ValueError:
            return None
        return deadline_s if 0 < deadline_s <= MAX_DURATION_S else None

    def parse_request(
        self,
        http: web.BaseRequest,
        table: RouteTable,
        choose_service: Callable[[Route], str],
    ) -> Result[RoutedRequest, Problem]:
        """Decode a request's head, or return the problem for which it is refused."""
        headers = http.headers
        target = http.raw_path
        if not target.startswith("/"):
            return Error(Problem(400, "malformed", "the request target is not a path"))
        for name in (header_names.REQUEST_ID, header_names.RESUMES):
            if not is_unicode(headers.get(name, "")):
                return Error(Problem(400, "malformed", f"{name} is not Unicode"))
        host = headers.get("Host", "").partition(":")[0].lower()
        route = table.route(host, target.partition("?")[0])
        if route is None:
            return Error(
                Problem(404, "unknown_path", "no route matches the host and path")
            )
        key = headers.get(header_names.API_KEY, "")
        workspace = None
        if _needs_key(route, table, key):
            workspace = table.workspace_of(key)
            if workspace is None:
                return Error(Problem(401, "unknown_key", "no workspace has this key"))
        ids = set(headers.getall(header_names.REQUEST_ID, ()))
        if len(ids) != 1 or "" in ids:
            return Error(Problem(400, "malformed", "the request has no id, or several"))
        size = _work_size(headers)
        service = choose_service(route)
        deadline_s = self.caller_deadline_s(http) or route.timeout_s
        return Ok(
            RoutedRequest(
                request_id=headers.get(header_names.REQUEST_ID, ""),
                method=http.method,
                target=target,
                host=headers.get("Host", ""),
                headers=_forwarded_headers(
                    headers.items(), headers, DROPPED_REQUEST_HEADERS
                ),
                route=route,
                service=service,
                workspace=workspace.name if workspace is not None else "",
                rank=_rank(workspace, route),
                deadline_s=deadline_s,
                timeout_s=min(deadline_s, route.timeout_s),
                size=size,
                charge=_charge(headers, workspace),
                last_event_id=headers.get(header_names.LAST_EVENT_ID),
                resumes=headers.get(header_names.RESUMES),
                event_tokens=table.services[service].event_tokens,
                shared_parts=_shared_parts(headers.get(header_names.PROMPT_PARTS, "")),
                table_version=table.version,
            )
        )

    def backend_request_headers(
        self,
        request: RoutedRequest,
        backend_server: str,
        remaining_s: float,
        last_event_id: str | None,
    ) -> Headers:
        """Return the client's headers plus those set by the gateway."""
        headers = [("Host", request.host), *request.headers]
        remaining_ms = max(int(remaining_s * 1000), MIN_DEADLINE_MS)
        headers.append((header_names.DEADLINE, str(remaining_ms)))
        headers.append((header_names.EXPECTED_REPLICA, backend_server))
        if request.workspace:
            headers.append((header_names.TENANT, request.workspace))
        if last_event_id is not None:
            headers.append((header_names.LAST_EVENT_ID, last_event_id))
        return headers

    def caller_response_headers(self, response: aiohttp.ClientResponse) -> Headers:
        """Return the replica's headers without the hop-by-hop ones."""
        return list(
            _forwarded_headers(
                response.headers.items(), response.headers, DROPPED_RESPONSE_HEADERS
            )
        )

    def request_name(self, request: RoutedRequest) -> RequestName:
        """Return the header in which a replica echoes the id of the attempt."""
        return RequestName(header_names.REQUEST_ID, request.request_id)

    def is_signed(self, response: aiohttp.ClientResponse) -> bool:
        """Return whether the replica's seal is on the response."""
        return header_names.SEAL in response.headers

    def was_not_executed(self, response: aiohttp.ClientResponse) -> bool:
        """Return whether the replica reports that it did not run the request."""
        return (
            header_names.NOT_EXECUTED in response.headers
            or response.status == MISDIRECTED
        )

    def server_notice(self, response: aiohttp.ClientResponse) -> ServerNotice:
        """Return what the replica says of itself; a 421 comes from another one."""
        if response.status == MISDIRECTED:
            return ServerNotice()
        notice = http_headers.server_notice(
            response,
            header_names.SERVER_LEAVING,
            header_names.SERVER_LIMIT,
            has_run=not self.was_not_executed(response),
        )
        text = response.headers.get(header_names.REPLICA_LOAD)
        if text is None:
            return notice
        return replace(notice, load=reported_load.parse(text))

    def flaw(self, response: aiohttp.ClientResponse) -> AnswerFlaw | None:
        """Return why a client can't get the response to a request that has run.

        A success needs the replica's seal, and clients take some statuses as a promise
        that the request did not run, which a replica makes in another header.
        """
        if "Content-Encoding" in response.headers:
            return AnswerFlaw.ENCODED
        if response.status in NOT_RUN_STATUSES:
            return AnswerFlaw.PROMISES_NOT_RUN
        if response.ok and not self.is_signed(response):
            return AnswerFlaw.UNSIGNED
        return None

    def error_response(self, problem: Problem, request_id: str) -> web.Response:
        """Return the error response to a client for a problem."""
        body = msgspec.json.encode({"reason": problem.code, "detail": problem.detail})
        response = web.Response(
            status=problem.status, body=body, content_type="application/json"
        )
        if request_id:
            response.headers[header_names.REQUEST_ID] = request_id
        if problem.retry_after_s is not None and problem.ran is ExecutionState.NO:
            # The platform allows fractions of a second here.
            response.headers["Retry-After"] = f"{problem.retry_after_s:.3f}"
        return response


def create() -> PlatformProtocolAdapter:
    """Return the platform's protocol adapter."""
    return PlatformProtocolAdapter()


def _forwarded_headers(
    items, headers, dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    connection = ",".join(headers.getall("Connection", ()))
    if connection:
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = dropped | named
    return tuple((n, v) for n, v in items if n.lower() not in dropped)


def _needs_key(route: Route, table: RouteTable, key: str) -> bool:
    """Return whether a request needs the key of a workspace.

    Without workspaces none is needed; a key that is sent all the same is unknown.
    """
    if route.is_public:
        return False
    return bool(key or table.workspaces)


def _rank(workspace: Workspace | None, route: Route) -> int:
    """Return a combined rank, ordered by workspace and then by route.

    A route rank of `ROUTE_RANKS` or more counts as `ROUTE_RANKS - 1`.
    """
    workspace_rank = workspace.rank if workspace is not None else None
    return (workspace_rank or 0) * ROUTE_RANKS + min(route.rank, ROUTE_RANKS - 1)


def _work_size(headers) -> WorkSize:
    counts = _parse_counts(headers.get(header_names.TOKEN_COUNT, ""))
    if len(counts) != 2:
        return WorkSize()
    hints = _parse_counts(headers.get(header_names.LENGTH_HINT, ""))
    output = min(hints[0], counts[1]) if hints else counts[1]
    return WorkSize(prompt_tokens=counts[0], output_tokens=max(output, 1))


def _charge(headers, workspace: Workspace | None) -> float:
    quota: Quota | None = workspace.quota if workspace is not None else None
    if quota is None:
        return 0.0
    if not quota.counts_tokens:
        return 1.0
    counts = _parse_counts(headers.get(header_names.TOKEN_COUNT, ""))
    return float(sum(counts)) if len(counts) == 2 else quota.plain_units


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts but the last, which no other request has."""
    ids = [part.partition(":")[0].strip().lower() for part in text.split(",")]
    ids = [part for part in ids[:-1] if part and is_unicode(part)]
    return tuple(_bounded_id(part) for part in ids[:MAX_SHARED_PARTS])


def _bounded_id(part: str) -> str:
    """Return an id that stands for a part of a prompt, of bounded length."""
    if len(part) <= MAX_PART_CHARS:
        return part
    return hashlib.blake2b(part.encode(), digest_size=PART_HASH_BYTES).hexdigest()


def _parse_counts(text: str) -> list[int]:
    """Return comma-separated token counts, none if one is out of bounds."""
    counts = [whole_number(part.strip()) for part in text.split(",")]
    if any(count is None or count > MAX_COUNT for count in counts):
        return []
    return counts
