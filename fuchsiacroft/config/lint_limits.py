"""Warnings for limits of a document that contradict each other."""

from collections.abc import Iterator

import msgspec

from fuchsiacroft.config.delta import MAX_DELTA_BYTES
from fuchsiacroft.config.document import Document, ServiceSpec, Tier
from fuchsiacroft.config.validation import ValidationIssue


def duplicate_ranks(document: Document) -> Iterator[ValidationIssue]:
    """Warn of two tiers between which the system can't choose."""
    first: dict[int, str] = {}
    for i, tier in enumerate(document.tiers):
        other = first.setdefault(tier.rank, tier.name)
        if other != tier.name:
            yield ValidationIssue(
                f"$.tiers[{i}].rank", f'tier "{other}" has rank {tier.rank}'
            )


def timeouts_under_targets(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a tier's timeout that ends responses that are within their target."""
    for i, tier in enumerate(document.tiers):
        for spec in document.services:
            if spec.kind != "model" or (spec.tiers and tier.name not in spec.tiers):
                continue
            text = _target_over_timeout(tier, spec)
            if text:
                yield ValidationIssue(f"$.tiers[{i}].timeout_s", text)


def default_tiers_above_highest(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a default tier that the workspace's own highest tier refuses."""
    ranks = {tier.name: tier.rank for tier in document.tiers}
    for i, workspace in enumerate(document.workspaces):
        highest = workspace.highest_tier
        if highest is not None and ranks[workspace.tier] < ranks[highest]:
            text = (
                f'"{workspace.tier}" is above highest_tier "{highest}", so requests '
                "that name no tier are refused"
            )
            yield ValidationIssue(f"$.workspaces[{i}].tier", text)


def replicas_of_plain_services(document: Document) -> Iterator[ValidationIssue]:
    """Warn of replicas that nothing places: only models are placed on engines."""
    for i, spec in enumerate(document.services):
        if spec.kind == "plain" and spec.replicas:
            text = "has no effect: only model services are placed on engines"
            yield ValidationIssue(f"$.services[{i}].replicas", text)


def keys_of_idempotent_rules(document: Document) -> Iterator[ValidationIssue]:
    """Warn of `key_required` being off where no key is ever required."""
    for i, rule in enumerate(document.rules):
        if rule.idempotent and not rule.key_required:
            text = "has no effect: idempotent requests need no key"
            yield ValidationIssue(f"$.rules[{i}].key_required", text)


def documents_over_messages(document: Document) -> Iterator[ValidationIssue]:
    """Warn of a document that no message can carry as a whole."""
    size = len(msgspec.msgpack.encode(document))
    if size > MAX_DELTA_BYTES:
        text = (
            f"takes {size} bytes, more than {MAX_DELTA_BYTES}, so entries that start "
            "can't receive it"
        )
        yield ValidationIssue("$", text)


RULES = (
    duplicate_ranks,
    timeouts_under_targets,
    default_tiers_above_highest,
    replicas_of_plain_services,
    keys_of_idempotent_rules,
    documents_over_messages,
)


def _target_over_timeout(tier: Tier, spec: ServiceSpec) -> str | None:
    for name in ("first_token_target_s", "token_gap_target_s"):
        target_s = getattr(spec, name)
        if tier.timeout_s < target_s:
            return f'is shorter than {name} {target_s:g} of service "{spec.name}"'
    return None
