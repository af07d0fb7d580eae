"""Counts by request id that forget the oldest ids."""

from collections import OrderedDict

from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.utils.logs import event

TRACE_ID_HEADER = "Trace-Id"

MAX_IDS = 200_000


class BoundedCounter:
    """Counts for the newest `MAX_IDS` ids."""

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        self._counts: OrderedDict[str, int] = OrderedDict()

    def add(self, key: str) -> int:
        """Count one more for an id and return its count."""
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        if len(self._counts) > self._max_ids:
            self._counts.popitem(last=False)
        return count

    def as_dict(self) -> dict[str, int]:
        """Return every count that is kept."""
        return dict(self._counts)


def note_run(req: web.Request, started: BoundedCounter) -> str:
    """Count a run and write it down at once; return its request id.

    The line outlives the process, so runs can be counted after a crash.
    """
    request_id = req.headers.get(REQUEST_ID_HEADER, "")
    trace_id = req.headers.get(TRACE_ID_HEADER, "")
    started.add(request_id)
    event("info", "run_started", request_id=request_id, trace_id=trace_id)
    return request_id
