"""Reads what replicas tell of themselves into records of backend servers."""

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState

READY = "ready"
DRAINING = "draining"
_LIVES = {READY: ServerState.SERVING, DRAINING: ServerState.LEAVING}


class WireHeartbeat(msgspec.Struct, rename="camel"):
    """A heartbeat; `born` is the Unix millisecond of the replica's start."""

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    slots: int = 0
    version: str = ""
    born: int = 0


class WireLeave(msgspec.Struct):
    """The body that a leaving replica may send."""

    born: int | None = None


def parse(replica_id: str, body: bytes) -> Result[ServerRecord, str]:
    """Return the record of a heartbeat, or why it names no replica to use."""
    try:
        wire = msgspec.json.decode(body, type=WireHeartbeat)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Error(f"cannot be read: {exc}")
    life = _LIVES.get(wire.state)
    if life is None:
        return Error(f'the state "{wire.state}" is not known')
    told = {
        "name": replica_id,
        "boot_id": f"{replica_id}/{wire.born}",
        "failure_domain": wire.zone,
        "address": wire.address,
        "offers": ({"service": wire.service, "version": wire.version},),
        "slots": wire.slots,
        "leaving": life is not ServerState.SERVING,
    }
    try:
        announcement = msgspec.convert(told, Announcement)
    except msgspec.ValidationError as exc:
        return Error(f"does not hold: {exc}")
    return Ok(ServerRecord(announcement, wire.born, wire.sequence, life))


def parse_leave(body: bytes) -> Result[int | None, str]:
    """Return the start of the replica that leaves, None if it isn't told."""
    if not body:
        return Ok(None)
    try:
        return Ok(msgspec.json.decode(body, type=WireLeave).born)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Error(f"cannot be read: {exc}")
