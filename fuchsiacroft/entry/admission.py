"""Turns a caller's HTTP request into a `CallerRequest`, or refuses it."""

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
from fuchsiacroft.entry.request_body import BodyBuffer, too_large
from fuchsiacroft.routing.permits import PermitRequest, WorkSize

TIER_HEADER = "Fuchsiacroft-Tier"
TIMEOUT_HEADER = "Fuchsiacroft-Timeout"
KEY_HEADER = "Idempotency-Key"
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
MAX_KEY_LENGTH = 255


class ModelBody(msgspec.Struct):
    """The fields of an OpenAI-shaped request that scheduling reads."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class Content:
    """What a request asks for, apart from who asks."""

    path: str
    body: bytes | None
    size: WorkSize = WorkSize()
    stream: bool = False


Admitted = Result[CallerRequest, Problem]


class Admission:
    """Checks requests against the document in force."""

    def __init__(self, document: CurrentDocument, bodies: BodyBuffer) -> None:
        self._document = document
        self._bodies = bodies

    async def model(self, exchange: Exchange) -> Admitted:
        """Admit a request to a model service; its body names the service."""
        http = exchange.http
        match self._workspace(http):
            case Result(tag="ok", ok=workspace):
                pass
            case Result(error=problem):
                return Error(problem)
        match await self._bodies.read(http, self._document.max_model_body_bytes):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=problem):
                return Error(problem)
        admitted = self._model(exchange, workspace, body)
        if admitted.is_error():
            self._bodies.release(body)
        return admitted

    def _model(self, exchange: Exchange, workspace: Workspace, body: bytes) -> Admitted:
        try:
            fields = msgspec.json.decode(body, type=ModelBody)
        except (msgspec.MsgspecError, RecursionError) as exc:
            return Error(Problem(400, "malformed", f"the body is refused: {exc}"))
        spec = self._document.service(fields.model)
        if spec is None or spec.kind != "model":
            detail = f'no model service "{fields.model}"'
            return Error(Problem(404, "unknown_service", detail))
        if len(body) > spec.max_body_bytes:
            return Error(too_large(spec.max_body_bytes))
        wanted = fields.max_completion_tokens or fields.max_tokens
        size = WorkSize(
            prompt_tokens=len(body) // BYTES_PER_TOKEN,
            output_tokens=max(1, wanted or DEFAULT_OUTPUT_TOKENS),
        )
        content = Content(exchange.http.raw_path, body, size, fields.stream)
        return self._admit(exchange, workspace, spec, content)

    async def plain(self, exchange: Exchange, name: str, target: str) -> Admitted:
        """Admit a request to a plain service, named in the path."""
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
            return Error(too_large(spec.max_body_bytes))
        if not http.can_read_body:
            return self._admit(exchange, workspace, spec, Content(target, b""))
        rule = self._document.rule(
            name, http.method, request_validation.decoded_path(target)
        )
        if rule is None or rule.idempotent:
            return self._admit(exchange, workspace, spec, Content(target, None))
        match await self._bodies.read(http, spec.max_body_bytes):
            case Result(tag="ok", ok=body):
                pass
            case Result(error=problem):
                return Error(problem)
        admitted = self._admit(exchange, workspace, spec, Content(target, body))
        if admitted.is_error():
            self._bodies.release(body)
        return admitted

    def _admit(
        self,
        exchange: Exchange,
        workspace: Workspace,
        spec: ServiceSpec,
        content: Content,
    ) -> Admitted:
        req = exchange.http
        match self._tier(req, workspace, spec):
            case Result(tag="ok", ok=tier):
                pass
            case Result(error=problem):
                return Error(problem)
        timeout_s = _timeout(req, tier)
        if timeout_s is None:
            detail = f"{TIMEOUT_HEADER} must be a positive number of seconds"
            return Error(Problem(400, "malformed", detail))
        path = request_validation.decoded_path(content.path)
        rule = self._document.rule(spec.name, req.method, path)
        idempotent = rule is None or rule.idempotent
        key = req.headers.get(KEY_HEADER, "")
        if not idempotent and rule.key_required and not key:
            detail = f"a non-idempotent request needs {KEY_HEADER}"
            return Error(Problem(400, "key_required", detail))
        if len(key) > MAX_KEY_LENGTH:
            return Error(Problem(400, "malformed", f"{KEY_HEADER} is too long"))
        if is_past_retention(key):
            detail = "the key is older than its retention; its request may have run"
            return Error(Problem(409, "key_expired", detail, ExecutionState.MAYBE))
        digest = _digest(req.method, content)
        ask = PermitRequest(
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
                request_id=ask.request_id,
                spec=spec,
                tier=tier.name,
                ask=ask,
                method=req.method,
                path=content.path,
                headers=http_headers.from_caller(
                    req.headers.items(), req.headers.get("Connection", "")
                ),
                body=content.body,
                stream=content.stream,
                ledger_key=None
                if idempotent or not key
                else ledger_key(workspace.name, key, digest),
            )
        )

    def _workspace(self, req: web.BaseRequest) -> Result[Workspace, Problem]:
        scheme, _, key = req.headers.get("Authorization", "").partition(" ")
        workspace = None
        if scheme.lower() == "bearer":
            workspace = self._document.workspace_of(hash_key(key.strip()))
        if workspace is None:
            return Error(Problem(401, "unknown_key", "no workspace has this key"))
        return Ok(workspace)

    def _tier(
        self, req: web.BaseRequest, workspace: Workspace, spec: ServiceSpec
    ) -> Result[Tier, Problem]:
        name = req.headers.get(TIER_HEADER, workspace.tier)
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


def _digest(method: str, content: Content) -> bytes:
    digest = xxhash.xxh128()
    digest.update(f"{method} {content.path}\n".encode())
    digest.update(content.body or b"")
    return digest.digest()


def _timeout(req: web.BaseRequest, tier: Tier) -> float | None:
    text = req.headers.get(TIMEOUT_HEADER)
    if text is None:
        return tier.timeout_s
    try:
        wanted = float(text)
    except ValueError:
        return None
    if not math.isfinite(wanted) or wanted <= 0:
        return None
    return min(wanted, tier.timeout_s)
