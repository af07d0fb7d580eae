"""Bounded counters by request id that evict the oldest ids."""

from collections import OrderedDict

from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.utils.logs import event

TRACE_ID_HEADER = "Trace-Id"

MAX_IDS = 200_000


class BoundedCounter:
    """Counts by id; keeps the newest `max_ids` ids."""

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        self._counts: OrderedDict[str, int] = OrderedDict()

    def add(self, key: str) -> int:
        """Increment the count of an id and return it."""
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        if len(self._counts) > self._max_ids:
            self._counts.popitem(last=False)
        return count

    def as_dict(self) -> dict[str, int]:
        """Return all counts."""
        return dict(self._counts)


def record_run(req: web.Request, started: BoundedCounter) -> str:
    """Count a run and log it immediately; return its request id.

    The log line survives the process, so runs can be counted after a crash.
    """
    request_id = req.headers.get(REQUEST_ID_HEADER, "")
    trace_id = req.headers.get(TRACE_ID_HEADER, "")
    started.add(request_id)
    event("info", "run_started", request_id=request_id, trace_id=trace_id)
    return request_id
