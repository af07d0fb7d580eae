"""The replicated route table: the highest published version is in force.

The body is opaque here. Operators assign the version numbers; publishing a
version that is not higher than the current one has no effect.
"""

import msgspec

from fuchsiacroft.config.bounds import Whole
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.transport import codec


@codec.message("published.publish")
class Publish(msgspec.Struct, frozen=True):
    """Publish a body unless the current version is as high or higher."""

    version: Whole
    body: bytes


@codec.message("published.outcome")
class PublishOutcome(msgspec.Struct, frozen=True):
    """The current version, and whether this command published it."""

    version: Whole
    taken: bool


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    body: bytes


class PublishedState(StateMachine):
    """The highest version and its body; version 0 means that there is none."""

    commands = (Publish,)

    def __init__(self) -> None:
        self.version = 0
        self.body = b""
        self._listeners: list = []

    def on_change(self, listener) -> None:
        """Register a callback that is called after every new version."""
        self._listeners.append(listener)

    def apply(self, index: int, command: Publish) -> PublishOutcome:
        """Store the body if its version is higher than the current one."""
        if command.version <= self.version:
            return PublishOutcome(self.version, False)
        self._replace(command.version, command.body)
        return PublishOutcome(self.version, True)

    def snapshot(self) -> bytes:
        """Return the version and the body, encoded."""
        return msgspec.msgpack.encode(_Snapshot(self.version, self.body))

    def restore(self, data: bytes) -> None:
        """Restore the state from a snapshot."""
        saved = msgspec.msgpack.decode(data, type=_Snapshot)
        self._replace(saved.version, saved.body)

    def _replace(self, version: int, body: bytes) -> None:
        self.version = version
        self.body = body
        for listener in self._listeners:
            listener()
