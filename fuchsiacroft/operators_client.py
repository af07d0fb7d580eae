"""The client of the operators' API, for the commands and the console.

It tries the control members in turn until one responds. Changes are idempotent
by their change id, so a change can be retried after a lost response.
"""

import asyncio
import os
import ssl
from dataclasses import dataclass

import aiohttp
import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Tls
from fuchsiacroft.control.api_messages import (
    CHANGE_ID_HEADER,
    OPERATOR_HEADER,
    ChangeResponse,
    DocumentResponse,
    HistoryResponse,
    InForceResponse,
    MemberStatus,
    RolloutOrder,
    RolloutsResponse,
    RolloutStatus,
)
from fuchsiacroft.control.configuration import VersionRecord
from fuchsiacroft.operators_results import (
    ApiResponse,
    ChangeError,
    ReadError,
    Unreachable,
    member_status,
    merge_versions,
)
from fuchsiacroft.utils.clock import now

ATTEMPT_TIMEOUT_S = 4.0
CHANGE_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.3
MAX_PARALLEL_DUMPS = 32


@dataclass(frozen=True, slots=True)
class Change:
    """A document that replaces version `base_version`, identified by a change id."""

    document: bytes
    base_version: int
    change_id: str
    operator: str


class OperatorsClient:
    """A client of the control members at the given addresses (`IP:PORT`)."""

    def __init__(
        self, control: list[str], token: str, tls: ssl.SSLContext | None = None
    ) -> None:
        self._control = list(control)
        self._token = token
        self._tls = tls
        self._scheme = "https" if tls else "http"
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "OperatorsClient":
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S),
            connector=aiohttp.TCPConnector(ssl=self._tls or True),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def get_document(
        self, version: int | None = None
    ) -> Result[DocumentResponse, ReadError]:
        """Return the newest document, or the document of a version."""
        query = "" if version is None else f"?version={version}"
        return await self._get(f"/v1/document{query}", DocumentResponse)

    async def get_history(self, limit: int) -> Result[list[VersionRecord], ReadError]:
        """Return the newest versions in ascending order."""
        response = await self._get(f"/v1/history?limit={limit}", HistoryResponse)
        return response.map(lambda history: history.versions)

    async def submit_change(
        self, change: Change
    ) -> Result[ChangeResponse, ChangeError]:
        """Submit a change, with retries until a control member responds."""
        headers = {
            "If-Match": f'"{change.base_version}"',
            CHANGE_ID_HEADER: change.change_id,
            OPERATOR_HEADER: change.operator,
        }
        response = await self._request(
            "PUT", "/v1/document", CHANGE_TIMEOUT_S, headers, change.document
        )
        return response.bind(ApiResponse.change_result)

    async def validate_document(self, document: bytes) -> Result[None, ChangeError]:
        """Validate a draft without applying it."""
        response = await self._request(
            "POST", "/v1/document/check", READ_TIMEOUT_S, {}, document
        )
        return response.bind(ApiResponse.check_result)

    async def order_rollout(
        self, order: RolloutOrder, operator: str
    ) -> Result[RolloutStatus, ReadError]:
        """Order a rollout, with retries until a control member responds."""
        response = await self._request(
            "POST",
            "/v1/rollouts",
            CHANGE_TIMEOUT_S,
            {OPERATOR_HEADER: operator},
            msgspec.json.encode(order),
        )
        return response.bind(lambda received: received.decode(RolloutStatus))

    async def get_rollouts(self) -> Result[list[RolloutStatus], ReadError]:
        """Return the newest rollout of each service."""
        response = await self._get("/v1/rollouts", RolloutsResponse)
        return response.map(lambda found: found.rollouts)

    async def member_statuses(self) -> dict[str, MemberStatus | str]:
        """Return each control member's status, or why it is unknown, by address."""
        responses = await asyncio.gather(
            *(self._send("GET", peer, "/v1/status", {}, None) for peer in self._control)
        )
        return {
            peer: member_status(response)
            for peer, response in zip(self._control, responses, strict=True)
        }

    async def get_versions_in_force(self) -> Result[InForceResponse, ReadError]:
        """Return the newest version that each process is known to have in force.

        Each process reports to one control member at a time, so all control
        members are queried.
        """
        responses = await asyncio.gather(
            *(
                self._send("GET", peer, "/v1/in-force", {}, None)
                for peer in self._control
            )
        )
        reasons = []
        found = []
        for peer, response in zip(self._control, responses, strict=True):
            match response:
                case Result(tag="ok", ok=ApiResponse(status=200, body=body)):
                    found.append(msgspec.json.decode(body, type=InForceResponse))
                case Result(tag="ok", ok=rejection):
                    return Error(rejection.denied())
                case Result(error=reason):
                    reasons.append(f"{peer}: {reason}")
        return (
            Ok(merge_versions(found)) if found else Error(Unreachable(tuple(reasons)))
        )

    async def get_dump(self, address: str) -> Result[dict, str]:
        """Return the state dump of the process at an operators' address."""
        match await self._send("GET", address, "/dump", {}, None):
            case Result(tag="ok", ok=ApiResponse(status=200, body=body)):
                return Ok(msgspec.json.decode(body))
            case Result(tag="ok", ok=response):
                return Error(f"status {response.status}")
            case Result(error=reason):
                return Error(reason)

    async def get_dumps(self, addresses: list[str]) -> dict[str, Result[dict, str]]:
        """Return the state dumps of several processes by address."""
        semaphore = asyncio.Semaphore(MAX_PARALLEL_DUMPS)

        async def fetch_dump(address: str) -> Result[dict, str]:
            async with semaphore:
                return await self.get_dump(address)

        found = await asyncio.gather(*(fetch_dump(address) for address in addresses))
        return dict(zip(addresses, found, strict=True))

    async def _get(self, path: str, kind: type) -> Result:
        response = await self._request("GET", path, READ_TIMEOUT_S, {}, None)
        return response.bind(lambda received: received.decode(kind))

    async def _request(
        self, method: str, path: str, timeout: float, headers: dict, body: bytes | None
    ) -> Result[ApiResponse, Unreachable]:
        """Try the members in turn; the one that responds is tried first next time."""
        deadline = now() + timeout
        reasons: dict[str, str] = {}
        while True:
            for peer in list(self._control):
                match await self._send(method, peer, path, headers, body):
                    case Result(tag="ok", ok=response) if response.is_final:
                        self._prefer(peer)
                        return Ok(response)
                    case Result(tag="ok", ok=response):
                        reasons[peer] = response.denied().detail
                    case Result(error=reason):
                        reasons[peer] = reason
            if now() + RETRY_PAUSE_S >= deadline:
                listed = (f"{peer}: {reason}" for peer, reason in reasons.items())
                return Error(Unreachable(tuple(listed)))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send(
        self, method: str, peer: str, path: str, headers: dict, body: bytes | None
    ) -> Result[ApiResponse, str]:
        url = f"{self._scheme}://{peer}{path}"
        headers = {"Authorization": f"Bearer {self._token}"} | headers
        try:
            async with self._session.request(
                method, url, headers=headers, data=body
            ) as res:
                return Ok(ApiResponse(res.status, await res.read()))
        except TimeoutError:
            return Error("request timed out")
        except (aiohttp.ClientError, OSError) as exc:
            return Error(_error_reason(exc))

    def _prefer(self, peer: str) -> None:
        self._control.remove(peer)
        self._control.insert(0, peer)


def create(
    control: list[str], token: str, tls: ssl.SSLContext | None = None
) -> OperatorsClient:
    """Return a client, which is an async context manager."""
    return OperatorsClient(control, token, tls)


def tls_context(files: Tls | None) -> Result[ssl.SSLContext | None, str]:
    """Return a context that trusts the configured CA; None without TLS."""
    if files is None:
        return Ok(None)
    try:
        return Ok(ssl.create_default_context(cafile=files.ca))
    except (OSError, ssl.SSLError) as exc:
        return Error(f"{files.ca} cannot be used: {exc}")


def _error_reason(exc: Exception) -> str:
    number = getattr(exc, "errno", None)
    return os.strerror(number) if number else type(exc).__name__
