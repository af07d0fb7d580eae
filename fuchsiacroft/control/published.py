"""The replicated route table: the highest version that was published counts.

The body is opaque here. Operators number versions themselves; a version that
is not higher than the one held changes nothing.
"""

import msgspec

from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.transport import codec


@codec.message("published.publish")
class Publish(msgspec.Struct, frozen=True):
    """Put a body in force unless a version as high is held."""

    version: int
    body: bytes


@codec.message("published.outcome")
class PublishOutcome(msgspec.Struct, frozen=True):
    """The version held afterwards, and whether the change put it there."""

    version: int
    taken: bool


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    body: bytes


class PublishedState(StateMachine):
    """The body of the highest version; version 0 is none."""

    commands = (Publish,)

    def __init__(self) -> None:
        self.version = 0
        self.body = b""
        self._listeners: list = []

    def on_change(self, listener) -> None:
        """Call `listener()` after every new version."""
        self._listeners.append(listener)

    def apply(self, index: int, command: Publish) -> PublishOutcome:
        """Take a higher version; leave everything as it is otherwise."""
        if command.version <= self.version:
            return PublishOutcome(self.version, False)
        self._replace(command.version, command.body)
        return PublishOutcome(self.version, True)

    def snapshot(self) -> bytes:
        """Return the version and the body."""
        return msgspec.msgpack.encode(_Snapshot(self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        saved = msgspec.msgpack.decode(data, type=_Snapshot)
        self._replace(saved.version, saved.body)

    def _replace(self, version: int, body: bytes) -> None:
        self.version = version
        self.body = body
        for listener in self._listeners:
            listener()
