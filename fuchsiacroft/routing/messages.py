"""Messages between the entry that holds a request and owners of permits.

An ask may wait at several owners. Each try at an owner has its own `ask_id`.
"""

import msgspec

from fuchsiacroft.routing.permits import PermitRequest, Refusal, RunReport
from fuchsiacroft.transport import codec


@codec.message("routing.ask_permit")
class AcquirePermit(msgspec.Struct, frozen=True):
    """Ask an owner for a permit; it answers when it has one or gives up.

    `position` is 0 at the owner asked first, and counts the others; a last try
    is granted at once, or has a run of a lower tier cut, or is refused.
    """

    ask_id: str
    ask: PermitRequest
    position: int = 0


@codec.message("routing.permit_given")
class PermitGranted(msgspec.Struct, frozen=True):
    """A permit of the answering owner, to be renewed within its lease."""

    permit_id: str
    backend_server: str
    boot_id: str
    address: str


@codec.message("routing.permit_refused")
class PermitRefused(msgspec.Struct, frozen=True):
    """The owner gives up on the ask."""

    refusal: Refusal


@codec.message("routing.release_permit")
class ReleasePermit(msgspec.Struct, frozen=True):
    """Give a permit back with what was seen of its run."""

    permit_id: str
    report: RunReport


@codec.message("routing.first_token")
class FirstToken(msgspec.Struct, frozen=True):
    """The run of a permit has sent its first token: its prefill is over."""

    permit_id: str


@codec.message("routing.renew_permits")
class RenewPermits(msgspec.Struct, frozen=True):
    """The sender still holds these permits of the receiver."""

    permit_ids: tuple[str, ...]


@codec.message("routing.withdraw_ask")
class WithdrawRequest(msgspec.Struct, frozen=True):
    """The ask no longer waits; a permit given meanwhile is given back.

    `served` says that another owner gave the permit.
    """

    ask_id: str
    served: bool = False


@codec.message("routing.cut_run")
class PreemptRun(msgspec.Struct, frozen=True):
    """End a run to make room; its caller may retry after some seconds."""

    permit_id: str
    retry_after_s: float


class ServiceLoad(msgspec.Struct, frozen=True):
    """The state of one service on the backend servers that one entry owns.

    `room` counts free places; `slow` of the `servers` are set aside.
    """

    service: str
    room: int
    waiting: int
    servers: int
    slow: int


class MeasuredSpeed(msgspec.Struct, frozen=True):
    """The speed of a service on a hardware generation as one entry measured."""

    service: str
    generation: str
    token_gap_s: float
    plain_run_s: float


@codec.message("routing.load_digest")
class LoadDigest(msgspec.Struct, frozen=True):
    """What an entry tells a few others, once a period."""

    failure_domain: str
    services: tuple[ServiceLoad, ...]
    speeds: tuple[MeasuredSpeed, ...] = ()


@codec.message("routing.suspected")
class Suspected(msgspec.Struct, frozen=True):
    """A backend server died; these fingerprints were running there."""

    death: str
    fingerprints: tuple[str, ...]


@codec.message("routing.cleared")
class Cleared(msgspec.Struct, frozen=True):
    """A suspected fingerprint completed on another backend server."""

    fingerprint: str


@codec.message("routing.quarantined")
class Quarantined(msgspec.Struct, frozen=True):
    """A fingerprint was put into quarantine, or lifted by an operator."""

    fingerprint: str
    lifted: bool = False
