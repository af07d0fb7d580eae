"""Lists and forms for services, tiers, workspaces and rules."""

import functools
from dataclasses import dataclass

import msgspec
from aiohttp import web
from expression import Result

from fuchsiacroft.console import drafts
from fuchsiacroft.console.context import (
    Context,
    Held,
    accepted_notice,
    new_change_id,
    see_accepted,
)
from fuchsiacroft.console.drafts import Draft, ItemRef
from fuchsiacroft.console.forms import FORMS, Form
from fuchsiacroft.console.pages import Problem
from fuchsiacroft.control.api_messages import Conflict
from fuchsiacroft.operators_results import ChangeError, Faulty


@dataclass(frozen=True, slots=True)
class FormPage:
    """The form of one item, made from a version, with the values it shows."""

    context: Context
    ref: ItemRef
    held: Held
    item: dict
    position: str

    def show(self, status: int = 200, **values: object) -> web.StreamResponse:
        """Return the page; it gets a new change id."""
        conflict = values.get("conflict")
        return self.context.render(
            "form.html",
            status,
            form=self.ref.form,
            key=self.ref.key,
            item=self.item,
            position=self.position,
            held=self.held.version,
            document=self.held.document,
            change_id=new_change_id(),
            same_item=_is_same_item(conflict, self.ref),
            **{"conflict": None, "errors": {}} | values,
        )

    def show_error(self, draft: Draft, error: ChangeError) -> web.StreamResponse:
        """Return the page with what is wrong beside the fields."""
        match error:
            case Faulty(faults=faults):
                by_field, others = drafts.faults_by_field(draft, faults)
                problems = self._problems(by_field)
                problems += [Problem(text) for text in others]
                return self.show(422, problems=problems, errors=by_field)
            case Conflict():
                newest = Held(error.version, self.held.document)
                page = FormPage(
                    self.context, self.ref, newest, self.item, self.position
                )
                return page.show(409, conflict=error)
            case _:
                return self.context.failure(error)

    def _problems(self, by_field: dict[str, str]) -> list[Problem]:
        labels = {field.name: field.label for field in self.ref.form.fields}
        return [
            Problem(f"{labels.get(name, name)}: {text}", name if name in labels else "")
            for name, text in by_field.items()
        ]


@dataclass(frozen=True, slots=True)
class RemovalPage:
    """The question whether an item is to be removed from a version."""

    context: Context
    ref: ItemRef
    held: int

    def show(self, status: int = 200, **values: object) -> web.StreamResponse:
        """Return the page; it gets a new change id."""
        return self.context.render(
            "remove.html",
            status,
            form=self.ref.form,
            key=self.ref.key,
            held=self.held,
            change_id=new_change_id(),
            same_item=_is_same_item(values.get("conflict"), self.ref),
            **{"conflict": None} | values,
        )


def _with_held(view):
    """Give a view the document held, or show why there is none."""

    @functools.wraps(view)
    async def serve(self, context: Context) -> web.StreamResponse:
        match await context.held():
            case Result(tag="ok", ok=held):
                return await view(self, context, held)
            case Result(error=page):
                return page

    return serve


class ItemViews:
    """One list and one form for each part of the document."""

    @_with_held
    async def show_list(self, context: Context, held: Held) -> web.StreamResponse:
        """Show every item of a part."""
        form = _form(context)
        return context.render(
            "list.html",
            form=form,
            held=held.version,
            items=held.document[form.part],
            notice=accepted_notice(context.req),
        )

    @_with_held
    async def show_form(self, context: Context, held: Held) -> web.StreamResponse:
        """Show the form of an item, or of a new one."""
        form = _form(context)
        ref = ItemRef(form, context.req.query.get("item", ""))
        item = ref.find(held.document) if ref.key else form.new_item()
        if item is None:
            raise _no_such(form)
        position = ref.key or str(len(held.document[form.part]) + 1)
        return FormPage(context, ref, held, item, position).show()

    @_with_held
    async def save(self, context: Context, held: Held) -> web.StreamResponse:
        """Check a draft, or put it in force."""
        ref = ItemRef(_form(context), context.text("item"))
        entered = ref.form.read(context.form, _all_values(context))
        position = context.text("position")
        draft = drafts.put(held.document, ref, entered, position)
        page = FormPage(context, ref, held, draft.item, position)
        if context.text("action") == "check":
            return await _check(page, draft)
        match await context.change(draft.document, held.version):
            case Result(tag="ok", ok=answer):
                return see_accepted(f"/{ref.form.part}", answer)
            case Result(error=error):
                return page.show_error(draft, error)

    @_with_held
    async def show_removal(self, context: Context, held: Held) -> web.StreamResponse:
        """Ask whether an item is to be removed."""
        ref = ItemRef(_form(context), context.req.query.get("item", ""))
        if ref.find(held.document) is None:
            raise _no_such(ref.form)
        return RemovalPage(context, ref, held.version).show()

    @_with_held
    async def remove(self, context: Context, held: Held) -> web.StreamResponse:
        """Remove an item."""
        ref = ItemRef(_form(context), context.text("item"))
        document = drafts.remove(held.document, ref)
        if document is None:
            raise _no_such(ref.form)
        match await context.change(document, held.version):
            case Result(tag="ok", ok=answer):
                return see_accepted(f"/{ref.form.part}", answer)
            case Result(error=Faulty(faults=faults)):
                problems = [Problem(str(fault)) for fault in faults]
                page = RemovalPage(context, ref, held.version)
                return page.show(422, problems=problems)
            case Result(error=Conflict() as conflict):
                page = RemovalPage(context, ref, conflict.version)
                return page.show(409, conflict=conflict)
            case Result(error=error):
                return context.failure(error)


async def _check(page: FormPage, draft: Draft) -> web.StreamResponse:
    data = msgspec.json.encode(draft.document)
    match await page.context.client.validate_document(data):
        case Result(tag="ok"):
            return page.show(notice="The draft has no faults. It is not in force yet.")
        case Result(error=error):
            return page.show_error(draft, error)


def _form(context: Context) -> Form:
    return FORMS[context.req.match_info["part"]]


def _no_such(form: Form) -> web.HTTPNotFound:
    return web.HTTPNotFound(text=f"there is no such {form.item}\n")


def _all_values(context: Context):
    def values(name: str) -> list:
        return [value for value in context.form.getall(name, []) if value]

    return values


def _is_same_item(conflict: object, ref: ItemRef) -> bool:
    if not isinstance(conflict, Conflict):
        return False
    changed = conflict.changes or ()
    if ref.form.is_ordered:
        return any(change.part == ref.form.part for change in changed)
    return any(
        (change.part, change.name) == (ref.form.part, ref.key) for change in changed
    )
