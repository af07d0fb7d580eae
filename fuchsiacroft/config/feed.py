"""Messages that distribute the document between processes."""

import msgspec

from fuchsiacroft.config.bounds import Age, Seconds, Whole
from fuchsiacroft.config.delta import Delta
from fuchsiacroft.config.document import Document
from fuchsiacroft.transport import codec


@codec.message("feed.fetch")
class FetchUpdate(msgspec.Struct, frozen=True):
    """Requests changes after `version`; the reply may wait up to `wait_s`.

    `in_force` holds the versions that the sender knows to be in force: its own
    and those of the processes that fetch through it.
    """

    version: Whole
    wait_s: Seconds
    in_force: dict[str, Whole] = {}


@codec.message("feed.news")
class DocumentUpdate(msgspec.Struct, frozen=True):
    """Deltas from `first_version` on, or a full document at `version`.

    With neither, there is no newer version than `version`. `age_s` is the time
    since the source was known to be up to date with a quorum of the control
    VMs.
    """

    version: Whole
    first_version: Whole = 0
    deltas: tuple[Delta, ...] = ()
    document: Document | None = None
    age_s: Age = 0.0


@codec.message("feed.ask_in_force")
class VersionsRequest(msgspec.Struct, frozen=True):
    """Requests the versions that a control member's followers hold."""


@codec.message("feed.in_force")
class VersionsReply(msgspec.Struct, frozen=True):
    """The version that each process holds, by node name."""

    versions: dict[str, Whole]
