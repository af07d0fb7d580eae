"""Messages on what the coordinators of failure domains spent of quotas."""

import msgspec

from fuchsiacroft.config.bounds import Age
from fuchsiacroft.placing.spending_reports import SpendingReport
from fuchsiacroft.transport import codec


@codec.message("placing.spending_query")
class SpendingQuery(msgspec.Struct, frozen=True):
    """Asks for the last report of a failure domain's coordinator."""

    failure_domain: str


@codec.message("placing.spending_known")
class SpendingKnown(msgspec.Struct, frozen=True):
    """Reply to `SpendingQuery`.

    The sender would have received all reports of the last `observed_s` seconds.
    """

    report: SpendingReport | None
    observed_s: Age


@codec.message("placing.domain_spending")
class DomainSpending(msgspec.Struct, frozen=True):
    """Report of a domain's coordinator to those that its successor asks."""

    failure_domain: str
    report: SpendingReport
