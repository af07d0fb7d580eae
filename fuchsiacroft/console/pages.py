"""Renders the console's pages from templates."""

import importlib.resources
from dataclasses import dataclass

import jinja2
from aiohttp import web

from fuchsiacroft.commands.history import format_time, summarize_delta
from fuchsiacroft.console.forms import FORMS

PACKAGE = "fuchsiacroft.console"
STYLE = "style.css"


@dataclass(frozen=True, slots=True)
class Problem:
    """One line of a page's error summary; `field` is the form field to link to."""

    text: str
    field: str = ""


class Pages:
    """Renders the templates; values are escaped by default."""

    def __init__(self) -> None:
        self._environment = jinja2.Environment(
            loader=jinja2.FunctionLoader(_read_template),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self._environment.globals["forms"] = FORMS
        self._environment.filters["time_text"] = format_time
        self._environment.filters["delta_summary"] = summarize_delta
        self.style = _read(STYLE)

    def render(self, template: str, status: int = 200, **values: object):
        """Return a response with the rendered template."""
        base = {"session": None, "csrf": "", "problems": [], "notice": ""}
        text = self._environment.get_template(template).render(base | values)
        return web.Response(status=status, text=text, content_type="text/html")


def create() -> Pages:
    """Return the pages of the console."""
    return Pages()


def _read_template(name: str) -> str:
    return _read(f"templates/{name}")


def _read(name: str) -> str:
    return importlib.resources.files(PACKAGE).joinpath(name).read_text("utf-8")
