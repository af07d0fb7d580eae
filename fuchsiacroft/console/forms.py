"""The fields of each form, and their conversion into document values."""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from fuchsiacroft.config import defaults


class FieldKind(enum.Enum):
    """How a field is rendered and parsed."""

    TEXT = "text"
    NUMBER = "number"
    CHOICE = "choice"
    CHOICES = "choices"
    FLAG = "flag"
    WORDS = "words"


@dataclass(frozen=True, slots=True)
class Field:
    """One field of a form; `options` returns the choices for a document.

    `empty` is the label of the choice that leaves the value unset.
    """

    name: str
    label: str
    kind: FieldKind
    hint: str = ""
    default: object = ""
    options: Callable[[dict], list[str]] | None = None
    empty: str | None = None

    def read(self, form: Mapping[str, str], values: Callable[[str], list]) -> object:
        """Return the entered value in the form that the document uses.

        `values` returns all values that were sent under a field name.
        """
        text = form.get(self.name, "").strip()
        match self.kind:
            case FieldKind.NUMBER:
                return _parse_number(text)
            case FieldKind.FLAG:
                return text == "yes"
            case FieldKind.CHOICES:
                return values(self.name)
            case FieldKind.WORDS:
                return [word for word in text.replace(",", " ").split() if word]
        if self.empty is not None and not text:
            return None
        return text


@dataclass(frozen=True, slots=True)
class Form:
    """A part of the document: its title, the noun for an item, its fields."""

    part: str
    title: str
    item: str
    intro: str
    fields: tuple[Field, ...] = field(default_factory=tuple)

    @property
    def is_ordered(self) -> bool:
        """Return whether items are identified by position instead of by name."""
        return self.part == "rules"

    def new_item(self) -> dict:
        """Return the initial values of an empty form."""
        return {each.name: each.default for each in self.fields}

    def read(self, form: Mapping[str, str], values: Callable[[str], list]) -> dict:
        """Return the entered item."""
        return {each.name: each.read(form, values) for each in self.fields}


def _item_names(part: str) -> Callable[[dict], list[str]]:
    return lambda document: [item["name"] for item in document[part]]


def _parse_number(text: str) -> object:
    for convert in (int, float):
        try:
            return convert(text)
        except ValueError:
            continue
    return text


NAME_HINT = "Letters, digits, dot, hyphen and underscore, 100 at most."

TIERS = Form(
    "tiers",
    "Tiers",
    "tier",
    "Levels of urgency. Work is refused from the least urgent tier up.",
    (
        Field("name", "Name", FieldKind.TEXT, NAME_HINT),
        Field(
            "rank", "Rank", FieldKind.NUMBER, "0 is the most urgent, 99 the least.", 0
        ),
        Field(
            "timeout_s",
            "Timeout (seconds)",
            FieldKind.NUMBER,
            "The longest a request of this tier may take.",
            defaults.SERVICE_TIMEOUT_S,
        ),
    ),
)

SERVICES = Form(
    "services",
    "Services",
    "service",
    "What callers can request. Backend servers offer a service by its name.",
    (
        Field("name", "Name", FieldKind.TEXT, NAME_HINT),
        Field(
            "kind",
            "Kind",
            FieldKind.CHOICE,
            "A model takes prompts; a plain service takes any call.",
            "model",
            lambda document: ["model", "plain"],
        ),
        Field(
            "tiers",
            "Tiers served",
            FieldKind.CHOICES,
            "None chosen: every tier.",
            (),
            _item_names("tiers"),
        ),
        Field(
            "first_token_target_s",
            "Target for the first token (seconds)",
            FieldKind.NUMBER,
            "For 95 of 100 requests.",
            defaults.FIRST_TOKEN_TARGET_S,
        ),
        Field(
            "token_gap_target_s",
            "Target for the gap between tokens (seconds)",
            FieldKind.NUMBER,
            "For 95 of 100 gaps.",
            defaults.TOKEN_GAP_TARGET_S,
        ),
        Field(
            "max_body_bytes",
            "Largest request body (bytes)",
            FieldKind.NUMBER,
            "",
            defaults.MAX_BODY_BYTES,
        ),
        Field(
            "replicas",
            "Wanted backend servers",
            FieldKind.NUMBER,
            "How many should offer a model; 0: as they are.",
            0,
        ),
    ),
)

WORKSPACES = Form(
    "workspaces",
    "Workspaces",
    "workspace",
    "Who may send requests, under which keys and in which tiers.",
    (
        Field("name", "Name", FieldKind.TEXT, NAME_HINT),
        Field(
            "tier",
            "Tier of its requests",
            FieldKind.CHOICE,
            "Unless a request names another one.",
            "",
            _item_names("tiers"),
        ),
        Field(
            "highest_tier",
            "Most urgent tier it may use",
            FieldKind.CHOICE,
            "",
            None,
            _item_names("tiers"),
            empty="the tier of its requests",
        ),
        Field(
            "share",
            "Share",
            FieldKind.NUMBER,
            "Its weight against other workspaces in the same tier.",
            1.0,
        ),
        Field(
            "retries_per_s",
            "Retries (per second)",
            FieldKind.NUMBER,
            "How many of its resent requests are accepted.",
            defaults.RETRY_BUDGET_PER_S,
        ),
    ),
)

RULES = Form(
    "rules",
    "Rules",
    "rule",
    "Which requests may run at most once. The first rule that matches decides; "
    "without one a request is idempotent.",
    (
        Field("service", "Service", FieldKind.CHOICE, "", "", _item_names("services")),
        Field(
            "methods",
            "Methods",
            FieldKind.WORDS,
            "Such as POST, PUT. Empty: any method.",
            (),
        ),
        Field(
            "path_prefix",
            "Path begins with",
            FieldKind.TEXT,
            "Such as /bookings.",
            "/",
        ),
        Field(
            "idempotent",
            "Matching requests may run more than once (idempotent)",
            FieldKind.FLAG,
            "",
            False,
        ),
        Field(
            "key_required",
            "Refuse matching requests without an Idempotency-Key",
            FieldKind.FLAG,
            "For requests that may run at most once.",
            True,
        ),
    ),
)

FORMS = {form.part: form for form in (SERVICES, TIERS, WORKSPACES, RULES)}
