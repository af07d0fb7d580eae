"""Messages between the entry that holds a request and the owners of permits.

A permit request may be queued at several owners. Each attempt at an owner has its
own `ask_id`.
"""

import msgspec

from fuchsiacroft.config.bounds import Seconds, SignedCount
from fuchsiacroft.routing.permits import PermitRequest, Refusal, RunReport
from fuchsiacroft.transport import codec


@codec.message("routing.ask_permit")
class AcquirePermit(msgspec.Struct, frozen=True):
    """Requests a permit; the owner replies when it grants or refuses one.

    `position` is 0 at the owner tried first, and counts the others. A last attempt
    is granted at once, or preempts a run of a lower tier, or is refused.
    """

    ask_id: str
    ask: PermitRequest
    position: SignedCount = 0


@codec.message("routing.permit_given")
class PermitGranted(msgspec.Struct, frozen=True):
    """A permit of the replying owner, to be renewed before its lease expires."""

    permit_id: str
    backend_server: str
    boot_id: str
    address: str
    is_limited: bool = False


@codec.message("routing.permit_refused")
class PermitRefused(msgspec.Struct, frozen=True):
    """The owner refuses the permit request."""

    refusal: Refusal


@codec.message("routing.release_permit")
class ReleasePermit(msgspec.Struct, frozen=True):
    """Returns a permit with the report of its run."""

    permit_id: str
    report: RunReport


@codec.message("routing.first_token")
class FirstToken(msgspec.Struct, frozen=True):
    """A run has produced its first token, so its prefill is over."""

    permit_id: str


@codec.message("routing.renew_permits")
class RenewPermits(msgspec.Struct, frozen=True):
    """Renews the leases of permits that the sender holds."""

    permit_ids: tuple[str, ...]


@codec.message("routing.withdraw_ask")
class WithdrawRequest(msgspec.Struct, frozen=True):
    """Withdraws a permit request; a permit granted meanwhile is returned.

    `served` is true if another owner granted the permit.
    """

    ask_id: str
    served: bool = False


@codec.message("routing.cut_run")
class PreemptRun(msgspec.Struct, frozen=True):
    """Ends a run to free capacity; its caller may retry after the given delay."""

    permit_id: str
    retry_after_s: Seconds


class ServiceLoad(msgspec.Struct, frozen=True):
    """The state of one service on the backend servers that one entry owns.

    `room` is the free capacity; `slow` of the `servers` are ejected.
    """

    service: str
    room: SignedCount
    waiting: SignedCount
    servers: SignedCount
    slow: SignedCount


class MeasuredSpeed(msgspec.Struct, frozen=True):
    """The speed of a service on a hardware generation as one entry measured."""

    service: str
    generation: str
    token_gap_s: Seconds
    plain_run_s: Seconds


@codec.message("routing.load_digest")
class LoadDigest(msgspec.Struct, frozen=True):
    """The load of an entry, sent to a few others periodically."""

    failure_domain: str
    services: tuple[ServiceLoad, ...]
    speeds: tuple[MeasuredSpeed, ...] = ()
