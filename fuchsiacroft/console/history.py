"""The history of the document, and going back to an older version."""

import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config import changes
from fuchsiacroft.console.context import (
    Context,
    accepted_notice,
    new_change_id,
    see_accepted,
)
from fuchsiacroft.control.api_messages import Conflict, DocumentResponse

SHOWN_VERSIONS = 100


class HistoryViews:
    """Shows versions, compares one with the newest, and rolls back."""

    async def show(self, context: Context) -> web.StreamResponse:
        """Show the newest versions, the newest first."""
        match await context.client.get_history(SHOWN_VERSIONS):
            case Result(tag="ok", ok=records):
                return context.render(
                    "history.html",
                    records=records[::-1],
                    notice=accepted_notice(context.req),
                )
            case Result(error=error):
                return context.failure(error)

    async def compare(self, context: Context) -> web.StreamResponse:
        """Show what going back to a version would change."""
        return await self._compare(context)

    async def roll_back(self, context: Context) -> web.StreamResponse:
        """Put a version's document in force again, as a new version."""
        match await self._documents(context):
            case Result(tag="ok", ok=(old, _)):
                pass
            case Result(error=page):
                return page
        held = context.text("held")
        if not (held.isascii() and held.isdigit()):
            raise web.HTTPBadRequest(text="the version held is needed\n")
        document = msgspec.to_builtins(old.document)
        match await context.change(document, int(held)):
            case Result(tag="ok", ok=answer):
                return see_accepted("/history", answer)
            case Result(error=Conflict() as conflict):
                return await self._compare(context, conflict)
            case Result(error=error):
                return context.failure(error)

    async def _compare(
        self, context: Context, conflict: Conflict | None = None
    ) -> web.StreamResponse:
        match await self._documents(context):
            case Result(tag="ok", ok=(old, newest)):
                return context.render(
                    "compare.html",
                    409 if conflict else 200,
                    version=old.version,
                    held=newest.version,
                    changed=changes.list_changes(newest.document, old.document),
                    change_id=new_change_id(),
                    conflict=conflict,
                )
            case Result(error=page):
                return page

    async def _documents(
        self, context: Context
    ) -> Result[tuple[DocumentResponse, DocumentResponse], web.StreamResponse]:
        found = []
        for version in (int(context.req.match_info["version"]), None):
            match await context.client.get_document(version):
                case Result(tag="ok", ok=answer):
                    found.append(answer)
                case Result(error=error):
                    return Error(context.failure(error))
        return Ok(tuple(found))
