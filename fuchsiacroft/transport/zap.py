"""Authenticates public keys with the ZeroMQ Authentication Protocol (ZAP)."""

from collections import Counter

import zmq
import zmq.asyncio

from fuchsiacroft.transport.keys import KeyRing
from fuchsiacroft.utils.logs import event

ZAP_ADDRESS = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
ZAP_DOMAIN = b"fuchsiacroft"
ZAP_FRAMES_CURVE = 7


class ZapHandler:
    """Accepts or rejects each handshake of the listening socket."""

    def __init__(self, ctx: zmq.asyncio.Context, ring: KeyRing) -> None:
        self.counts: Counter[str] = Counter()
        self._ring = ring
        self._sock = ctx.socket(zmq.REP)
        self._sock.linger = 0
        self._sock.bind(ZAP_ADDRESS)

    async def run(self) -> None:
        """Handle authentication requests until cancelled."""
        while True:
            frames = await self._sock.recv_multipart()
            accepted = self._decide(frames)
            request_id = frames[1] if len(frames) > 1 else b""
            status = (b"200", b"OK") if accepted else (b"400", b"refused")
            await self._sock.send_multipart(
                [ZAP_VERSION, request_id, *status, b"", b""]
            )

    def close(self) -> None:
        """Close the socket."""
        self._sock.close(0)

    def _decide(self, frames: list[bytes]) -> bool:
        if len(frames) != ZAP_FRAMES_CURVE or frames[5] != b"CURVE":
            self.counts["refused_unauthenticated"] += 1
            return False
        if self._ring.accepts(frames[6]):
            self.counts["accepted"] += 1
            return True
        self.counts["refused_unknown_key"] += 1
        event("warning", "peer_refused", address=frames[3].decode(errors="replace"))
        return False
