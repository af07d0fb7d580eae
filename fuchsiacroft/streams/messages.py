"""Messages by which entries share the origins of streams."""

import msgspec

from fuchsiacroft.config.bounds import Seconds
from fuchsiacroft.streams.origin import StreamOrigin
from fuchsiacroft.streams.origin_store import OriginFact
from fuchsiacroft.transport import codec


@codec.message("streams.began")
class StreamBegan(msgspec.Struct, frozen=True):
    """Notifies an owner of its key of what began a stream."""

    fact: OriginFact


@codec.message("streams.find")
class FindOrigin(msgspec.Struct, frozen=True):
    """Asks what began a stream, and which versions of a service served lately.

    The stream began less than `within_s` seconds ago.
    """

    key: str
    service: str
    within_s: Seconds


@codec.message("streams.origin")
class OriginReply(msgspec.Struct, frozen=True):
    """Reply to `FindOrigin`: the known origins, none if the stream is unknown.

    `versions` of the service were seen in that time; `saw_all` if no other served.
    """

    origins: tuple[StreamOrigin, ...]
    versions: tuple[str, ...] = ()
    saw_all: bool = False
