"""Views of the document's history, and rollback to an older version."""

import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config import changes
from fuchsiacroft.config.bounds import whole_number
from fuchsiacroft.console.context import (
    Context,
    accepted_notice,
    new_change_id,
    redirect_accepted,
)
from fuchsiacroft.control.api_messages import Conflict, DocumentResponse

MAX_SHOWN_VERSIONS = 100


class HistoryViews:
    """Lists versions, compares one with the newest, and rolls back."""

    async def show(self, context: Context) -> web.StreamResponse:
        """Show the latest versions, newest first."""
        match await context.client.get_history(MAX_SHOWN_VERSIONS):
            case Result(tag="ok", ok=records):
                return context.render(
                    "history.html",
                    records=records[::-1],
                    notice=accepted_notice(context.req),
                )
            case Result(error=error):
                return context.failure(error)

    async def compare(self, context: Context) -> web.StreamResponse:
        """Show what a rollback to a version would change."""
        return await self._render_comparison(context)

    async def roll_back(self, context: Context) -> web.StreamResponse:
        """Put a version's document in force again, as a new version."""
        match await self._get_documents(context):
            case Result(tag="ok", ok=(old, _)):
                pass
            case Result(error=page):
                return page
        base_version = whole_number(context.text("held"))
        if base_version is None:
            raise web.HTTPBadRequest(text="the base version is missing\n")
        document = msgspec.to_builtins(old.document)
        match await context.submit_change(document, base_version):
            case Result(tag="ok", ok=answer):
                return redirect_accepted("/history", answer)
            case Result(error=Conflict() as conflict):
                return await self._render_comparison(context, conflict)
            case Result(error=error):
                return context.failure(error)

    async def _render_comparison(
        self, context: Context, conflict: Conflict | None = None
    ) -> web.StreamResponse:
        match await self._get_documents(context):
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

    async def _get_documents(
        self, context: Context
    ) -> Result[tuple[DocumentResponse, DocumentResponse], web.StreamResponse]:
        old_version = whole_number(context.req.match_info["version"])
        if old_version is None:
            raise web.HTTPNotFound
        documents = []
        for version in (old_version, None):
            match await context.client.get_document(version):
                case Result(tag="ok", ok=answer):
                    documents.append(answer)
                case Result(error=error):
                    return Error(context.failure(error))
        return Ok(tuple(documents))
