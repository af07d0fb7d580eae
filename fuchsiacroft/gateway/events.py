"""Splits a stream of events, so that none is passed on in part."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024
"""An event that is longer is none; what would be held for it has no other bound."""


class EventSplitter:
    """Holds back the event that is not complete yet.

    `last_id` is the id of the last complete event, and `count` how many came.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: str | None = None
        self.count = 0

    @property
    def is_endless(self) -> bool:
        """Tell whether an event has grown past what any is."""
        return len(self._rest) > MAX_EVENT_BYTES

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the complete events among those not returned."""
        data = self._rest + data if self._rest else data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + 2], data[end + 2 :]
        self.count += whole.count(EVENT_END)
        self._note_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget an event that will not be completed."""
        self._rest = b""

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + ID_FIELD)
        if start < 0:
            if not whole.startswith(ID_FIELD):
                return
            start = -1
        line = whole[start + 1 :].split(b"\n", 1)[0]
        self.last_id = line[len(ID_FIELD) :].strip().decode("utf-8", "replace")
