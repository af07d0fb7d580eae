"""Parses heartbeats of replicas into records of backend servers.

A heartbeat that lacks a field of the platform's page comes from another writer.
It names no server to use, so no field has a default.
"""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState

READY = "ready"
DRAINING = "draining"
_SERVER_STATES = {READY: ServerState.SERVING, DRAINING: ServerState.LEAVING}


NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]


class WireHeartbeat(msgspec.Struct, rename="camel"):
    """A heartbeat; `born` is the start time of the replica in Unix milliseconds."""

    service: str
    address: str
    zone: str
    version: NonEmpty
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: float
    sequence: int
    born: int


class WireLeave(msgspec.Struct):
    """The optional body of a replica's leave request."""

    born: int | None = None


def parse(replica_id: str, body: bytes) -> Result[ServerRecord, str]:
    """Return the record of a heartbeat, or the reason why it is invalid."""
    try:
        wire = msgspec.json.decode(body, type=WireHeartbeat)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Error(f"cannot be read: {exc}")
    state = _SERVER_STATES.get(wire.state)
    if state is None:
        return Error(f'unknown state "{wire.state}"')
    fields = {
        "name": replica_id,
        "boot_id": f"{replica_id}/{wire.born}",
        "failure_domain": wire.zone,
        "address": wire.address,
        "offers": ({"service": wire.service, "version": wire.version},),
        "slots": wire.slots,
        "leaving": state is not ServerState.SERVING,
    }
    try:
        announcement = msgspec.convert(fields, Announcement)
    except msgspec.ValidationError as exc:
        return Error(f"invalid heartbeat: {exc}")
    return Ok(ServerRecord(announcement, wire.born, wire.sequence, state))


def parse_leave(body: bytes) -> Result[int | None, str]:
    """Return the start time of the leaving replica, None if not given."""
    if not body:
        return Ok(None)
    try:
        return Ok(msgspec.json.decode(body, type=WireLeave).born)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Error(f"cannot be read: {exc}")
