"""Splits a server-sent event stream into complete events."""

EVENT_END = b"\n\n"
LINE_END = b"\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024
"""Longer events are rejected; nothing else bounds the memory that buffers them."""


class EventSplitter:
    """Returns complete events and buffers a partial one.

    `last_id` is the id of the last complete event; `count` is the number of
    complete events. Blank lines before an event are part of it.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: str | None = None
        self.count = 0

    @property
    def is_too_long(self) -> bool:
        """Whether the partial event exceeds the size limit."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete."""
        data = self._partial + data if self._partial else data
        end = data.rfind(EVENT_END)
        if end < 0 or not data[:end].strip(LINE_END):
            self._partial = data
            return b""
        complete, self._partial = data[: end + 2], data[end + 2 :]
        self.count += complete.count(EVENT_END)
        self._record_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discard the partial event."""
        self._partial = b""

    def _record_id(self, complete: bytes) -> None:
        start = complete.rfind(b"\n" + ID_FIELD)
        if start < 0:
            if not complete.startswith(ID_FIELD):
                return
            start = -1
        line = complete[start + 1 :].split(b"\n", 1)[0]
        self.last_id = line[len(ID_FIELD) :].strip().decode("utf-8", "replace")
