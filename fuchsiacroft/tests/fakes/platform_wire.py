"""Settings, heartbeats and HTTP/1.1 messages of the platform's interface."""

import asyncio
from pathlib import Path

import msgspec

HOST = "shop.example"
DATA_PORT, READY_PORT, CONTROL_PORT, PEERS_PORT = 8221, 8224, 8229, 7600
FREE_PORTS = 15
"""Number of ports after `PEERS_PORT` that the processes of a machine may use."""


def settings(
    ip: str, seeds: list[str], *, zone: str, data_dir: Path | None, **more: object
) -> dict:
    """Return the settings of an entry, or of a control member if `data_dir` is set."""
    bind = {"controlPlane": f"{ip}:{CONTROL_PORT}"}
    if data_dir is None:
        bind = {
            "dataPlane": f"{ip}:{DATA_PORT}",
            "readiness": f"{ip}:{READY_PORT}",
        }
    return {
        "nodeName": f"node-{ip}",
        "ip": ip,
        "zone": zone,
        "region": "mvd",
        "bind": bind,
        "portRange": [PEERS_PORT, PEERS_PORT + FREE_PORTS],
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "dataDir": str(data_dir) if data_dir is not None else None,
        **more,
    }


def heartbeat(
    service: str,
    address: str,
    *,
    zone: str,
    version: str,
    slots: int,
    state: str,
    sequence: int,
    born: int | None,
) -> bytes:
    """Return the body of a backend server's heartbeat, with every required field.

    Without `born` it doesn't tell its start.
    """
    fields: dict[str, object] = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": sequence,
    }
    if born is not None:
        fields["born"] = born
    return msgspec.json.encode(fields)


def encode_request(
    method: str, target: str, attempt_id: str, *more: str, body: bytes | None = None
) -> bytes:
    """Return an encoded request; `more` are additional header lines."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Fuchsiacroft-Attempt-Id: {attempt_id}",
        *more,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + (body or b"")


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Read a response head; return the status and the headers by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for header_line in rest:
        name, _, value = header_line.partition(": ")
        headers[name.lower()] = value
    return int(status_line.split()[1]), headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; the last chunk is empty."""
    size = int(await reader.readuntil(b"\r\n"), 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data
