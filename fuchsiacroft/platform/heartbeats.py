"""Parses heartbeats of replicas into records of backend servers.

A heartbeat that lacks a field of the platform's page comes from another writer.
It names no server to use, so no field has a default but `born`: on some deployments no
replica tells it, and where one does, all do.
"""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import MAX_SLOTS, Sequence, SoftwareVersion, UnixMs
from fuchsiacroft.config.settings import Address, Name
from fuchsiacroft.config.validation import decode_wire, first_issue
from fuchsiacroft.membership.announcement import Announcement, Offer
from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState

READY = "ready"
DRAINING = "draining"
_SERVER_STATES = {READY: ServerState.SERVING, DRAINING: ServerState.LEAVING}


NonEmptyVersion = Annotated[SoftwareVersion, msgspec.Meta(min_length=1)]


class WireHeartbeat(msgspec.Struct, rename="camel"):
    """A heartbeat; `born` is the start in Unix milliseconds, 0 if it is not named."""

    service: Name
    address: Address
    zone: Name
    version: NonEmptyVersion
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_remaining_ms: float
    sequence: Sequence
    born: UnixMs = 0


class WireLeave(msgspec.Struct):
    """The optional body of a replica's leave request."""

    born: UnixMs | None = None


def parse(replica_id: str, body: bytes) -> Result[ServerRecord, str]:
    """Return the record of a heartbeat, or the reason why it is invalid."""
    match decode_wire(body, WireHeartbeat):
        case Result(tag="ok", ok=wire):
            return _record(replica_id, wire)
        case Result(error=issue):
            return Error(str(issue))


def parse_leave(body: bytes) -> Result[int | None, str]:
    """Return the start time of the leaving replica, None if not given."""
    if not body:
        return Ok(None)
    match decode_wire(body, WireLeave):
        case Result(tag="ok", ok=leave):
            return Ok(leave.born)
        case Result(error=issue):
            return Error(str(issue))


def _record(replica_id: str, wire: WireHeartbeat) -> Result[ServerRecord, str]:
    issue = first_issue(replica_id, Name, "the id")
    if issue is not None:
        return Error(str(issue))
    state = _SERVER_STATES.get(wire.state)
    if state is None:
        return Error(f'unknown state "{wire.state}"')
    announcement = Announcement(
        name=replica_id,
        boot_id=f"{replica_id}/{wire.born}",
        failure_domain=wire.zone,
        address=wire.address,
        offers=(Offer(wire.service, wire.version),),
        slots=wire.slots,
        leaving=state is not ServerState.SERVING,
    )
    return Ok(ServerRecord(announcement, wire.born, wire.sequence, state))
