"""The console: web forms for operators, backed by the operators' API."""

import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from fuchsiacroft import operators_client
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.console import pages, protection
from fuchsiacroft.console.context import Context
from fuchsiacroft.console.history import HistoryViews
from fuchsiacroft.console.items import ItemViews
from fuchsiacroft.console.keys import KeyViews
from fuchsiacroft.console.login import LoginViews
from fuchsiacroft.console.overview import OverviewViews
from fuchsiacroft.console.sessions import CSRF_FIELD, Sessions
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.operators_client import OperatorsClient
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.logs import event

MAX_FORM_BYTES = 256 * 1024
View = Callable[[Context], Awaitable[web.StreamResponse]]


class Console(Service):
    """Serves the pages; stateless except for its session keys."""

    name = "console"

    def __init__(
        self,
        settings: Settings,
        listen_tls: ssl.SSLContext | None = None,
        control_tls: ssl.SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._control_tls = control_tls
        self._sessions = Sessions(secure=listen_tls is not None)
        self._pages = pages.create()
        self._pages_served = 0
        app = web.Application(
            client_max_size=MAX_FORM_BYTES,
            middlewares=[protection.add_headers, protection.refuse_other_origins],
        )
        self._add_routes(app)
        self._listener = Listener(
            app,
            settings.addresses.console,
            listen_tls,
            name="console",
            limits=settings.inbound.for_listeners(),
        )

    async def start(self, kernel: Kernel) -> None:
        """Start listening for operators."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    def dump(self) -> dict:
        """Return the number of pages served."""
        return {"pages_shown": self._pages_served}

    def _add_routes(self, app: web.Application) -> None:
        router = app.router
        router.add_get("/style.css", self._serve_style)
        login = LoginViews(self._sessions, self._pages, self._create_client)
        router.add_get("/login", login.show)
        router.add_post("/login", login.log_in)
        router.add_post("/logout", self._authenticated(login.log_out))
        router.add_get("/", self._authenticated(OverviewViews(self._settings).show))
        history = HistoryViews()
        router.add_get("/history", self._authenticated(history.show))
        router.add_get("/history/{version:\\d+}", self._authenticated(history.compare))
        router.add_post(
            "/history/{version:\\d+}", self._authenticated(history.roll_back)
        )
        keys = KeyViews()
        router.add_post("/workspaces/keys/new", self._authenticated(keys.create))
        router.add_post("/workspaces/keys/remove", self._authenticated(keys.remove))
        items = ItemViews()
        part = "/{part:services|tiers|workspaces|rules}"
        router.add_get(part, self._authenticated(items.show_list))
        router.add_get(f"{part}/edit", self._authenticated(items.show_form))
        router.add_post(f"{part}/edit", self._authenticated(items.save))
        router.add_get(f"{part}/remove", self._authenticated(items.show_removal))
        router.add_post(f"{part}/remove", self._authenticated(items.remove))

    def _create_client(self, token: str) -> OperatorsClient:
        control = [
            member.operators for member in self._settings.control if member.operators
        ]
        return operators_client.create(control, token, self._control_tls)

    def _authenticated(self, view: View):
        async def handle(req: web.Request) -> web.StreamResponse:
            session = self._sessions.open(req)
            if session is None:
                raise web.HTTPSeeOther("/login")
            form = await req.post() if req.method == "POST" else {}
            if req.method == "POST":
                csrf = form.get(CSRF_FIELD, "")
                if not isinstance(csrf, str) or not self._sessions.is_valid_csrf(
                    req, csrf
                ):
                    event("warning", "console_refused", reason="csrf", path=req.path)
                    raise web.HTTPForbidden(text="this form is not from your session\n")
            self._pages_served += 1
            async with self._create_client(session.token) as client:
                context = Context(
                    req=req,
                    form=form,
                    session=session,
                    csrf=self._sessions.csrf(req),
                    client=client,
                    pages=self._pages,
                )
                return await view(context)

        return handle

    async def _serve_style(self, req: web.Request) -> web.Response:
        return web.Response(text=self._pages.style, content_type="text/css")


def create(
    settings: Settings,
    listen_tls: ssl.SSLContext | None = None,
    control_tls: ssl.SSLContext | None = None,
) -> Console:
    """Return the console service.

    `listen_tls` is used for operators' browsers, `control_tls` for the operators'
    API of the control members.
    """
    return Console(settings, listen_tls, control_tls)
