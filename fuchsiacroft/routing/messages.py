"""Messages between the entry that holds a request and an owner of permits."""

import msgspec

from fuchsiacroft.routing.ask import Ask, Refusal, RunReport
from fuchsiacroft.transport import codec


@codec.message("routing.ask_permit")
class AskPermit(msgspec.Struct, frozen=True):
    """Ask an owner for a permit; it answers when it has one or gives up."""

    ask: Ask


@codec.message("routing.permit_given")
class PermitGiven(msgspec.Struct, frozen=True):
    """A permit of the answering owner."""

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


@codec.message("routing.withdraw_ask")
class WithdrawAsk(msgspec.Struct, frozen=True):
    """The request no longer waits; a permit given meanwhile is given back."""

    request_id: str


@codec.message("routing.cut_run")
class CutRun(msgspec.Struct, frozen=True):
    """End a run to make room; its caller may retry after some seconds."""

    permit_id: str
    retry_after_s: float
