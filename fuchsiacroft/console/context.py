"""What a view of the console is given, and what several views do."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.console.pages import Pages, Problem
from fuchsiacroft.console.sessions import Session
from fuchsiacroft.control.api_messages import ChangeResponse, Conflict
from fuchsiacroft.operators_client import Change, OperatorsClient
from fuchsiacroft.operators_results import ChangeError, Denied, Unreachable


@dataclass(frozen=True, slots=True)
class Held:
    """A document as JSON-compatible values, and its version."""

    version: int
    document: dict


@dataclass(frozen=True, slots=True)
class Context:
    """One request of an operator who is logged in."""

    req: web.Request
    form: Mapping
    session: Session
    csrf: str
    client: OperatorsClient
    pages: Pages

    def render(self, template: str, status: int = 200, **values: object):
        """Return a page of this session."""
        return self.pages.render(
            template, status, session=self.session, csrf=self.csrf, **values
        )

    def text(self, name: str) -> str:
        """Return a field of the form as text."""
        value = self.form.get(name, "")
        return value if isinstance(value, str) else ""

    async def held(self) -> Result[Held, web.StreamResponse]:
        """Return the document of the version that the form was made from.

        Without a form it is the newest. The error is the page that says why
        there is none.
        """
        version = self.text("held")
        number = int(version) if version.isascii() and version.isdigit() else None
        match await self.client.get_document(number):
            case Result(tag="ok", ok=answer):
                values = msgspec.to_builtins(answer.document)
                return Ok(Held(answer.version, values))
            case Result(error=error):
                return Error(self.failure(error))

    async def change(
        self, document: dict, held: int
    ) -> Result[ChangeResponse, ChangeError]:
        """Send a changed document under the form's change id."""
        return await self.client.submit_change(
            Change(
                document=msgspec.json.encode(document),
                base_version=held,
                change_id=self.text("change_id") or new_change_id(),
                operator=self.session.operator,
            )
        )

    def failure(self, error: ChangeError) -> web.StreamResponse:
        """Return the page for an error that no form can show."""
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
    """Return a change id for a form that is shown the first time."""
    return f"console-{uuid.uuid4().hex}"


def accepted_notice(req: web.Request) -> str:
    """Return the sentence about a change that was just accepted."""
    version = req.query.get("accepted", "")
    if not (version.isascii() and version.isdigit()):
        return ""
    if req.query.get("resent") == "1":
        return (
            f"This change was accepted before, as version {version}. "
            "Sending it again changed nothing."
        )
    return f"Accepted as version {version}. It takes effect within seconds."


def see_accepted(path: str, answer: ChangeResponse) -> web.HTTPSeeOther:
    """Return the redirection that shows a change as accepted."""
    resent = "&resent=1" if answer.resent else ""
    return web.HTTPSeeOther(f"{path}?accepted={answer.version}{resent}")
