"""Settings of the C library's allocator."""

import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
"""Parameters of glibc's mallopt."""
LARGE_BLOCK_BYTES = 128 * 1024
"""The value with which glibc starts. By itself it raises it to the size of the largest
block that was freed, and bodies of up to 32 MB then leave gaps in the heap for good."""


def return_large_blocks() -> None:
    """Return large blocks to the operating system as soon as they are freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        mallopt(M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES)
