"""Clients that send one request and read its answer."""

import itertools
from dataclasses import dataclass

from harness import http, site
from harness.deployment import Process
from harness.http import Message
from harness.record import Record

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Exchange:
    """A request, when it was sent, and its answer, None without one."""

    attempt: str
    sent_at: float
    answer: Message | None


async def send(
    entry: Process,
    record: Record,
    method: str,
    prefix: str,
    deadline_ms: int,
    *lines: str,
    body: bytes | None = None,
) -> Exchange:
    """Send a request to an entry on a new connection."""
    attempt = f"{next(_numbers):016x}"
    data = http.encode(
        f"{method} {prefix}{attempt} HTTP/1.1",
        f"Host: {site.HOST}",
        f"X-Api-Key: {site.API_KEY}",
        f"Fuchsiacroft-Attempt-Id: {attempt}",
        f"Fuchsiacroft-Deadline-Ms: {deadline_ms}",
        *lines,
        body=body,
    )
    sent_at = record.now()
    record.write(attempt, f"{method} {prefix} sent to {entry.node.name}")
    timeout_s = deadline_ms / 1000 + 0.5
    answer = await http.call(entry.node.ip, site.DATA_PORT, data, timeout_s)
    text = "no answer"
    if answer is not None:
        seal = answer.get("Fuchsiacroft-Replica-Seal")
        text = f"{answer.status}, seal {seal}, {answer.body[:60]}"
    record.write(attempt, text)
    return Exchange(attempt, sent_at, answer)
