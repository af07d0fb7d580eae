"""Messages that carry the document from process to process."""

import msgspec

from fuchsiacroft.config.delta import Delta
from fuchsiacroft.config.document import Document
from fuchsiacroft.transport import codec


@codec.message("feed.fetch")
class FetchUpdate(msgspec.Struct, frozen=True):
    """Ask for what came after `version`, waiting up to `wait_s` for news.

    `in_force` lists the versions that the asker knows to be in force, its own
    and those of the processes that fetch through it.
    """

    version: int
    wait_s: float
    in_force: dict[str, int] = {}


@codec.message("feed.news")
class DocumentUpdate(msgspec.Struct, frozen=True):
    """Deltas from `first_version` on, or a whole document at `version`.

    With neither, there is nothing new; `version` is the newest known.
    `age_s` counts the seconds since the source was known to be up to date
    with a quorum of the control VMs.
    """

    version: int
    first_version: int = 0
    deltas: tuple[Delta, ...] = ()
    document: Document | None = None
    age_s: float = 0.0


@codec.message("feed.ask_in_force")
class VersionsRequest(msgspec.Struct, frozen=True):
    """Ask a control member which versions its followers hold."""


@codec.message("feed.in_force")
class VersionsReply(msgspec.Struct, frozen=True):
    """The version that each process holds, by node name."""

    versions: dict[str, int]
