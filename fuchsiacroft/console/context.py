"""The request context of the console's views, and helpers shared by views."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import whole_number
from fuchsiacroft.console.pages import Pages, Problem
from fuchsiacroft.console.sessions import Session
from fuchsiacroft.control.api_messages import ChangeResponse, Conflict
from fuchsiacroft.operators_client import Change, OperatorsClient
from fuchsiacroft.operators_results import ChangeError, Denied, Unreachable


@dataclass(frozen=True, slots=True)
class BaseDocument:
    """The document a form is based on, as JSON-compatible values, and its version."""

    version: int
    document: dict


@dataclass(frozen=True, slots=True)
class Context:
    """One request of a logged-in operator."""

    req: web.Request
    form: Mapping
    session: Session
    csrf: str
    client: OperatorsClient
    pages: Pages

    def render(self, template: str, status: int = 200, **values: object):
        """Render a page for this session."""
        return self.pages.render(
            template, status, session=self.session, csrf=self.csrf, **values
        )

    def text(self, name: str) -> str:
        """Return a form field as text; empty if it is missing or a file."""
        value = self.form.get(name, "")
        return value if isinstance(value, str) else ""

    async def base_document(self) -> Result[BaseDocument, web.StreamResponse]:
        """Return the document of the version that the form is based on.

        Without a form this is the newest version. The error is the page that
        explains why no document is available.
        """
        match await self.client.get_document(whole_number(self.text("held"))):
            case Result(tag="ok", ok=answer):
                values = msgspec.to_builtins(answer.document)
                return Ok(BaseDocument(answer.version, values))
            case Result(error=error):
                return Error(self.failure(error))

    async def submit_change(
        self, document: dict, base_version: int
    ) -> Result[ChangeResponse, ChangeError]:
        """Submit a changed document under the form's change id."""
        return await self.client.submit_change(
            Change(
                document=msgspec.json.encode(document),
                base_version=base_version,
                change_id=self.text("change_id") or new_change_id(),
                operator=self.session.operator,
            )
        )

    def failure(self, error: ChangeError) -> web.StreamResponse:
        """Return an error page for an error that does not belong to a form.

        If the token is no longer accepted, redirect to the login page instead.
        """
        match error:
            case Denied(status=401):
                raise web.HTTPSeeOther("/login?ended=1")
            case Unreachable(reasons=reasons):
                text = "No control member answers, so nothing was read or changed."
                problems = [Problem(text), *(Problem(reason) for reason in reasons)]
                return self.render("failure.html", 503, problems=problems)
            case Conflict(detail=detail):
                problems = [Problem(detail)]
                return self.render("failure.html", 409, problems=problems)
            case _:
                problems = [Problem(str(error))]
                return self.render("failure.html", 502, problems=problems)


def new_change_id() -> str:
    """Return a new change id for a form."""
    return f"console-{uuid.uuid4().hex}"


def accepted_notice(req: web.Request) -> str:
    """Return the notice about a change that was just accepted."""
    version = req.query.get("accepted", "")
    if not (version.isascii() and version.isdigit()):
        return ""
    if req.query.get("resent") == "1":
        return (
            f"This change was accepted before, as version {version}. "
            "Sending it again changed nothing."
        )
    return f"Accepted as version {version}. It takes effect within seconds."


def redirect_accepted(path: str, answer: ChangeResponse) -> web.HTTPSeeOther:
    """Return a redirect to a page that shows the change as accepted."""
    resent = "&resent=1" if answer.resent else ""
    return web.HTTPSeeOther(f"{path}?accepted={answer.version}{resent}")
