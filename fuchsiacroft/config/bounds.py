"""Bounds of numbers that come from outside, in the types that carry them on.

Messages between processes hold whole numbers of 64 bits. What a bound refuses is
infinite, no number, or far above any deployment.
"""

from typing import Annotated

import msgspec

MAX_WHOLE = 2**63 - 1
MAX_UNIX_MS = 253_402_300_799_999
"""The last millisecond of the year 9999."""
MAX_SLOTS = 1_000_000
MAX_COUNT = 1_000_000_000
MAX_DURATION_S = 1_000_000.0
MAX_AMOUNT = 1e12

Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S * 1_000)]
SoftwareVersion = Annotated[str, msgspec.Meta(max_length=100)]
