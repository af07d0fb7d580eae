"""Stateless sessions: the operator's token, encrypted in a cookie.

The encryption key exists only in this process, so a restart ends all sessions.
"""

import hashlib
import hmac
import secrets

import msgspec
from aiohttp import web
from cryptography.fernet import Fernet, InvalidToken

SESSION_COOKIE = "fuchsiacroft-session"
CSRF_FIELD = "csrf"
SESSION_LIFETIME_S = 8 * 3600


class Session(msgspec.Struct, frozen=True):
    """The operator's name and the token for the operators' API."""

    operator: str
    token: str


class Sessions:
    """Encrypts sessions into cookies and decrypts them."""

    def __init__(self, secure: bool) -> None:
        self._fernet = Fernet(Fernet.generate_key())
        self._csrf_key = secrets.token_bytes(32)
        self._secure = secure

    def begin(self, response: web.StreamResponse, session: Session) -> None:
        """Set the response's session cookie."""
        encrypted = self._fernet.encrypt(msgspec.json.encode(session)).decode()
        response.set_cookie(
            SESSION_COOKIE,
            encrypted,
            httponly=True,
            samesite="Strict",
            secure=self._secure,
            path="/",
        )

    def end(self, response: web.StreamResponse) -> None:
        """Delete the session cookie."""
        response.del_cookie(SESSION_COOKIE, path="/")

    def open(self, req: web.Request) -> Session | None:
        """Return the request's session, or None if it has no valid one."""
        encrypted = req.cookies.get(SESSION_COOKIE, "")
        try:
            data = self._fernet.decrypt(encrypted.encode(), ttl=SESSION_LIFETIME_S)
        except InvalidToken:
            return None
        return msgspec.json.decode(data, type=Session)

    def csrf(self, req: web.Request) -> str:
        """Return the CSRF token that the forms of this session must send back."""
        encrypted = req.cookies.get(SESSION_COOKIE, "").encode()
        return hmac.new(self._csrf_key, encrypted, hashlib.sha256).hexdigest()

    def is_valid_csrf(self, req: web.Request, csrf: str) -> bool:
        """Return whether a CSRF token belongs to this session."""
        return hmac.compare_digest(self.csrf(req), csrf)
