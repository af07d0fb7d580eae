"""Splits a server-sent event stream into complete events."""

import re

EVENT_END = b"\n\n"
LINE_END = b"\n"
MAX_EVENT_BYTES = 1024 * 1024
"""Longer events are rejected; nothing else bounds the memory that buffers them."""
MAX_ID_DIGITS = 40
"""Longer ids are no numbers; Python refuses to convert very long ones."""
_ID = re.compile(rb"^id:([^\n]*)", re.MULTILINE)


class EventOrderError(Exception):
    """The id of an event is not higher than the id of the event before."""


class EventSplitter:
    """Returns complete events and buffers a partial one.

    `last_id` is the id of the last complete event; `count` is the number of
    complete events. Blank lines before an event are part of it. `is_event_due` is true
    after a part of an event was discarded, as the stream then has another event.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._highest = -1
        self.last_id: str | None = None
        self.count = 0
        self.is_event_due = False

    @property
    def is_too_long(self) -> bool:
        """Whether the partial event exceeds the size limit."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

    def expect_after(self, event_id: str | None) -> None:
        """Expect only events with ids that are higher than this one."""
        self._highest = max(self._highest, _number(event_id or ""))

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete.

        Raise `EventOrderError` if their ids, where these are numbers, don't increase.
        """
        data = self._partial + data if self._partial else data
        end = data.rfind(EVENT_END)
        if end < 0 or not data[:end].strip(LINE_END):
            self._partial = data
            return b""
        complete, self._partial = data[: end + 2], data[end + 2 :]
        self._record_ids(complete)
        self.count += complete.count(EVENT_END)
        self.is_event_due = False
        return complete

    def discard_partial(self) -> None:
        """Discard the partial event."""
        if self._partial.strip(LINE_END):
            self.is_event_due = True
        self._partial = b""

    def _record_ids(self, complete: bytes) -> None:
        ids = [
            value.strip().decode("utf-8", "replace") for value in _ID.findall(complete)
        ]
        highest = self._highest
        for event_id in ids:
            number = _number(event_id)
            if 0 <= number <= highest:
                raise EventOrderError(f"event {event_id} comes after {highest}")
            highest = max(highest, number)
        self._highest = highest
        if ids:
            self.last_id = ids[-1]


def _number(event_id: str) -> int:
    """Return the number that an id is, or -1."""
    is_number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if is_number and len(event_id) <= MAX_ID_DIGITS else -1
