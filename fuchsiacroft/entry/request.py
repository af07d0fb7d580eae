"""An admitted request."""

from dataclasses import dataclass

from fuchsiacroft.config.document import ServiceSpec
from fuchsiacroft.routing.permits import PermitRequest


@dataclass(frozen=True, slots=True)
class LedgerKey:
    """The key under which a non-idempotent request is claimed.

    `fingerprint` is the digest of the request's method, path and body. `dated`
    is true if the idempotency key contains its time (UUID version 7).
    """

    key: bytes
    fingerprint: bytes
    dated: bool


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Everything that is needed to serve an admitted request.

    `path` includes the query. `headers` are those sent to the backend server.
    `body` is complete for model services and non-idempotent requests, and None
    if the caller's body is streamed.
    """

    request_id: str
    spec: ServiceSpec
    tier: str
    permit_request: PermitRequest
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    stream: bool
    ledger_key: LedgerKey | None
