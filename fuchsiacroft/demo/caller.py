"""A caller that retries refused requests after the Retry-After time, at most 1 s."""

import asyncio
from dataclasses import dataclass

import aiohttp

from fuchsiacroft.utils.clock import now

MAX_ATTEMPTS = 20
DEFAULT_RETRY_S = 0.2
MAX_RETRY_S = 1.0
RETRY_STATUSES = (409, 429, 503)
STREAM_END = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request, with the total time and number of attempts."""

    status: int
    body: bytes
    seconds: float
    attempts: int

    @property
    def is_complete(self) -> bool:
        """Return whether this is a complete, successful answer."""
        return self.status == 200 and (
            not self.body.startswith(b"data:") or self.body.endswith(STREAM_END)
        )


class Caller:
    """Sends requests to the entries in turn."""

    def __init__(self, session: aiohttp.ClientSession, entries: list[str]) -> None:
        self._session = session
        self._entries = entries
        self._next_entry = 0

    async def complete(self, key: str, tier: str, tokens: int) -> Answer:
        """Stream a completion of `tokens` tokens."""
        body = {
            "model": "lens-assistant",
            "prompt": f"{tier} {self._next_entry}: "
            "is this scratch on the front element?",
            "max_tokens": tokens,
            "stream": True,
        }
        headers = {"Fuchsiacroft-Tier": tier}
        return await self._send("/v1/completions", key, headers, {"json": body})

    async def confirm_booking(self, key: str, booking: str) -> Answer:
        """Confirm a booking, with its name as the idempotency key."""
        headers = {"Idempotency-Key": booking}
        data = {"data": booking.encode()}
        path = "/services/bookings/confirmations"
        return await self._send(path, key, headers, data)

    async def _send(self, path: str, key: str, headers: dict, body: dict) -> Answer:
        headers = headers | {"Authorization": f"Bearer {key}"}
        started_at = now()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            answer, retry_s = await self._send_once(
                path, headers, body, started_at, attempt
            )
            if answer.status not in RETRY_STATUSES:
                break
            await asyncio.sleep(retry_s)
        return answer

    async def _send_once(
        self, path: str, headers: dict, body: dict, started_at: float, attempt: int
    ) -> tuple[Answer, float]:
        entry = self._entries[self._next_entry % len(self._entries)]
        self._next_entry += 1
        url = f"http://{entry}{path}"
        try:
            async with self._session.post(url, headers=headers, **body) as res:
                retry_s = float(res.headers.get("Retry-After", DEFAULT_RETRY_S))
                data = await res.read()
                answer = Answer(res.status, data, now() - started_at, attempt)
                return answer, min(retry_s, MAX_RETRY_S)
        except aiohttp.ClientError as exc:
            failed = Answer(0, repr(exc).encode(), now() - started_at, attempt)
            return failed, DEFAULT_RETRY_S
