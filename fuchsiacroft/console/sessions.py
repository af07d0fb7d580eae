"""Sessions without state: the operator's token, sealed in a cookie.

The sealing key lives as long as the process, so a restart ends every session.
"""

import hashlib
import hmac
import secrets

import msgspec
from aiohttp import web
from cryptography.fernet import Fernet, InvalidToken

SESSION_COOKIE = "fuchsiacroft-session"
CSRF_FIELD = "csrf"
SESSION_S = 8 * 3600


class Session(msgspec.Struct, frozen=True):
    """Who is logged in, and the token that the operators' API asks for."""

    operator: str
    token: str


class Sessions:
    """Seals sessions into cookies and opens them again."""

    def __init__(self, secure: bool) -> None:
        self._fernet = Fernet(Fernet.generate_key())
        self._csrf_key = secrets.token_bytes(32)
        self._secure = secure

    def begin(self, response: web.StreamResponse, session: Session) -> None:
        """Put a session into the response's cookie."""
        sealed = self._fernet.encrypt(msgspec.json.encode(session)).decode()
        response.set_cookie(
            SESSION_COOKIE,
            sealed,
            httponly=True,
            samesite="Strict",
            secure=self._secure,
            path="/",
        )

    def end(self, response: web.StreamResponse) -> None:
        """Remove the cookie."""
        response.del_cookie(SESSION_COOKIE, path="/")

    def open(self, req: web.Request) -> Session | None:
        """Return the request's session, or None if it has none that holds."""
        sealed = req.cookies.get(SESSION_COOKIE, "")
        try:
            data = self._fernet.decrypt(sealed.encode(), ttl=SESSION_S)
        except InvalidToken:
            return None
        return msgspec.json.decode(data, type=Session)

    def csrf(self, req: web.Request) -> str:
        """Return the value that the forms of this session must send back."""
        sealed = req.cookies.get(SESSION_COOKIE, "").encode()
        return hmac.new(self._csrf_key, sealed, hashlib.sha256).hexdigest()

    def is_own_form(self, req: web.Request, sent: str) -> bool:
        """Tell whether a form comes from a page of this session."""
        return hmac.compare_digest(self.csrf(req), sent)
