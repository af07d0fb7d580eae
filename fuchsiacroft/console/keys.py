"""Keys of workspaces: created and shown once, stored hashed, removed."""

import secrets

from aiohttp import web
from expression import Result

from fuchsiacroft.config.document import hash_key
from fuchsiacroft.console.context import Context, see_accepted
from fuchsiacroft.console.drafts import ItemRef
from fuchsiacroft.console.forms import WORKSPACES
from fuchsiacroft.console.pages import Problem
from fuchsiacroft.control.api_messages import Conflict
from fuchsiacroft.operators_results import ChangeError

KEY_BYTES = 32


class KeyViews:
    """Changes the keys of one workspace."""

    async def create(self, context: Context) -> web.StreamResponse:
        """Create a key; the page that answers is the only one to show it."""
        key = secrets.token_urlsafe(KEY_BYTES)
        name = context.text("item")
        added = hash_key(key)
        match await _change(context, lambda hashes: [*hashes, added]):
            case Result(tag="ok", ok=answer):
                shown = None if answer.resent else key
                return context.render(
                    "key.html", workspace=name, key=shown, version=answer.version
                )
            case Result(error=error):
                return _failure(context, error)

    async def remove(self, context: Context) -> web.StreamResponse:
        """Remove a key by its hash."""
        removed = context.text("key_hash")
        match await _change(
            context, lambda hashes: [known for known in hashes if known != removed]
        ):
            case Result(tag="ok", ok=answer):
                return see_accepted("/workspaces", answer)
            case Result(error=error):
                return _failure(context, error)


async def _change(context: Context, edit):
    match await context.held():
        case Result(tag="ok", ok=held):
            pass
        case Result() as failed:
            return failed
    ref = ItemRef(WORKSPACES, context.text("item"))
    index = ref.index(held.document)
    if index is None:
        raise web.HTTPNotFound(text="there is no such workspace\n")
    workspaces = list(held.document["workspaces"])
    workspace = workspaces[index]
    hashes = edit(workspace["key_hashes"])
    workspaces[index] = workspace | {"key_hashes": hashes}
    document = held.document | {"workspaces": workspaces}
    return await context.change(document, held.version)


def _failure(
    context: Context, error: ChangeError | web.StreamResponse
) -> web.StreamResponse:
    match error:
        case web.StreamResponse():
            return error
        case Conflict(detail=detail, changes=changes):
            problems = [
                Problem(f"No key was changed: {detail}."),
                *(Problem(f"The other changed {change}") for change in changes or ()),
                Problem("Go back to the workspace and try again."),
            ]
            return context.render("failure.html", 409, problems=problems)
        case _:
            return context.failure(error)
