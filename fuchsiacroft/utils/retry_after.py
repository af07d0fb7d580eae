"""Parses the value of a Retry-After header (RFC 9110, section 10.2.3)."""

import math
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from expression import Error, Ok, Result

MAX_RETRY_AFTER_S = 3_600.0
"""A longer delay is kept for this long."""


def parse(text: str, wall_time: datetime) -> Result[float, str]:
    """Return the delay in seconds, or why the value is not a sensible one.

    The value is a number of seconds, possibly with a fraction, or a date, which is
    compared with `wall_time`. A date in the past is a delay of 0, and a long one
    `MAX_RETRY_AFTER_S`.
    """
    seconds = _seconds(text, wall_time)
    if seconds is None:
        return Error("unreadable")
    if math.isnan(seconds) or seconds < 0:
        return Error("negative")
    return Ok(min(seconds, MAX_RETRY_AFTER_S))


def _seconds(text: str, wall_time: datetime) -> float | None:
    try:
        return float(text)
    except ValueError:
        pass  # Not a number, so it may be a date.
    try:
        date = parsedate_to_datetime(text)
    except ValueError:
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=UTC)
    return max((date - wall_time).total_seconds(), 0.0)
