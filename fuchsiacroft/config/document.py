"""The operators' document: tiers, services, workspaces and rules.

One version of the document is in force at a time. It is validated as a whole.
"""

import hashlib
from collections.abc import Collection
from typing import Annotated, Literal

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config import defaults
from fuchsiacroft.config.bounds import MAX_AMOUNT, MAX_BYTES, Count, PeriodS
from fuchsiacroft.config.validation import ValidationIssue, suggestion, validate_value

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,100}$(?!\n)")]
Positive = Annotated[float, msgspec.Meta(gt=0, le=MAX_AMOUNT)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=99)]


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A priority class; rank 0 has the highest priority."""

    name: Name
    rank: Rank
    timeout_s: PeriodS = defaults.SERVICE_TIMEOUT_S


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model or plain service that backend servers offer by name."""

    name: Name
    kind: Literal["model", "plain"]
    tiers: list[Name] = []
    first_token_target_s: PeriodS = defaults.FIRST_TOKEN_TARGET_S
    token_gap_target_s: PeriodS = defaults.TOKEN_GAP_TARGET_S
    max_body_bytes: Annotated[int, msgspec.Meta(gt=0, le=MAX_BYTES)] = (
        defaults.MAX_BODY_BYTES
    )
    replicas: Count = 0


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant with its keys (SHA-256, hex), its share and its default tier."""

    name: Name
    key_hashes: list[str]
    tier: Name
    highest_tier: Name | None = None
    share: Positive = 1.0
    retries_per_s: Positive = defaults.RETRY_BUDGET_PER_S


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declares whether matching requests of a service are idempotent.

    A rule matches by method (empty: any) and by path prefix. The first match
    applies.
    """

    service: Name
    idempotent: bool
    methods: list[str] = []
    path_prefix: str = "/"
    key_required: bool = True


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration that operators enter."""

    tiers: list[Tier]
    services: list[ServiceSpec]
    workspaces: list[Workspace]
    rules: list[Rule] = []

    def tier(self, name: str) -> Tier | None:
        """Return the tier of that name."""
        return next((tier for tier in self.tiers if tier.name == name), None)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service of that name."""
        return next((spec for spec in self.services if spec.name == name), None)


MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
TOO_LARGE = f"the document exceeds {MAX_DOCUMENT_BYTES} bytes"
EMPTY_DOCUMENT = Document(tiers=[], services=[], workspaces=[])


def hash_key(key: str) -> str:
    """Return the hash under which a workspace key or token is stored."""
    # A header may hold bytes that aren't UTF-8; they are kept as surrogates.
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def decode(data: bytes) -> Result[Document, list[ValidationIssue]]:
    """Return the document in JSON text, or every validation issue.

    The control members and the commands both use it, so that they agree.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return Error([ValidationIssue("$", TOO_LARGE)])
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Error([ValidationIssue("$", f"is not JSON: {exc}")])
    return parse(value)


def parse(value: object) -> Result[Document, list[ValidationIssue]]:
    """Return the document, or every validation issue with its JSON path."""
    match validate_value(value, Document):
        case Result(tag="ok", ok=document):
            issues = _check_references(document)
            return Error(issues) if issues else Ok(document)
        case Result(error=issues):
            return Error(issues)


def _check_references(document: Document) -> list[ValidationIssue]:
    issues = []
    for section in ("tiers", "services", "workspaces"):
        issues += _duplicate_names(
            section, [item.name for item in getattr(document, section)]
        )
    tiers = dict.fromkeys(tier.name for tier in document.tiers)
    services = dict.fromkeys(spec.name for spec in document.services)
    for i, spec in enumerate(document.services):
        for j, name in enumerate(spec.tiers):
            issues += _check_known(f"$.services[{i}].tiers[{j}]", name, tiers)
    for i, workspace in enumerate(document.workspaces):
        issues += _check_known(f"$.workspaces[{i}].tier", workspace.tier, tiers)
        if workspace.highest_tier is not None:
            path = f"$.workspaces[{i}].highest_tier"
            issues += _check_known(path, workspace.highest_tier, tiers)
    for i, rule in enumerate(document.rules):
        issues += _check_known(f"$.rules[{i}].service", rule.service, services)
    return issues + _duplicate_keys(document)


def _duplicate_names(section: str, names: list[str]) -> list[ValidationIssue]:
    seen: set[str] = set()
    issues = []
    for i, name in enumerate(names):
        if name in seen:
            issues.append(
                ValidationIssue(f"$.{section}[{i}].name", f'"{name}" is used twice')
            )
        seen.add(name)
    return issues


def _check_known(path: str, name: str, known: Collection[str]) -> list[ValidationIssue]:
    if name in known:
        return []
    text = f'"{name}" is not known; known are {", ".join(known) or "none"}'
    return [ValidationIssue(path, text + suggestion(name, list(known)))]


def _duplicate_keys(document: Document) -> list[ValidationIssue]:
    owners: dict[str, str] = {}
    issues = []
    for i, workspace in enumerate(document.workspaces):
        for j, key_hash in enumerate(workspace.key_hashes):
            owner = owners.setdefault(key_hash, workspace.name)
            if owner != workspace.name:
                path = f"$.workspaces[{i}].key_hashes[{j}]"
                issues.append(
                    ValidationIssue(path, f'is a key of workspace "{owner}" too')
                )
    return issues
