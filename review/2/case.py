"""Heartbeats of another writer, one of whose numbers is too large."""

import asyncio
import json
import time

from harness import case, client, http, site
from harness.deployment import Deployment
from harness.record import Record
from harness.replica import answer_plain

BEATS = 24
"""Heartbeats of the other writer, one each period."""
OWN_ENDS = 3
"""Ends of processes by themselves, on half of the core, with which a day counts 0."""


async def play(record: Record, disrupts: bool) -> list[str]:
    """Let another writer send heartbeats beside those of the replicas."""
    deployment = Deployment(record)
    for number, zone in enumerate(site.ZONES, 1):
        deployment.add_replica("api", f"i-{number}", zone, answer_plain)
    routes = [site.route("lookup", "/lookup/", "safe", "api", maxAttempts=2)]
    try:
        await deployment.start(site.configuration(1, routes, ["api"]))
        await asyncio.sleep(site.BOUNDS["contactMs"] / 1000)
        deployment.supervise()
        await _send_beats(deployment, record, disrupts)
        ended = [c for c in deployment.controls if len(c.own_ends) >= OWN_ENDS]
        if 2 * len(ended) < len(deployment.controls):
            return []
        ends = ", ".join(f"{c.node.name} {len(c.own_ends)} times" for c in ended)
        return [f"Fault: processes ended by themselves: {ends}"]
    finally:
        await deployment.stop()


async def _send_beats(deployment: Deployment, record: Record, disrupts: bool) -> None:
    """Send the heartbeats of a writer that numbers them by the time of day."""
    name = "x-other"
    for _ in range(BEATS):
        began = time.monotonic()
        for entry in deployment.entries:
            await client.send(entry, record, "GET", "/lookup/", 500)
        # YYYYMMDDhhmmss and six more digits: a whole number, over 64 bits.
        stamp = time.strftime("%Y%m%d%H%M%S", time.gmtime()) + "000000"
        body = {
            "service": "api",
            "address": f"{deployment.net}.3.99:8080",
            "zone": site.ZONES[0],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": int(stamp) if disrupts else int(time.time() * 1000),
            "born": 1_790_000_000_000,
        }
        for ip in deployment.control_ips:
            data = http.encode(
                f"PUT /v1/replicas/{name} HTTP/1.1",
                f"Host: {ip}:{site.CONTROL_PORT}",
                "Content-Type: application/json",
                "Connection: close",
                body=json.dumps(body).encode(),
            )
            answer = await http.call(ip, site.CONTROL_PORT, data, 1.0)
            status = None if answer is None else answer.status
            record.write("writer", f"sequence {body['sequence']} to {ip}: {status}")
            if answer is not None and answer.status < 500:
                break
        left = site.HEARTBEAT_MS / 1000 - (time.monotonic() - began)
        await asyncio.sleep(max(left, 0))


case.main(play, __file__)
