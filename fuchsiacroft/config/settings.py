"""The settings of one process, read from a JSON file."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
import zmq
from expression import Error, Ok, Result

from fuchsiacroft.config import defaults
from fuchsiacroft.config.bounds import (
    MAX_AMOUNT,
    MAX_BYTES,
    MAX_COUNT,
    DurationS,
    PeriodS,
)
from fuchsiacroft.config.validation import ValidationIssue, decode_json
from fuchsiacroft.utils.inbound_limits import (
    CALLERS_SHARE,
    LISTENER_SHARE,
    InboundLimits,
    own_connections,
)

OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
PORT = (
    "([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    "|655[0-2][0-9]|6553[0-5])"
)
# `$` alone also matches before a final line end.
Address = Annotated[
    str, msgspec.Meta(pattern=rf"^{OCTET}(\.{OCTET}){{3}}:{PORT}$(?!\n)")
]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,100}$(?!\n)")]


MemoryMb = Annotated[float, msgspec.Meta(ge=defaults.MIN_MEMORY_MB, le=MAX_COUNT)]


class Addresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The listen addresses of a process, each `IP:PORT`, or None to not listen."""

    operators: Address
    peers: Address | None = None
    callers: Address | None = None
    backend_servers: Address | None = None
    console: Address | None = None


MAX_SHARED_KEYS = 2
CurveKey = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}$")
]


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another process of the system, with its node name and addresses.

    `public_keys` are the CURVE keys it may use: one, or two during a rotation.
    """

    node: Name
    failure_domain: Name
    peers: Address
    operators: Address | None = None
    public_keys: Annotated[list[CurveKey], msgspec.Meta(max_length=2)] = []


class Keys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """CURVE keys between processes in Z85; `accepted` are public keys of peers.

    Peers without `public_keys` use one of the `accepted` keys, of which there
    may then be at most two.
    """

    public: CurveKey
    secret: CurveKey
    accepted: list[CurveKey] = []

    def __repr__(self) -> str:
        """Return a representation without the secret key."""
        return f"Keys(public={self.public!r}, accepted={len(self.accepted)})"


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """PEM files of the certificate chain and the private key.

    `ca` contains the certificates that clients trust; by default the system's.
    """

    certificate: str
    key: str
    ca: str | None = None


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The implementation of each scheduling policy.

    `slot_limit` is how many slots of a backend server are filled on the data plane
    with routes: with "reported", limits are learned for the servers that report how
    long work takes there, with "learned" for all.
    """

    route: Literal[
        "round_robin", "least_connections", "power_of_two", "expected_finish"
    ] = "expected_finish"
    order: Literal["arrival", "tier_slack"] = "tier_slack"
    limit: Literal["fixed", "learned"] = "learned"
    reserve: Literal["none", "measured"] = "measured"
    shed: Literal["reject_newest", "lowest_tier"] = "lowest_tier"
    borrow: Literal["own_desk", "late_binding"] = "late_binding"
    straggler: Literal["ignore", "set_aside"] = "set_aside"
    slot_limit: Literal["reported", "learned"] = "reported"
    share: Literal["none", "fair"] = "none"
    queue_limit: Annotated[int, msgspec.Meta(gt=0, le=MAX_COUNT)] = (
        defaults.QUEUE_LIMIT_REQUESTS
    )


Connections = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
HeadBytes = Annotated[int, msgspec.Meta(ge=4_096, le=MAX_BYTES)]


class Inbound(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What clients may send and hold, on each address that accepts HTTP.

    `max_connections` are for the callers' address and `max_listener_connections`
    for each other one; by default half and a tenth of the descriptors of the process
    beyond 200. The limit for each client address is the same unless
    `max_connections_per_address` is set. `max_head_bytes` limits what belongs to no
    body before a request, `max_framing_bytes` what surrounds a body. Requests that
    are sent ahead wait unread beyond `max_pipelined_requests` or `max_queued_bytes`;
    what has been received of them is limited for all connections of an address
    together by `max_held_bytes`. `max_read_bytes` ends the reads of a connection
    until others had their turn, and so does `max_turn_framing_bytes`, which counts
    the framing of bodies on all connections of an address. `head_timeout_s` is for all
    addresses but the callers'.
    """

    max_connections: Connections | None = None
    max_listener_connections: Connections | None = None
    max_connections_per_address: Connections | None = None
    max_head_bytes: HeadBytes = defaults.MAX_HEAD_BYTES
    max_framing_bytes: HeadBytes = defaults.MAX_FRAMING_BYTES
    max_read_bytes: HeadBytes = defaults.MAX_READ_BYTES
    max_turn_framing_bytes: HeadBytes = defaults.MAX_TURN_FRAMING_BYTES
    max_pipelined_requests: Annotated[int, msgspec.Meta(ge=1, le=32)] = (
        defaults.MAX_PIPELINED_REQUESTS
    )
    max_queued_bytes: HeadBytes = defaults.MAX_QUEUED_BYTES
    max_held_bytes: HeadBytes = defaults.MAX_HELD_BYTES
    head_timeout_s: PeriodS = defaults.HEAD_TIMEOUT_S

    def for_callers(self) -> InboundLimits:
        """Return the limits of the callers' address."""
        return self._limits(self.max_connections or own_connections(CALLERS_SHARE))

    def for_listeners(self) -> InboundLimits:
        """Return the limits of each other address."""
        own = self.max_listener_connections or own_connections(LISTENER_SHARE)
        return self._limits(own)

    def _limits(self, max_connections: int) -> InboundLimits:
        return InboundLimits(
            max_connections=max_connections,
            max_connections_per_address=self.max_connections_per_address,
            max_head_bytes=self.max_head_bytes,
            max_framing_bytes=self.max_framing_bytes,
            max_read_bytes=self.max_read_bytes,
            max_turn_framing_bytes=self.max_turn_framing_bytes,
            max_pipelined_requests=self.max_pipelined_requests,
            max_queued_bytes=self.max_queued_bytes,
            max_held_bytes=self.max_held_bytes,
            head_timeout_s=self.head_timeout_s,
        )


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process.

    `tunnels` maps the peers address of another process to the address to
    connect to instead, for a VM that is reached through a tunnel. A control
    member with an empty disk forms a new group only if `may_form_group` is
    true; otherwise it joins the existing group. With `wanted_voters` the
    settings need not list every control member: each member that contacts the
    group is admitted, `wanted_voters` of them vote, and the others are standbys
    that replace a lost voter. `memory_mb` is the memory of the VM in MiB, of which
    a part is for callers' bodies and responses; None if nothing is known.
    """

    node: Name
    failure_domain: Name
    region: Name
    addresses: Addresses
    control: list[Member] = []
    entries: list[Member] = []
    tunnels: dict[str, Address] = {}
    data_folder: str | None = None
    may_form_group: bool = True
    wanted_voters: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)] | None = None
    keys: Keys | None = None
    tls: Tls | None = None
    operator_token_hashes: list[str] = []
    policies: Policies = Policies()
    inbound: Inbound = Inbound()
    weight_loads_per_min: Annotated[float, msgspec.Meta(gt=0, le=MAX_AMOUNT)] = (
        defaults.WEIGHT_LOADS_PER_MIN
    )
    memory_mb: MemoryMb | None = None
    log_level: str = defaults.LOG_LEVEL
    drain_timeout_s: DurationS = defaults.DRAIN_TIMEOUT_S


def load(path: Path) -> Result[Settings, list[ValidationIssue]]:
    """Load settings from a file; the error lists every validation issue."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Error([ValidationIssue(str(path), f"cannot be read: {exc.strerror}")])
    match decode_json(data, Settings):
        case Result(tag="ok", ok=settings):
            issues = _check_keys(settings)
            return Error(issues) if issues else Ok(settings)
        case Result(error=issues):
            return Error(issues)


def _check_keys(settings: Settings) -> list[ValidationIssue]:
    keys = settings.keys
    if keys is None:
        return []
    issues = []
    if zmq.curve_public(keys.secret.encode()).decode() != keys.public:
        issues.append(
            ValidationIssue("$.keys.public", "does not belong to $.keys.secret")
        )
    for section in ("control", "entries"):
        for i, member in enumerate(getattr(settings, section)):
            if not member.public_keys and len(keys.accepted) > MAX_SHARED_KEYS:
                text = "is required if more than two keys are accepted"
                issues.append(ValidationIssue(f"$.{section}[{i}].public_keys", text))
    return issues
