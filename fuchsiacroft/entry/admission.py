"""Validates a caller's HTTP request and converts it to a `CallerRequest`."""

import math
from dataclasses import dataclass

import msgspec
import xxhash
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.config.document import ServiceSpec, Tier, Workspace, hash_key
from fuchsiacroft.entry import http_headers, prefixes, request_validation
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.ledger_key import is_past_retention, ledger_key
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.entry.request_body import BodyBuffer, too_large_problem
from fuchsiacroft.routing.permits import PermitRequest, WorkSize

TIER_HEADER = "Fuchsiacroft-Tier"
TIMEOUT_HEADER = "Fuchsiacroft-Timeout"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
BYTES_PER_TOKEN = 4
"""Estimate by which the prompt tokens are derived from the body size."""
DEFAULT_OUTPUT_TOKENS = 256
MAX_KEY_LENGTH = 255


class ModelBody(msgspec.Struct):
    """The fields of an OpenAI-compatible request that scheduling needs."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The content of a request, without the caller's identity."""

    path: str
    body: bytes | None
    size: WorkSize = WorkSize()
    stream: bool = False


AdmissionResult = Result[CallerRequest, Problem]


class Admission:
    """Validates and authorises requests against the current document."""

    def __init__(self, document: CurrentDocument, bodies: BodyBuffer) -> None:
        self._document = document
        self._bodies = bodies

    async def admit_model(self, exchange: Exchange) -> AdmissionResult:
        """Admit a request to a model service, which is named in the body."""
        http = exchange.http
        match self._workspace(http):
            case Result(tag="ok", ok=workspace):
                pass
            case Result(error=problem):
                return Error(problem)
        max_bytes = self._document.max_model_body_bytes
        match await self._bodies.read(http, max_bytes, exchange.body_claim):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=problem):
                return Error(problem)
        return self._admit_model(exchange, workspace, body)

    def _admit_model(
        self, exchange: Exchange, workspace: Workspace, body: bytes
    ) -> AdmissionResult:
        try:
            fields = msgspec.json.decode(body, type=ModelBody)
        except (msgspec.MsgspecError, RecursionError) as exc:
            return Error(Problem(400, "malformed", f"invalid request body: {exc}"))
        spec = self._document.service(fields.model)
        if spec is None or spec.kind != "model":
            detail = f'no model service "{fields.model}"'
            return Error(Problem(404, "unknown_service", detail))
        if len(body) > spec.max_body_bytes:
            return Error(too_large_problem(spec.max_body_bytes))
        max_tokens = fields.max_completion_tokens or fields.max_tokens
        size = WorkSize(
            prompt_tokens=len(body) // BYTES_PER_TOKEN,
            output_tokens=max(1, max_tokens or DEFAULT_OUTPUT_TOKENS),
        )
        content = RequestContent(exchange.http.raw_path, body, size, fields.stream)
        return self._admit(exchange, workspace, spec, content)

    async def admit_plain(
        self, exchange: Exchange, name: str, target: str
    ) -> AdmissionResult:
        """Admit a request to a plain service, which is named in the path."""
        http = exchange.http
        match self._workspace(http):
            case Result(tag="ok", ok=workspace):
                pass
            case Result(error=problem):
                return Error(problem)
        spec = self._document.service(name)
        if spec is None or spec.kind != "plain":
            return Error(Problem(404, "unknown_service", f'no plain service "{name}"'))
        if (http.content_length or 0) > spec.max_body_bytes:
            return Error(too_large_problem(spec.max_body_bytes))
        if not http.can_read_body:
            return self._admit(exchange, workspace, spec, RequestContent(target, b""))
        rule = self._document.rule(
            name, http.method, request_validation.decoded_path(target)
        )
        if rule is None or rule.idempotent:
            problem = self._bodies.admit_streamed(http, exchange.body_claim)
            if problem is not None:
                return Error(problem)
            return self._admit(exchange, workspace, spec, RequestContent(target, None))
        match await self._bodies.read(http, spec.max_body_bytes, exchange.body_claim):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=problem):
                return Error(problem)
        return self._admit(exchange, workspace, spec, RequestContent(target, body))

    def _admit(
        self,
        exchange: Exchange,
        workspace: Workspace,
        spec: ServiceSpec,
        content: RequestContent,
    ) -> AdmissionResult:
        http = exchange.http
        match self._tier(http, workspace, spec):
            case Result(tag="ok", ok=tier):
                pass
            case Result(error=problem):
                return Error(problem)
        timeout_s = _timeout_s(http, tier)
        if timeout_s is None:
            detail = f"{TIMEOUT_HEADER} must be a positive number of seconds"
            return Error(Problem(400, "malformed", detail))
        path = request_validation.decoded_path(content.path)
        rule = self._document.rule(spec.name, http.method, path)
        idempotent = rule is None or rule.idempotent
        key = http.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if not idempotent and rule.key_required and not key:
            detail = f"a non-idempotent request needs {IDEMPOTENCY_KEY_HEADER}"
            return Error(Problem(400, "key_required", detail))
        if len(key) > MAX_KEY_LENGTH:
            return Error(
                Problem(400, "malformed", f"{IDEMPOTENCY_KEY_HEADER} is too long")
            )
        if is_past_retention(key):
            detail = "the key is older than its retention; its request may have run"
            return Error(Problem(409, "key_expired", detail, ExecutionState.MAYBE))
        digest = _content_digest(http.method, content)
        is_stored = not idempotent and bool(key)
        permit_request = PermitRequest(
            request_id=exchange.request_id,
            service=spec.name,
            rank=tier.rank,
            timeout_s=timeout_s,
            workspace=workspace.name,
            share=workspace.share,
            retries_per_s=workspace.retries_per_s,
            size=content.size,
            idempotent=idempotent,
            fingerprint=digest.hex(),
            prefixes=prefixes.digests(content.body) if spec.kind == "model" else (),
            first_token_target_s=spec.first_token_target_s,
            token_gap_target_s=spec.token_gap_target_s,
        )
        return Ok(
            CallerRequest(
                request_id=permit_request.request_id,
                spec=spec,
                tier=tier.name,
                permit_request=permit_request,
                method=http.method,
                path=content.path,
                headers=http_headers.backend_request_headers(
                    http.headers.items(),
                    http.headers.get("Connection", ""),
                    allows_encoding=not is_stored,
                ),
                body=content.body,
                stream=content.stream,
                ledger_key=ledger_key(workspace.name, key, digest)
                if is_stored
                else None,
            )
        )

    def _workspace(self, http: web.BaseRequest) -> Result[Workspace, Problem]:
        scheme, _, key = http.headers.get("Authorization", "").partition(" ")
        workspace = None
        if scheme.lower() == "bearer":
            workspace = self._document.workspace_of(hash_key(key.strip()))
        if workspace is None:
            return Error(Problem(401, "unknown_key", "no workspace has this key"))
        return Ok(workspace)

    def _tier(
        self, http: web.BaseRequest, workspace: Workspace, spec: ServiceSpec
    ) -> Result[Tier, Problem]:
        name = http.headers.get(TIER_HEADER, workspace.tier)
        tier = self._document.tier(name)
        if tier is None:
            return Error(Problem(400, "unknown_tier", f'no tier "{name}"'))
        highest = self._document.tier(workspace.highest_tier or workspace.tier)
        if highest is not None and tier.rank < highest.rank:
            detail = f'workspace "{workspace.name}" may not use tier "{name}"'
            return Error(Problem(403, "tier_refused", detail))
        if spec.tiers and name not in spec.tiers:
            detail = f'service "{spec.name}" does not serve tier "{name}"'
            return Error(Problem(403, "tier_refused", detail))
        return Ok(tier)


def _content_digest(method: str, content: RequestContent) -> bytes:
    digest = xxhash.xxh128()
    digest.update(f"{method} {content.path}\n".encode())
    digest.update(content.body or b"")
    return digest.digest()


def _timeout_s(http: web.BaseRequest, tier: Tier) -> float | None:
    text = http.headers.get(TIMEOUT_HEADER)
    if text is None:
        return tier.timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(timeout_s) or timeout_s <= 0:
        return None
    return min(timeout_s, tier.timeout_s)
