"""Progress and timing of one relayed response."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiacroft.utils.clock import now

SSE_FIELD = b"data:"
SSE_DONE = b"data: [DONE]"
SSE_EVENT_END = b"\n\n"
TAIL_BYTES = 64
MIN_TOKENS_FOR_GAP = 3


@dataclass(slots=True)
class ResponseProgress:
    """Counts and times of one response, in seconds of the event loop's clock.

    `body` keeps the body as long as it does not exceed `max_body_bytes`.
    """

    started_at: float
    max_body_bytes: int = 0
    first_byte_at: float | None = None
    last_byte_at: float | None = None
    sent_bytes: int = 0
    tokens: int = 0
    tail: bytes = b""
    body: bytearray = field(default_factory=bytearray)
    on_first_byte: Callable[[], None] | None = None

    def record(self, chunk: bytes) -> None:
        """Record a chunk that is about to be forwarded."""
        self.last_byte_at = now()
        if self.first_byte_at is None:
            self.first_byte_at = self.last_byte_at
            if self.on_first_byte is not None:
                self.on_first_byte()
        self.sent_bytes += len(chunk)
        self.tokens += chunk.count(SSE_FIELD)
        if len(chunk) >= TAIL_BYTES:
            self.tail = chunk
        else:
            self.tail = (self.tail + chunk)[-TAIL_BYTES:]
        if self.max_body_bytes and len(self.body) <= self.max_body_bytes:
            self.body += chunk

    @property
    def is_complete_stream(self) -> bool:
        """Whether the final event of a token stream was received."""
        return self.tail.rstrip().endswith(SSE_DONE)

    @property
    def ends_between_events(self) -> bool:
        """Whether the data sent so far ends at an event boundary."""
        return not self.tail or self.tail.endswith(SSE_EVENT_END)

    @property
    def first_token_s(self) -> float | None:
        """Seconds from dispatch to the first byte."""
        if self.first_byte_at is None:
            return None
        return self.first_byte_at - self.started_at

    @property
    def token_gap_s(self) -> float | None:
        """Mean seconds between tokens, or None after too few tokens."""
        if self.tokens < MIN_TOKENS_FOR_GAP or self.first_byte_at is None:
            return None
        return (self.last_byte_at - self.first_byte_at) / (self.tokens - 1)
