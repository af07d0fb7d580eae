"""The deployment of the cases: three zones, one service, a safe and an unsafe route."""

import asyncio

from standins2.fleet import CannotRunError, Fleet

HOST = "shop.example"
SERVICE = "app"
ZONES = ("zone-a", "zone-b", "zone-c")
SETTLE_S = 4.0
"""The machines are in touch by then: `contactMs` after the last start, and some."""


def config(version: int = 1, *, timeout_ms: int = 3000) -> dict:
    """Return a configuration."""
    route = {
        "host": HOST,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 0,
        "service": SERVICE,
        "public": True,
        "sticky": False,
        "streamResume": False,
    }
    return {
        "version": version,
        "routes": [
            {
                "name": "r-unsafe",
                "pathPrefix": "/unsafe/",
                "kind": "unsafe",
                "maxAttempts": 1,
                **route,
            },
            {
                "name": "r-safe",
                "pathPrefix": "/safe/",
                "kind": "safe",
                "maxAttempts": 2,
                **route,
            },
            {
                **route,
                "sticky": True,
                "name": "r-stream",
                "pathPrefix": "/stream/",
                "kind": "stream",
                "timeoutMs": 10000,
                "maxAttempts": 2,
                "streamResume": True,
                "targetGapMs": 300,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 96,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [],
    }


async def start_small(
    fleet: Fleet, *, replicas_per_zone: int = 1, slots: int = 6, timeout_ms: int = 3000
) -> None:
    """Start three control programs, three entries and their replicas."""
    for zone in ZONES:
        fleet.add_program("control", zone)
    for zone in ZONES:
        fleet.add_program("entry", zone)
    await fleet.start()
    for zone in ZONES:
        for _ in range(replicas_per_zone):
            name = f"i-{len(fleet.replicas)}"
            await fleet.add_replica(name, SERVICE, zone, slots)
    if not await fleet.put_config(config(timeout_ms=timeout_ms)):
        raise CannotRunError("the first configuration was not acknowledged")
    await fleet.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
