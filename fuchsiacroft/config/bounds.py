"""Bounds of numbers that come from outside, in the types that carry them on.

Messages between processes hold whole numbers of 64 bits. What a bound refuses is
infinite, no number, or far above any deployment.
"""

import re
from typing import Annotated

import msgspec

MAX_WHOLE = 2**63 - 1
MAX_UNIX_MS = 253_402_300_799_999
"""The last millisecond of the year 9999."""
MAX_SLOTS = 1_000_000
MAX_COUNT = 1_000_000_000
MAX_BYTES = 2**40
MAX_RANK = 1_000_000
MAX_DURATION_S = 1_000_000.0
MAX_AMOUNT = 1e12
MAX_SPAN_S = 1e10
"""Seconds, over 300 years: also the Unix time of a change."""

Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Bytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_BYTES)]
Rank = Annotated[int, msgspec.Meta(ge=-MAX_RANK, le=MAX_RANK)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S * 1_000)]
PeriodS = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
PeriodMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S * 1_000)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
"""A position, term, version or number that peers count up."""
Hash64 = Annotated[int, msgspec.Meta(ge=0)]
"""A hash; a message carries 64 bits, and a bound can only have 63."""
SignedCount = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
SignedAmount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SPAN_S, le=MAX_SPAN_S)]
"""A span between processes, which may be below 0 if it has run out."""
Age = Annotated[float, msgspec.Meta(ge=-MAX_SPAN_S)]
"""The time since something happened, infinite if it never did."""
Rate = Annotated[float, msgspec.Meta(ge=0)]
"""Events a second, infinite without a limit."""
HeaderText = Annotated[str, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]*$(?!\n)")]
"""Text that may be sent in a header."""
SoftwareVersion = Annotated[str, msgspec.Meta(max_length=100)]

_DIGITS = re.compile("[0-9]{1,19}", re.ASCII)


def whole_number(text: str) -> int | None:
    """Return the number that decimal digits tell, None if above `MAX_WHOLE` or none."""
    if _DIGITS.fullmatch(text) is None:
        return None
    number = int(text)
    return number if number <= MAX_WHOLE else None


def is_unicode(text: str) -> bool:
    """Return whether a message can carry a text; a header may hold other bytes."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
