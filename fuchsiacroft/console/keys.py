"""Views for workspace keys: create, show once, store hashed, remove."""

import secrets

from aiohttp import web
from expression import Result

from fuchsiacroft.config.document import hash_key
from fuchsiacroft.console.context import Context, redirect_accepted
from fuchsiacroft.console.drafts import ItemRef
from fuchsiacroft.console.forms import WORKSPACES
from fuchsiacroft.console.pages import Problem
from fuchsiacroft.control.api_messages import Conflict
from fuchsiacroft.operators_results import ChangeError

KEY_BYTES = 32


class KeyViews:
    """Creates and removes keys of a workspace."""

    async def create(self, context: Context) -> web.StreamResponse:
        """Create a key; only the resulting page shows it."""
        key = secrets.token_urlsafe(KEY_BYTES)
        name = context.text("item")
        added = hash_key(key)
        match await _submit_hashes(context, lambda hashes: [*hashes, added]):
            case Result(tag="ok", ok=answer):
                shown_key = None if answer.resent else key
                return context.render(
                    "key.html", workspace=name, key=shown_key, version=answer.version
                )
            case Result(error=error):
                return _failure(context, error)

    async def remove(self, context: Context) -> web.StreamResponse:
        """Remove a key by its hash."""
        removed = context.text("key_hash")
        match await _submit_hashes(
            context, lambda hashes: [known for known in hashes if known != removed]
        ):
            case Result(tag="ok", ok=answer):
                return redirect_accepted("/workspaces", answer)
            case Result(error=error):
                return _failure(context, error)


async def _submit_hashes(context: Context, edit):
    match await context.base_document():
        case Result(tag="ok", ok=base):
            pass
        case Result() as failed:
            return failed
    ref = ItemRef(WORKSPACES, context.text("item"))
    index = ref.index(base.document)
    if index is None:
        raise web.HTTPNotFound(text="there is no such workspace\n")
    workspaces = list(base.document["workspaces"])
    workspace = workspaces[index]
    hashes = edit(workspace["key_hashes"])
    workspaces[index] = workspace | {"key_hashes": hashes}
    document = base.document | {"workspaces": workspaces}
    return await context.submit_change(document, base.version)


def _failure(
    context: Context, error: ChangeError | web.StreamResponse
) -> web.StreamResponse:
    match error:
        case web.StreamResponse():
            return error
        case Conflict(detail=detail, changes=changes):
            problems = [
                Problem(f"No key was changed: {detail}."),
                *(Problem(f"The other change: {change}") for change in changes or ()),
                Problem("Go back to the workspace and try again."),
            ]
            return context.render("failure.html", 409, problems=problems)
        case _:
            return context.failure(error)
