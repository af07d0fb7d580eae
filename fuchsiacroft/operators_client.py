"""The client of the operators' API, for the commands and the console.

It asks one control member after the other until one answers. A change may be
sent again under its change id, so a lost answer costs nothing.
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
)
from fuchsiacroft.control.configuration import VersionRecord
from fuchsiacroft.operators_results import (
    Answer,
    ChangeError,
    ReadError,
    Unreachable,
    member_status,
    merged,
)
from fuchsiacroft.utils.clock import now

ATTEMPT_TIMEOUT_S = 4.0
CHANGE_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.3
PARALLEL_DUMPS = 32


@dataclass(frozen=True, slots=True)
class Change:
    """A document that is to replace version `base_version`, under a change id."""

    document: bytes
    base_version: int
    change_id: str
    operator: str


class OperatorsClient:
    """Asks the control members at the given addresses, `IP:PORT` each."""

    def __init__(
        self, control: list[str], token: str, tls: ssl.SSLContext | None = None
    ) -> None:
        self._control = list(control)
        self._token = token
        self._tls = tls
        self._scheme = "https" if tls else "http"
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "OperatorsClient":
        """Open the connections."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S),
            connector=aiohttp.TCPConnector(ssl=self._tls or True),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connections."""
        await self._session.close()

    async def get_document(
        self, version: int | None = None
    ) -> Result[DocumentResponse, ReadError]:
        """Return the newest document, or the one of a version."""
        query = "" if version is None else f"?version={version}"
        return await self._read(f"/v1/document{query}", DocumentResponse)

    async def get_history(self, limit: int) -> Result[list[VersionRecord], ReadError]:
        """Return the newest versions, the oldest of them first."""
        answer = await self._read(f"/v1/history?limit={limit}", HistoryResponse)
        return answer.map(lambda history: history.versions)

    async def submit_change(
        self, change: Change
    ) -> Result[ChangeResponse, ChangeError]:
        """Send a change until one control member answers."""
        headers = {
            "If-Match": f'"{change.base_version}"',
            CHANGE_ID_HEADER: change.change_id,
            OPERATOR_HEADER: change.operator,
        }
        answer = await self._ask(
            "PUT", "/v1/document", CHANGE_TIMEOUT_S, headers, change.document
        )
        return answer.bind(Answer.change_result)

    async def validate_document(self, document: bytes) -> Result[None, ChangeError]:
        """Have a draft checked; nothing changes."""
        answer = await self._ask(
            "POST", "/v1/document/check", READ_TIMEOUT_S, {}, document
        )
        return answer.bind(Answer.check_result)

    async def member_statuses(self) -> dict[str, MemberStatus | str]:
        """Return each control member's status, or why it has none, by address."""
        answers = await asyncio.gather(
            *(self._try("GET", peer, "/v1/status", {}, None) for peer in self._control)
        )
        return {
            peer: member_status(answer)
            for peer, answer in zip(self._control, answers, strict=True)
        }

    async def get_versions_in_force(self) -> Result[InForceResponse, ReadError]:
        """Return the newest version each process is known to have in force.

        A process reports to one control member at a time, so all are asked.
        """
        answers = await asyncio.gather(
            *(
                self._try("GET", peer, "/v1/in-force", {}, None)
                for peer in self._control
            )
        )
        reasons = []
        heard = []
        for peer, answer in zip(self._control, answers, strict=True):
            match answer:
                case Result(tag="ok", ok=Answer(status=200, body=body)):
                    heard.append(msgspec.json.decode(body, type=InForceResponse))
                case Result(tag="ok", ok=refused):
                    return Error(refused.denied())
                case Result(error=reason):
                    reasons.append(f"{peer}: {reason}")
        return Ok(merged(heard)) if heard else Error(Unreachable(tuple(reasons)))

    async def get_dump(self, address: str) -> Result[dict, str]:
        """Return the state of the process at an operators' address."""
        match await self._try("GET", address, "/dump", {}, None):
            case Result(tag="ok", ok=Answer(status=200, body=body)):
                return Ok(msgspec.json.decode(body))
            case Result(tag="ok", ok=answer):
                return Error(f"status {answer.status}")
            case Result(error=reason):
                return Error(reason)

    async def get_dumps(self, addresses: list[str]) -> dict[str, Result[dict, str]]:
        """Return the state of several processes by address."""
        gate = asyncio.Semaphore(PARALLEL_DUMPS)

        async def one(address: str) -> Result[dict, str]:
            async with gate:
                return await self.get_dump(address)

        found = await asyncio.gather(*(one(address) for address in addresses))
        return dict(zip(addresses, found, strict=True))

    async def _read(self, path: str, kind: type) -> Result:
        answer = await self._ask("GET", path, READ_TIMEOUT_S, {}, None)
        return answer.bind(lambda got: got.read(kind))

    async def _ask(
        self, method: str, path: str, timeout: float, headers: dict, body: bytes | None
    ) -> Result[Answer, Unreachable]:
        """Ask one member after the other; the one that answers is asked first."""
        deadline = now() + timeout
        reasons: dict[str, str] = {}
        while True:
            for peer in list(self._control):
                match await self._try(method, peer, path, headers, body):
                    case Result(tag="ok", ok=answer) if answer.is_final:
                        self._prefer(peer)
                        return Ok(answer)
                    case Result(tag="ok", ok=answer):
                        reasons[peer] = answer.denied().detail
                    case Result(error=reason):
                        reasons[peer] = reason
            if now() + RETRY_PAUSE_S >= deadline:
                listed = (f"{peer}: {reason}" for peer, reason in reasons.items())
                return Error(Unreachable(tuple(listed)))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _try(
        self, method: str, peer: str, path: str, headers: dict, body: bytes | None
    ) -> Result[Answer, str]:
        url = f"{self._scheme}://{peer}{path}"
        headers = {"Authorization": f"Bearer {self._token}"} | headers
        try:
            async with self._session.request(
                method, url, headers=headers, data=body
            ) as res:
                return Ok(Answer(res.status, await res.read()))
        except TimeoutError:
            return Error("no answer in time")
        except (aiohttp.ClientError, OSError) as exc:
            return Error(_reason(exc))

    def _prefer(self, peer: str) -> None:
        self._control.remove(peer)
        self._control.insert(0, peer)


def create(
    control: list[str], token: str, tls: ssl.SSLContext | None = None
) -> OperatorsClient:
    """Return a client, to be used as an async context manager."""
    return OperatorsClient(control, token, tls)


def tls_context(files: Tls | None) -> Result[ssl.SSLContext | None, str]:
    """Return the context that trusts what settings say; None without TLS."""
    if files is None:
        return Ok(None)
    try:
        return Ok(ssl.create_default_context(cafile=files.ca))
    except (OSError, ssl.SSLError) as exc:
        return Error(f"{files.ca} cannot be used: {exc}")


def _reason(exc: Exception) -> str:
    number = getattr(exc, "errno", None)
    return os.strerror(number) if number else type(exc).__name__
