"""Default values of the settings and of the document, with their units."""

from typing import Final

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
DRAIN_TIMEOUT_S: Final = 120.0
SERVICE_TIMEOUT_S: Final = 60.0
FIRST_TOKEN_TARGET_S: Final = 1.3
TOKEN_GAP_TARGET_S: Final = 0.044
QUEUE_LIMIT_REQUESTS: Final = 2_000
RETENTION_S: Final = 86_400.0
RETRY_BUDGET_PER_S: Final = 10.0
WEIGHT_LOADS_PER_MIN: Final = 6.0
MIN_MEMORY_MB: Final = 96
"""Less does not hold a loaded process and one body of the largest size."""
LOG_LEVEL: Final = "INFO"
MAX_HEAD_BYTES: Final = 64 * 1024
MAX_FRAMING_BYTES: Final = 64 * 1024
MAX_READ_BYTES: Final = 64 * 1024
MAX_TURN_FRAMING_BYTES: Final = 8 * 1024
MAX_PIPELINED_REQUESTS: Final = 8
MAX_QUEUED_BYTES: Final = 16 * 1024
MAX_HELD_BYTES: Final = 8 * 1024 * 1024
HEAD_TIMEOUT_S: Final = 10.0
