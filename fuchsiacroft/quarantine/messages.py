"""Messages by which entries share the evidence on crashes of backend servers."""

import msgspec

from fuchsiacroft.config.bounds import Age, Hash64
from fuchsiacroft.transport import codec


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash that ended `age_s` seconds ago, and the content that it is blamed on.

    `instance_id` names the start of the backend server that crashed.
    """

    instance_id: str
    age_s: Age
    content_ids: tuple[str, ...]


@codec.message("quarantine.evidence")
class EvidenceReport(msgspec.Struct, frozen=True):
    """Crashes, and for suspected content the age in seconds of its last answer."""

    crashes: tuple[ReportedCrash, ...] = ()
    answer_ages_s: dict[str, Age] = {}


@codec.message("quarantine.trial")
class TrialBegun(msgspec.Struct, frozen=True):
    """A run with this suspected content has begun in isolation at the sender."""

    content_ids: tuple[str, ...]


@codec.message("quarantine.compare")
class CompareEvidence(msgspec.Struct, frozen=True):
    """Requests the peer's evidence, unless it has the same digest."""

    digest: Hash64
