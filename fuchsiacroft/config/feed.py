"""Messages that carry the document from process to process."""

import msgspec

from fuchsiacroft.config.delta import Delta
from fuchsiacroft.config.document import Document
from fuchsiacroft.transport import codec


@codec.message("feed.fetch")
class Fetch(msgspec.Struct, frozen=True):
    """Ask for what came after `version`, waiting up to `wait_s` for news.

    `in_force` lists the versions that the asker knows to be in force, its own
    and those of the processes that fetch through it.
    """

    version: int
    wait_s: float
    in_force: dict[str, int] = {}


@codec.message("feed.news")
class News(msgspec.Struct, frozen=True):
    """Deltas from `first_version` on, or a whole document at `version`.

    With neither, there is nothing new; `version` is the newest known.
    """

    version: int
    first_version: int = 0
    deltas: tuple[Delta, ...] = ()
    document: Document | None = None
