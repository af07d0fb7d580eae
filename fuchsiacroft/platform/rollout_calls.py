"""Decodes the calls about rollouts and encodes their responses."""

from typing import Annotated

import msgspec
from expression import Result

from fuchsiacroft.config.bounds import PeriodS
from fuchsiacroft.config.validation import decode_wire
from fuchsiacroft.platform.heartbeats import NonEmptyVersion
from fuchsiacroft.rollouts.state import Outcome, Rollout

_STATES = {
    Outcome.RUNNING: "running",
    Outcome.COMPLETED: "completed",
    Outcome.ROLLED_BACK: "rolled_back",
}
MAX_NAME_LENGTH = 1_000


class WireOrder(msgspec.Struct, rename="camel"):
    """An order to move a service to a version within `duration_s`."""

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    to: NonEmptyVersion
    duration_s: PeriodS = msgspec.field(name="durationS")


def parse(body: bytes) -> Result[WireOrder, str]:
    """Return an order, or the reason why it is invalid."""
    return decode_wire(body, WireOrder).map_error(str)


def state_of(rollout: Rollout) -> dict[str, str]:
    """Return the fields of the response about a rollout."""
    return {"state": _STATES[rollout.outcome], "to": rollout.to}
