"""Names the request in every answer of a stand-in, as backend servers have to."""

from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER


def add_names(app: web.Application) -> None:
    """Send the request id of each request back in its answer, whatever it is."""
    app.on_response_prepare.append(_name_request)


async def _name_request(req: web.Request, response: web.StreamResponse) -> None:
    request_id = req.headers.get(REQUEST_ID_HEADER)
    if request_id is not None:
        response.headers[REQUEST_ID_HEADER] = request_id
