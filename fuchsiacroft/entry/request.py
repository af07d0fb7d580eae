"""A caller's request after admission."""

from dataclasses import dataclass

from fuchsiacroft.config.document import ServiceSpec
from fuchsiacroft.routing.permits import PermitRequest


@dataclass(frozen=True, slots=True)
class LedgerKey:
    """The key under which a non-idempotent request is claimed."""

    key: bytes
    fingerprint: bytes
    dated: bool


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Everything the request path needs to know of a request.

    `path` includes the query. `headers` are those passed on to the backend
    server. `body` is whole for model services and non-idempotent requests,
    and None when the caller's body is streamed through.
    """

    request_id: str
    spec: ServiceSpec
    tier: str
    ask: PermitRequest
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    stream: bool
    ledger_key: LedgerKey | None
