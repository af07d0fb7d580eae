"""What has been relayed of one answer."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiacroft.utils.clock import now

SSE_FIELD = b"data:"
SSE_END = b"data: [DONE]"
SSE_GAP = b"\n\n"
TAIL_BYTES = 64
MIN_TOKENS_FOR_GAP = 3


@dataclass(slots=True)
class Progress:
    """Counts and times of one answer; times are the loop's, in seconds.

    `kept` holds the body as long as it is no longer than `keep_bytes`.
    """

    started_at: float
    keep_bytes: int = 0
    first_byte_at: float | None = None
    last_byte_at: float | None = None
    sent_bytes: int = 0
    tokens: int = 0
    tail: bytes = b""
    kept: bytearray = field(default_factory=bytearray)
    on_first_byte: Callable[[], None] | None = None

    def note(self, chunk: bytes) -> None:
        """Count a chunk that is about to be sent on."""
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
        if self.keep_bytes and len(self.kept) <= self.keep_bytes:
            self.kept += chunk

    @property
    def is_closed_stream(self) -> bool:
        """Tell whether a token stream has had its closing event."""
        return self.tail.rstrip().endswith(SSE_END)

    @property
    def ends_between_events(self) -> bool:
        """Tell whether a new event may follow what was sent."""
        return not self.tail or self.tail.endswith(SSE_GAP)

    @property
    def first_token_s(self) -> float | None:
        """Return the seconds from dispatch to the first byte."""
        if self.first_byte_at is None:
            return None
        return self.first_byte_at - self.started_at

    @property
    def token_gap_s(self) -> float | None:
        """Return the mean seconds between tokens."""
        if self.tokens < MIN_TOKENS_FOR_GAP or self.first_byte_at is None:
            return None
        return (self.last_byte_at - self.first_byte_at) / (self.tokens - 1)
