"""The platform's HTTP between clients, the gateway and replicas."""

from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config.route_table import Quota, Route, RouteTable, Workspace
from fuchsiacroft.entry.http_headers import HOP_BY_HOP
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.gateway.routed_request import Headers, ProtocolAdapter, RoutedRequest
from fuchsiacroft.platform import names
from fuchsiacroft.routing.permits import WorkSize

NOT_FROM_CLIENT = HOP_BY_HOP | names.SET_BY_US | {"host", "expect", "content-length"}
NOT_FROM_REPLICA = HOP_BY_HOP | {"content-length", "date", "server"}
MISDIRECTED = 421
MIN_DEADLINE_MS = 1
RANKS_OF_ROUTES = 16
"""More than the ranks that routes have; workspaces' ranks count in these."""


class PlatformDialect(ProtocolAdapter):
    """Decodes what the platform's clients and replicas say."""

    def request_id(self, http: web.BaseRequest) -> str:
        """Return the id of the client attempt."""
        return http.headers.get(names.REQUEST_ID, "")

    def parse_request(
        self,
        http: web.BaseRequest,
        table: RouteTable,
        choose_service: Callable[[Route], str],
    ) -> Result[RoutedRequest, Problem]:
        """Decode a request's head, or return why it is refused."""
        headers = http.headers
        target = http.raw_path
        if not target.startswith("/"):
            return Error(Problem(400, "malformed", "the target is not a path"))
        host = headers.get("Host", "").partition(":")[0].lower()
        route = table.route(host, target.partition("?")[0])
        if route is None:
            return Error(Problem(404, "unknown_path", "no route has this prefix"))
        workspace = None
        if not route.is_public:
            workspace = table.workspace_of(headers.get(names.API_KEY, ""))
            if workspace is None:
                return Error(Problem(401, "unknown_key", "no workspace has this key"))
        size = _size(headers)
        service = choose_service(route)
        deadline_s = _deadline_s(headers, route)
        return Ok(
            RoutedRequest(
                request_id=headers.get(names.REQUEST_ID, ""),
                method=http.method,
                target=target,
                host=headers.get("Host", ""),
                headers=_passed(headers.items(), headers, NOT_FROM_CLIENT),
                route=route,
                service=service,
                workspace=workspace.name if workspace is not None else "",
                rank=_rank(workspace, route),
                deadline_s=deadline_s,
                timeout_s=min(deadline_s, route.timeout_s),
                size=size,
                charge=_charge(headers, workspace),
                last_event_id=headers.get(names.LAST_EVENT_ID),
                event_tokens=table.services[service].event_tokens,
                table_version=table.version,
            )
        )

    def backend_request_headers(
        self,
        call: RoutedRequest,
        backend_server: str,
        remaining_s: float,
        last_event_id: str | None,
    ) -> Headers:
        """Return a client's headers with those that the system sets."""
        headers = [("Host", call.host), *call.headers]
        left_ms = max(int(remaining_s * 1000), MIN_DEADLINE_MS)
        headers.append((names.DEADLINE, str(left_ms)))
        headers.append((names.EXPECTED_REPLICA, backend_server))
        if call.workspace:
            headers.append((names.TENANT, call.workspace))
        if last_event_id is not None:
            headers.append((names.LAST_EVENT_ID, last_event_id))
        return headers

    def caller_response_headers(self, response: aiohttp.ClientResponse) -> Headers:
        """Return a replica's headers without those of its connection."""
        return list(
            _passed(response.headers.items(), response.headers, NOT_FROM_REPLICA)
        )

    def was_not_executed(self, response: aiohttp.ClientResponse) -> bool:
        """Tell whether a replica says that it did not run the request."""
        return names.NOT_EXECUTED in response.headers or response.status == MISDIRECTED

    def matches_request(
        self, call: RoutedRequest, response: aiohttp.ClientResponse
    ) -> bool:
        """Tell whether an answer has the id of the request, and no encoding."""
        answered = response.headers.get(names.REQUEST_ID, call.request_id)
        return (
            answered == call.request_id and "Content-Encoding" not in response.headers
        )

    def error_response(self, problem: Problem, request_id: str) -> web.Response:
        """Return the answer to a client for a problem."""
        body = msgspec.json.encode({"reason": problem.code, "detail": problem.detail})
        response = web.Response(
            status=problem.status, body=body, content_type="application/json"
        )
        if request_id:
            response.headers[names.REQUEST_ID] = request_id
        if problem.retry_after_s is not None and problem.ran is ExecutionState.NO:
            # Fractions are allowed here.
            response.headers["Retry-After"] = f"{problem.retry_after_s:.3f}"
        return response


def create() -> PlatformDialect:
    """Return the platform's dialect."""
    return PlatformDialect()


def _passed(items, headers, dropped: frozenset[str]) -> tuple[tuple[str, str], ...]:
    connection = ",".join(headers.getall("Connection", ()))
    if connection:
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = dropped | named
    return tuple((n, v) for n, v in items if n.lower() not in dropped)


def _rank(workspace: Workspace | None, route: Route) -> int:
    """Return one rank: by the workspace first, and by the route among equals."""
    first = workspace.rank if workspace is not None else None
    return (first or 0) * RANKS_OF_ROUTES + min(route.rank, RANKS_OF_ROUTES - 1)


def _deadline_s(headers, route: Route) -> float:
    try:
        deadline_s = float(headers[names.DEADLINE]) / 1000
    except (KeyError, ValueError):
        return route.timeout_s
    return deadline_s if deadline_s > 0 else route.timeout_s


def _size(headers) -> WorkSize:
    counts = _numbers(headers.get(names.TOKEN_COUNT, ""))
    if len(counts) != 2:
        return WorkSize()
    hints = _numbers(headers.get(names.LENGTH_HINT, ""))
    output = min(hints[0], counts[1]) if hints else counts[1]
    return WorkSize(prompt_tokens=counts[0], output_tokens=max(output, 1))


def _charge(headers, workspace: Workspace | None) -> float:
    quota: Quota | None = workspace.quota if workspace is not None else None
    if quota is None:
        return 0.0
    if not quota.counts_tokens:
        return 1.0
    counts = _numbers(headers.get(names.TOKEN_COUNT, ""))
    return float(sum(counts)) if len(counts) == 2 else quota.plain_units


def _numbers(text: str) -> list[int]:
    try:
        return [int(part) for part in text.split(",")]
    except ValueError:
        return []
