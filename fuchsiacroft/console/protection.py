"""Middlewares that protect the console's requests and responses."""

from aiohttp import web

from fuchsiacroft.utils.logs import event

HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "same-origin",
    "Cache-Control": "no-store",
    "Cross-Origin-Opener-Policy": "same-origin",
}


@web.middleware
async def add_headers(req: web.Request, handler) -> web.StreamResponse:
    """Add security headers against framing, sniffing, injection and caching."""
    try:
        response = await handler(req)
    except web.HTTPException as exc:
        exc.headers.update(HEADERS)
        raise
    response.headers.update(HEADERS)
    return response


@web.middleware
async def refuse_other_origins(req: web.Request, handler) -> web.StreamResponse:
    """Reject form posts whose Origin is another site."""
    origin = req.headers.get("Origin")
    if req.method == "POST" and origin is not None:
        host = origin.partition("://")[2]
        if host != req.host:
            event("warning", "console_refused", reason="other_origin", path=req.path)
            raise web.HTTPForbidden(text="this form was sent from another site\n")
    return await handler(req)
