"""Views of services, tiers, workspaces and rules: lists and forms."""

import functools
from dataclasses import dataclass

import msgspec
from aiohttp import web
from expression import Result

from fuchsiacroft.console import draft_report, drafts
from fuchsiacroft.console.context import (
    BaseDocument,
    Context,
    accepted_notice,
    new_change_id,
    redirect_accepted,
)
from fuchsiacroft.console.draft_report import DraftReport
from fuchsiacroft.console.drafts import Draft, ItemRef
from fuchsiacroft.console.forms import FORMS, Form
from fuchsiacroft.console.pages import Problem
from fuchsiacroft.control.api_messages import Conflict
from fuchsiacroft.operators_results import ChangeError, DocumentRejected

VALID = "The draft has no faults. It is not in force yet."
WARNED = "The draft has new warnings. It is not in force yet."


@dataclass(frozen=True, slots=True)
class FormPage:
    """The form of one item: the version it is based on and the shown values."""

    context: Context
    ref: ItemRef
    base: BaseDocument
    item: dict
    position: str

    def show(self, status: int = 200, **values: object) -> web.StreamResponse:
        """Render the page with a new change id."""
        conflict = values.get("conflict")
        return self.context.render(
            "form.html",
            status,
            form=self.ref.form,
            key=self.ref.key,
            item=self.item,
            position=self.position,
            held=self.base.version,
            document=self.base.document,
            change_id=new_change_id(),
            same_item=_is_same_item(conflict, self.ref),
            **{"conflict": None, "errors": {}, "report": None} | values,
        )

    def show_error(self, draft: Draft, error: ChangeError) -> web.StreamResponse:
        """Render the page with the error shown at the fields or as a conflict."""
        match error:
            case DocumentRejected(faults=faults):
                by_field, others = drafts.faults_by_field(draft, faults)
                problems = self._field_problems(by_field)
                problems += [Problem(text) for text in others]
                return self.show(422, problems=problems, errors=by_field)
            case Conflict():
                newest = BaseDocument(error.version, self.base.document)
                page = FormPage(
                    self.context, self.ref, newest, self.item, self.position
                )
                return page.show(409, conflict=error)
            case _:
                return self.context.failure(error)

    def _field_problems(self, by_field: dict[str, str]) -> list[Problem]:
        labels = {field.name: field.label for field in self.ref.form.fields}
        return [
            Problem(f"{labels.get(name, name)}: {text}", name if name in labels else "")
            for name, text in by_field.items()
        ]


@dataclass(frozen=True, slots=True)
class RemovalPage:
    """The page that asks to confirm the removal of an item."""

    context: Context
    ref: ItemRef
    base_version: int

    def show(self, status: int = 200, **values: object) -> web.StreamResponse:
        """Render the page with a new change id."""
        return self.context.render(
            "remove.html",
            status,
            form=self.ref.form,
            key=self.ref.key,
            held=self.base_version,
            change_id=new_change_id(),
            same_item=_is_same_item(values.get("conflict"), self.ref),
            **{"conflict": None, "report": None} | values,
        )


def _with_base_document(view):
    """Pass a view its base document, or show why it is not available."""

    @functools.wraps(view)
    async def serve(self, context: Context) -> web.StreamResponse:
        match await context.base_document():
            case Result(tag="ok", ok=base):
                return await view(self, context, base)
            case Result(error=page):
                return page

    return serve


class ItemViews:
    """A list and a form for each part of the document."""

    @_with_base_document
    async def show_list(
        self, context: Context, base: BaseDocument
    ) -> web.StreamResponse:
        """Show every item of a part."""
        form = _form(context)
        return context.render(
            "list.html",
            form=form,
            held=base.version,
            items=base.document[form.part],
            notice=accepted_notice(context.req),
        )

    @_with_base_document
    async def show_form(
        self, context: Context, base: BaseDocument
    ) -> web.StreamResponse:
        """Show the form for an existing or a new item."""
        form = _form(context)
        ref = ItemRef(form, context.req.query.get("item", ""))
        item = ref.find(base.document) if ref.key else form.new_item()
        if item is None:
            raise _not_found(form)
        position = ref.key or str(len(base.document[form.part]) + 1)
        return FormPage(context, ref, base, item, position).show()

    @_with_base_document
    async def save(self, context: Context, base: BaseDocument) -> web.StreamResponse:
        """Validate a draft, or submit it as a change.

        One with new warnings is submitted once the operator has seen them.
        """
        ref = ItemRef(_form(context), context.text("item"))
        entered = ref.form.read(context.form, _values_reader(context))
        position = context.text("position")
        draft = drafts.put_item(base.document, ref, entered, position)
        page = FormPage(context, ref, base, draft.item, position)
        report = draft_report.create(base.document, draft.document)
        action = context.text("action")
        if action == "check":
            return await _validate(page, draft, report)
        needs_consent = report is not None and report.needs_consent(ref.form)
        if needs_consent and action != "apply_warned":
            return page.show(notice=WARNED, report=report)
        match await context.submit_change(draft.document, base.version):
            case Result(tag="ok", ok=answer):
                return redirect_accepted(f"/{ref.form.part}", answer)
            case Result(error=error):
                return page.show_error(draft, error)

    @_with_base_document
    async def show_removal(
        self, context: Context, base: BaseDocument
    ) -> web.StreamResponse:
        """Ask to confirm the removal of an item."""
        ref = ItemRef(_form(context), context.req.query.get("item", ""))
        document = drafts.remove_item(base.document, ref)
        if document is None:
            raise _not_found(ref.form)
        report = draft_report.create(base.document, document)
        return RemovalPage(context, ref, base.version).show(report=report)

    @_with_base_document
    async def remove(self, context: Context, base: BaseDocument) -> web.StreamResponse:
        """Remove an item."""
        ref = ItemRef(_form(context), context.text("item"))
        document = drafts.remove_item(base.document, ref)
        if document is None:
            raise _not_found(ref.form)
        match await context.submit_change(document, base.version):
            case Result(tag="ok", ok=answer):
                return redirect_accepted(f"/{ref.form.part}", answer)
            case Result(error=DocumentRejected(faults=faults)):
                problems = [Problem(str(fault)) for fault in faults]
                page = RemovalPage(context, ref, base.version)
                return page.show(422, problems=problems)
            case Result(error=Conflict() as conflict):
                page = RemovalPage(context, ref, conflict.version)
                return page.show(409, conflict=conflict)
            case Result(error=error):
                return context.failure(error)


async def _validate(
    page: FormPage, draft: Draft, report: DraftReport | None
) -> web.StreamResponse:
    data = msgspec.json.encode(draft.document)
    match await page.context.client.validate_document(data):
        case Result(tag="ok"):
            return page.show(notice=VALID, report=report)
        case Result(error=error):
            return page.show_error(draft, error)


def _form(context: Context) -> Form:
    return FORMS[context.req.match_info["part"]]


def _not_found(form: Form) -> web.HTTPNotFound:
    return web.HTTPNotFound(text=f"there is no such {form.item}\n")


def _values_reader(context: Context):
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
