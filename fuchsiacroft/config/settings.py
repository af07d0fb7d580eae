"""The settings of one process, read from a JSON file."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config import defaults
from fuchsiacroft.config.faults import Fault, check

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,100}$")]


class Addresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a process listens, each `IP:PORT`; an empty one is not opened."""

    operators: Address
    peers: Address | None = None
    callers: Address | None = None
    backend_servers: Address | None = None
    console: Address | None = None


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another process of the system, by its node name and addresses."""

    node: Name
    failure_domain: Name
    peers: Address
    operators: Address | None = None


class Keys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """CURVE keys between processes, Z85 text; `accepted` are public keys."""

    public: str
    secret: str
    accepted: list[str] = []


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Files of the certificate chain and private key, in PEM."""

    certificate: str
    key: str


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which implementation takes each decision."""

    route: Literal[
        "round_robin", "least_connections", "power_of_two", "expected_finish"
    ] = "expected_finish"
    order: Literal["arrival", "tier_slack"] = "tier_slack"
    limit: Literal["fixed", "learned"] = "learned"
    reserve: Literal["none", "measured"] = "measured"
    shed: Literal["reject_newest", "lowest_tier"] = "lowest_tier"
    borrow: Literal["own_desk", "late_binding"] = "late_binding"
    straggler: Literal["ignore", "set_aside"] = "set_aside"
    queue_limit: Annotated[int, msgspec.Meta(gt=0)] = defaults.QUEUE_LIMIT_REQUESTS


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process."""

    node: Name
    failure_domain: Name
    region: Name
    addresses: Addresses
    control: list[Member] = []
    entries: list[Member] = []
    data_folder: str | None = None
    keys: Keys | None = None
    tls: Tls | None = None
    operator_token_hashes: list[str] = []
    policies: Policies = Policies()
    log_level: str = defaults.LOG_LEVEL
    drain_timeout_s: float = defaults.DRAIN_TIMEOUT_S


def load(path: Path) -> Result[Settings, list[Fault]]:
    """Read settings from a file, or return every fault in them."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Error([Fault(str(path), f"cannot be read: {exc.strerror}")])
    match check(data, Settings):
        case Result(tag="ok", ok=settings):
            return Ok(settings)
        case Result(error=faults):
            return Error(faults)
