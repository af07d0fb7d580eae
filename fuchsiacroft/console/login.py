"""Views for logging in with an operator token and logging out."""

from collections.abc import Callable

from aiohttp import web
from expression import Result

from fuchsiacroft.console.context import Context
from fuchsiacroft.console.pages import Pages, Problem
from fuchsiacroft.console.sessions import Session, Sessions
from fuchsiacroft.control.api_messages import MAX_OPERATOR_LENGTH
from fuchsiacroft.operators_client import OperatorsClient
from fuchsiacroft.operators_results import Denied
from fuchsiacroft.utils.logs import event


class LoginViews:
    """The login page and logout."""

    def __init__(
        self,
        sessions: Sessions,
        pages: Pages,
        create_client: Callable[[str], OperatorsClient],
    ) -> None:
        self._sessions = sessions
        self._pages = pages
        self._create_client = create_client

    async def show(self, req: web.Request) -> web.StreamResponse:
        """Show the login form."""
        ended = "The session has ended. Please log in again."
        notice = ended if "ended" in req.query else ""
        return self._pages.render("login.html", operator="", notice=notice)

    async def log_in(self, req: web.Request) -> web.StreamResponse:
        """Verify the token with a control member and begin a session."""
        form = await req.post()
        operator = str(form.get("operator", "")).strip()[:MAX_OPERATOR_LENGTH]
        token = str(form.get("token", "")).strip()
        problems = []
        if not operator:
            problems.append(Problem("Enter your name.", "operator"))
        if not token:
            problems.append(Problem("Enter the operator token.", "token"))
        if not problems:
            problems = await self._verify_token(token)
        if problems:
            event("warning", "console_login_refused", source=req.remote)
            return self._pages.render(
                "login.html", 403, operator=operator, problems=problems
            )
        event("info", "console_login", operator=operator, source=req.remote)
        response = web.HTTPSeeOther("/")
        self._sessions.begin(response, Session(operator, token))
        return response

    async def log_out(self, context: Context) -> web.StreamResponse:
        """End the session."""
        response = web.HTTPSeeOther("/login")
        self._sessions.end(response)
        return response

    async def _verify_token(self, token: str) -> list[Problem]:
        async with self._create_client(token) as client:
            match await client.get_versions_in_force():
                case Result(tag="error", error=Denied()):
                    return [Problem("This token is not accepted.", "token")]
                case Result(tag="error", error=error):
                    return [Problem(str(error))]
        return []
