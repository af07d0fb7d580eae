"""Bodies with a Content-Encoding, of which some aren't what it says."""

import gzip
import zlib

PLAIN = b'{"prompt": "one two three"}' * 20
BODIES = (
    ("gzip", gzip.compress(PLAIN)),
    ("deflate", zlib.compress(PLAIN)),
    ("br", b"\x8b\x0b\x80not decoded here\x03"),
    ("zstd", b"\x28\xb5\x2f\xfdnot decoded here"),
    ("x-shop", b"\x00\x01 of an unknown coding"),
    ("gzip, br", b"\x8b of two codings"),
    ("gzip", PLAIN),
    ("deflate", b"\x00no deflate"),
    ("gzip", gzip.compress(PLAIN)[:-9]),
    ("identity", PLAIN),
)
"""The coding that a header names, and the bytes."""
