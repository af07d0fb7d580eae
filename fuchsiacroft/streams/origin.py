"""The origin of a stream, and the key under which entries share it."""

import hashlib

import msgspec

KEY_BYTES = 16


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The service, and the software version of its servers, that began a stream."""

    service: str
    version: str


def stream_key(workspace: str, request_id: str) -> str:
    """Return the key of the stream whose first event a request brought.

    Callers choose request ids, so the hash keeps the streams of workspaces apart.
    """
    text = f"{len(workspace)} {workspace} {request_id}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()
