"""Generates traces of arrivals that resemble the two deployments.

A trace is a list of open-loop arrivals: the behaviour of the system does not change
the time of the next one. It can be stored as JSON lines.
"""

import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from fuchsiacroft.routing.prefixes import TOKENS_PER_BLOCK

BURST_PERIOD_S = 15.0
BURST_S = 4.0
BURST_FACTOR = 2.5
MEAN_RATE_FACTOR = 1.0 + (BURST_FACTOR - 1.0) * BURST_S / BURST_PERIOD_S


class Arrival(msgspec.Struct, frozen=True):
    """One request of a trace; `at_s` is relative to the start of the trace.

    `resend_of` names an earlier arrival that is retried with the same key.
    """

    at_s: float
    request_id: str
    kind: str
    service: str
    rank: int
    workspace: str
    share: float
    timeout_s: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    plain_s: float = 0.0
    idempotent: bool = True
    prefixes: tuple[int, ...] = ()
    crashes: bool = False
    resend_of: str = ""

    @property
    def is_model(self) -> bool:
        """Return whether the request is for a model service."""
        return self.output_tokens > 0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request; values are drawn log-uniformly from the ranges.

    `weight` is its share of the arrivals of the model services; the arrivals of
    plain kinds are added to these.
    """

    name: str
    service: str
    rank: int
    weight: float
    timeout_s: float
    prompt: tuple[int, int] = (0, 0)
    output: tuple[int, int] = (0, 0)
    plain_s: tuple[float, float] = (0.0, 0.0)
    idempotent: bool = True
    shared_blocks: int = 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """A customer's failure domains, entries, workspaces and request kinds.

    `entries` counts the entries of each domain. A workspace has a name, a part of the
    arrivals and a share of the capacity.
    """

    name: str
    domains: tuple[str, ...]
    entries: tuple[int, ...]
    model_service: str
    plain_service: str
    workspaces: tuple[tuple[str, float, float], ...]
    kinds: tuple[RequestKind, ...]


LENTES = Deployment(
    name="lentes-del-plata",
    domains=("mvd-cordon", "mvd-pocitos", "mvd-carrasco"),
    entries=(3, 2, 2),
    model_service="lens-assistant",
    plain_service="counter",
    workspaces=(
        ("montevideo", 0.4, 2.0),
        ("punta-del-este", 0.3, 2.0),
        ("paysandu", 0.1, 1.0),
        ("colonia", 0.1, 1.0),
        ("salto", 0.1, 1.0),
    ),
    kinds=(
        RequestKind(
            "deposit-release", "lens-assistant", 0, 0.25, 4.0, (200, 600), (10, 40)
        ),
        RequestKind(
            "kit-advice",
            "lens-assistant",
            0,
            0.2,
            8.0,
            (700, 1_200),
            (30, 120),
            shared_blocks=2,
        ),
        RequestKind(
            "damage-assessment",
            "lens-assistant",
            1,
            0.3,
            20.0,
            (1_500, 4_000),
            (100, 400),
            shared_blocks=4,
        ),
        RequestKind(
            "catalogue-text",
            "lens-assistant",
            2,
            0.25,
            30.0,
            (1_000, 3_000),
            (200, 600),
            shared_blocks=2,
        ),
        RequestKind("availability", "counter", 0, 0.6, 2.0, plain_s=(0.01, 0.05)),
        RequestKind(
            "booking", "counter", 0, 0.2, 5.0, plain_s=(0.04, 0.1), idempotent=False
        ),
    ),
)

ALPENRASTER = Deployment(
    name="alpenraster",
    domains=("hall-lausanne", "hall-geneve", "hall-fribourg"),
    entries=(2, 2, 2),
    model_service="model-desk",
    plain_service="gateway",
    workspaces=(
        ("canton-vaud", 0.4, 2.0),
        ("canton-valais", 0.3, 2.0),
        ("avalanche-service", 0.1, 1.0),
        ("hydrology", 0.1, 1.0),
        ("survey-office", 0.1, 1.0),
    ),
    kinds=(
        RequestKind(
            "tile-question",
            "model-desk",
            0,
            0.35,
            6.0,
            (300, 700),
            (20, 80),
            shared_blocks=1,
        ),
        RequestKind(
            "order-tag",
            "model-desk",
            1,
            0.35,
            15.0,
            (300, 800),
            (8, 16),
            idempotent=False,
        ),
        RequestKind(
            "short-summary", "model-desk", 2, 0.2, 40.0, (1_000, 2_500), (100, 250)
        ),
        RequestKind(
            "survey-summary",
            "model-desk",
            2,
            0.1,
            90.0,
            (4_000, 16_000),
            (500, 1_200),
            shared_blocks=6,
        ),
        RequestKind("tile-link-check", "gateway", 0, 0.6, 2.0, plain_s=(0.01, 0.04)),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (LENTES, ALPENRASTER)}


def generate(
    deployment: Deployment, per_s: float, length_s: float, seed: int
) -> list[Arrival]:
    """Return arrivals; those of model kinds have a mean rate of `per_s`."""
    rng = random.Random(f"{deployment.name} {seed}")
    arrivals = []
    for kind in deployment.kinds:
        rate = per_s * kind.weight / MEAN_RATE_FACTOR
        arrivals += _arrivals_of_kind(deployment, kind, rate, length_s, rng)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals


def resend(arrival: Arrival, after_s: float) -> Arrival:
    """Return a retry of an arrival, with the same key, some seconds later."""
    return msgspec.structs.replace(
        arrival,
        at_s=arrival.at_s + after_s,
        request_id=f"{arrival.request_id}-again",
        resend_of=arrival.request_id,
    )


def save(arrivals: list[Arrival], path: Path) -> None:
    """Write a trace as JSON lines."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(encoder.encode_lines(arrivals))


def load(path: Path) -> list[Arrival]:
    """Read a trace from JSON lines."""
    decoder = msgspec.json.Decoder(Arrival)
    return decoder.decode_lines(path.read_bytes())


def mean_tokens(deployment: Deployment, seed: int = 0) -> tuple[float, float]:
    """Return the mean unshared prompt tokens and output tokens of model arrivals."""
    sample = [
        arrival
        for arrival in generate(deployment, 50.0, 200.0, seed)
        if arrival.is_model
    ]
    shared = sum(len(arrival.prefixes) for arrival in sample) * TOKENS_PER_BLOCK
    prompt = sum(arrival.prompt_tokens for arrival in sample) - shared
    output = sum(arrival.output_tokens for arrival in sample) / len(sample)
    return prompt / len(sample), output


def _arrivals_of_kind(
    deployment: Deployment,
    kind: RequestKind,
    per_s: float,
    length_s: float,
    rng: random.Random,
) -> list[Arrival]:
    arrivals = []
    at_s = 0.0
    bursting_workspace = rng.choice(deployment.workspaces[:2])[0]
    while True:
        at_s += rng.expovariate(per_s)
        if at_s >= length_s:
            return arrivals
        in_burst = at_s % BURST_PERIOD_S < BURST_S
        copies = 1 if not in_burst else _burst_copies(rng)
        for _ in range(copies):
            workspace = _choose_workspace(
                deployment, rng, bursting_workspace if copies > 1 else None
            )
            arrivals.append(_new_arrival(kind, at_s, workspace, rng))


def _burst_copies(rng: random.Random) -> int:
    return int(BURST_FACTOR) + (rng.random() < BURST_FACTOR % 1)


def _choose_workspace(
    deployment: Deployment, rng: random.Random, bursting_workspace: str | None
) -> tuple[str, float]:
    weights = [part for _, part, _ in deployment.workspaces]
    name, _, share = rng.choices(deployment.workspaces, weights)[0]
    if bursting_workspace is None:
        return name, share
    for name, _, share in deployment.workspaces:
        if name == bursting_workspace:
            return name, share
    return name, share


def _new_arrival(
    kind: RequestKind, at_s: float, workspace: tuple[str, float], rng: random.Random
) -> Arrival:
    shared = _shared_prefixes(kind, workspace[0], rng)
    return Arrival(
        at_s=at_s,
        request_id=f"{rng.getrandbits(64):016x}",
        kind=kind.name,
        service=kind.service,
        rank=kind.rank,
        workspace=workspace[0],
        share=workspace[1],
        timeout_s=kind.timeout_s,
        prompt_tokens=int(_log_uniform(kind.prompt, rng)),
        output_tokens=int(_log_uniform(kind.output, rng)),
        plain_s=_log_uniform(kind.plain_s, rng),
        idempotent=kind.idempotent,
        prefixes=shared,
    )


def _shared_prefixes(
    kind: RequestKind, workspace: str, rng: random.Random
) -> tuple[int, ...]:
    topic = min(int(rng.paretovariate(1.0)), 20)
    seed = random.Random(f"{kind.name} {workspace} {topic}")
    return tuple(seed.getrandbits(60) for _ in range(kind.shared_blocks))


def _log_uniform(bounds: tuple[float, float], rng: random.Random) -> float:
    low, high = bounds
    return low * (high / low) ** rng.random() if low else 0.0
