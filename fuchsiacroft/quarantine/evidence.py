"""Decides from crashes and answers which content crashes backend servers.

Content is what a request has in common with others: its fingerprint, which its
retries share, and the shared parts of its prompt. A crash is evidence against the
content of the runs whose answers had not begun. An answer is evidence for its
content: whatever crashed before it is no longer held against that content.

Content is convicted after two crashes. A request is refused only if it has all the
content that was in each of these crashes, so content that merely ran beside is
distinguished by further runs. Until then, a request with suspected content runs in
isolation.

The module does no I/O and takes the time as an argument. All state is a set of
crashes and the time of the last answer of each content, so entries that know the
same reach the same verdict whatever the order of messages.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from fuchsiacroft.quarantine.messages import EvidenceReport, ReportedCrash
from fuchsiacroft.utils.bounded import set_newest

CRASHES_TO_CONVICT = 2
ANSWERED_CRASHES_TO_CONVICT = 4
"""For content that had answers before; several servers may fail beside it."""
UNRELATED_CRASHES_EXTRA = 1
"""More crashes are needed while servers also crash without the content."""
INCIDENT_S = 1.0
"""Crashes within this time may have a cause of their own, like a lost rack."""
CONVICTION_S = 60.0
"""Conviction after one incident; each further one doubles it."""
ANSWERED_CONVICTION_S = 4.0
"""The same for content that was answered before. It may be in all requests, so that
nothing but a trial can answer it; each further incident multiplies it."""
ANSWERED_CONVICTION_GROWTH = 4.0
MAX_CONVICTION_S = 3600.0
RETENTION_S = 3600.0
ANSWER_RETENTION_S = 600.0
ANSWER_SURVIVAL_S = 0.5
"""A run that crashes its server does so within this time after its answer began."""
LOST_RUN_ISOLATION_S = 0.5
"""A crash is recognized within this time after the first lost connection, mostly."""
MAX_CRASHES = 200
MAX_BLAMED = 50_000
"""Content of all crashes together; a report of it fits into a message."""
MAX_ANSWERED = 50_000
MAX_LOST = 5_000
TRIAL_S = 2.0
"""A crash by an isolated run is known by this time, mostly."""
MAX_TRIALS = 5_000


class Treatment(enum.Enum):
    """How a request with given content may run."""

    UNRESTRICTED = "free"
    ISOLATED = "alone"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of one start of a backend server, and the content it is blamed on."""

    instance_id: str
    at: float
    content_ids: frozenset[str]


class CrashEvidence:
    """The known crashes, and when content was last answered.

    `on_change` is called when there is something new to share. `version` changes with
    each change of what is held against content. Convictions last `conviction_factor`
    times as long here; entries with different factors don't try content at once.
    """

    def __init__(self, conviction_factor: float = 1.0) -> None:
        self._conviction_factor = conviction_factor
        self._crashes: OrderedDict[str, Crash] = OrderedDict()
        self._crashes_by_content: dict[str, set[str]] = {}
        self._repeated: set[str] = set()
        self._blamed = 0
        self._digest: int | None = None
        self.version = 0
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._lost_at: OrderedDict[str, float] = OrderedDict()
        self._trials: dict[str, float] = {}
        self._changed_crashes: set[str] = set()
        self._changed_answers: set[str] = set()
        self.on_change: Callable[[], None] = lambda: None

    @property
    def is_empty(self) -> bool:
        """Whether no content is or was lately suspected."""
        return not self._crashes and not self._lost_at

    def record_crash(
        self, instance_id: str, content_ids: Iterable[str], at: float
    ) -> bool:
        """Blame a crash on content; return whether that is new."""
        if not self._add_crash(instance_id, frozenset(content_ids), at):
            return False
        self._changed_crashes.add(instance_id)
        self.on_change()
        return True

    def record_lost_run(self, content_ids: Iterable[str], at: float) -> None:
        """Suspect the content of a lost run shortly, in case its server crashed."""
        for content_id in content_ids:
            self._lost_at[content_id] = at
            self._lost_at.move_to_end(content_id)
        while self._lost_at:
            content_id, lost_at = next(iter(self._lost_at.items()))
            is_old = at - lost_at > LOST_RUN_ISOLATION_S
            if not is_old and len(self._lost_at) <= MAX_LOST:
                break
            del self._lost_at[content_id]

    def record_answer(self, content_ids: Iterable[str], at: float) -> None:
        """Clear the content of a run that has answered and did not crash its server."""
        has_changed = False
        for content_id in content_ids:
            if self._active_crashes(content_id, at):
                self._changed_answers.add(content_id)
                has_changed = True
            self._set_answered(content_id, at)
        if has_changed:
            self.on_change()

    def begin_trial(self, content_ids: Iterable[str], at: float) -> None:
        """Record that a run with this content has begun in isolation, anywhere."""
        for content_id in content_ids:
            set_newest(self._trials, content_id, at, MAX_TRIALS)

    def is_tried(self, content_ids: Iterable[str], at: float) -> bool:
        """Return whether the outcome of such a run is awaited for any of the content.

        It is an answer or a crash since; without either the wait ends after `TRIAL_S`.
        """
        return any(self._awaits_outcome(content_id, at) for content_id in content_ids)

    def _awaits_outcome(self, content_id: str, at: float) -> bool:
        began_at = self._trials.get(content_id)
        if began_at is None or at - began_at >= TRIAL_S:
            return False
        if self._answered_at.get(content_id, float("-inf")) >= began_at:
            return False
        crashes = self._active_crashes(content_id, at)
        return not any(crash.at >= began_at for crash in crashes)

    def lift(self, content_id: str, at: float) -> bool:
        """Clear content for an operator; return whether it was suspected."""
        is_suspected = bool(self._active_crashes(content_id, at))
        if is_suspected:
            self.record_answer((content_id,), at)
        return is_suspected

    def treatment(self, content_ids: Iterable[str], at: float) -> Treatment:
        """Return how a request with this content may run."""
        if self.is_empty:
            return Treatment.UNRESTRICTED
        content = frozenset(content_ids)
        if any(self._is_convicted(item, content, at) for item in content):
            return Treatment.REFUSED
        if any(self._is_suspected(item, at) for item in content):
            return Treatment.ISOLATED
        return Treatment.UNRESTRICTED

    def suspected(self, content_ids: Iterable[str], at: float) -> frozenset[str]:
        """Return the content whose requests run in isolation."""
        if self.is_empty:
            return frozenset()
        return frozenset(item for item in content_ids if self._is_suspected(item, at))

    def convictions(self, at: float) -> dict[str, frozenset[str]]:
        """Return convicted content, each with all that a refused request has."""
        found = {}
        for content_id in self._repeated:
            culprits = self._culprits(content_id, at)
            if culprits:
                found[content_id] = culprits
        return found

    def dump(self, at: float) -> dict[str, dict]:
        """Return the suspected and convicted content."""
        convictions = self.convictions(at)
        state = {}
        for content_id in tuple(self._crashes_by_content):
            crashes = self._active_crashes(content_id, at)
            if not crashes:
                continue
            culprits = convictions.get(content_id, frozenset())
            state[content_id] = {
                "deaths": sorted(crash.instance_id for crash in crashes),
                "quarantined": bool(culprits),
                "only_with": sorted(culprits - {content_id}),
                "noted_s_ago": round(at - crashes[-1].at, 1),
            }
        return state

    def take_changes(self, at: float) -> EvidenceReport:
        """Return what was recorded here since the last call.

        With a crash goes when its content was answered, so that all judge it alike.
        """
        crashes = [
            self._crashes[instance_id]
            for instance_id in sorted(self._changed_crashes & self._crashes.keys())
        ]
        answered = self._changed_answers.union(*(c.content_ids for c in crashes))
        report = EvidenceReport(
            tuple(_reported(crash, at) for crash in crashes),
            self._answer_ages_s(answered, at),
        )
        self._changed_crashes.clear()
        self._changed_answers.clear()
        return report

    def report(self, at: float) -> EvidenceReport:
        """Return all evidence on content that was suspected."""
        return EvidenceReport(
            tuple(_reported(crash, at) for crash in self._crashes.values()),
            self._answer_ages_s(self._crashes_by_content, at),
        )

    def digest(self, at: float) -> int:
        """Return a hash of the crashes and of what they are still held against."""
        self._drop_expired(at)
        if self._digest is None:
            lines = sorted(
                f"{crash.instance_id} {' '.join(sorted(self._active_content(crash)))}"
                for crash in self._crashes.values()
            )
            self._digest = xxhash.xxh3_64_intdigest("\n".join(lines).encode())
        return self._digest

    def merge(self, report: EvidenceReport, at: float) -> None:
        """Add another entry's evidence."""
        for content_id, age_s in report.answer_ages_s.items():
            if at - age_s > self._answered_at.get(content_id, float("-inf")):
                self._set_answered(content_id, at - age_s)
        for crash in report.crashes:
            content_ids = frozenset(crash.content_ids)
            self._add_crash(crash.instance_id, content_ids, at - crash.age_s)

    def _add_crash(
        self, instance_id: str, content_ids: frozenset[str], at: float
    ) -> bool:
        content_ids -= {""}
        known = self._crashes.get(instance_id)
        if known is not None:
            content_ids |= known.content_ids
            if content_ids == known.content_ids:
                return False
            at = min(at, known.at)
        if not content_ids:
            return False
        self._drop_expired(at)
        if known is not None:
            self._remove_crash(instance_id)
        self._crashes[instance_id] = Crash(instance_id, at, content_ids)
        self._blamed += len(content_ids)
        self._record_change()
        for content_id in content_ids:
            crashes = self._crashes_by_content.setdefault(content_id, set())
            crashes.add(instance_id)
            if len(crashes) >= CRASHES_TO_CONVICT:
                self._repeated.add(content_id)
        while len(self._crashes) > MAX_CRASHES or self._blamed > MAX_BLAMED:
            self._remove_crash(next(iter(self._crashes)))
        return True

    def _record_change(self) -> None:
        self._digest = None
        self.version += 1

    def _drop_expired(self, at: float) -> None:
        expired = [
            crash.instance_id
            for crash in self._crashes.values()
            if at - crash.at > RETENTION_S
        ]
        for instance_id in expired:
            self._remove_crash(instance_id)

    def _remove_crash(self, instance_id: str) -> None:
        crash = self._crashes.pop(instance_id)
        self._blamed -= len(crash.content_ids)
        self._record_change()
        for content_id in crash.content_ids:
            crashes = self._crashes_by_content[content_id]
            crashes.discard(instance_id)
            if len(crashes) < CRASHES_TO_CONVICT:
                self._repeated.discard(content_id)
            if not crashes:
                del self._crashes_by_content[content_id]

    def _set_answered(self, content_id: str, at: float) -> None:
        if content_id in self._crashes_by_content:
            self._record_change()
        self._answered_at[content_id] = at
        self._answered_at.move_to_end(content_id)
        self._lost_at.pop(content_id, None)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def _is_active(self, crash: Crash, content_id: str) -> bool:
        return crash.at > self._answered_at.get(content_id, float("-inf"))

    def _active_content(self, crash: Crash) -> set[str]:
        return {item for item in crash.content_ids if self._is_active(crash, item)}

    def _active_crashes(self, content_id: str, at: float) -> list[Crash]:
        """Return the crashes held against content, the oldest first."""
        crashes = [
            self._crashes[instance_id]
            for instance_id in self._crashes_by_content.get(content_id, ())
        ]
        active = [
            crash
            for crash in crashes
            if self._is_active(crash, content_id) and at - crash.at <= RETENTION_S
        ]
        return sorted(active, key=lambda crash: crash.at)

    def _was_answered_before(self, content_id: str, at: float) -> bool:
        answered_at = self._answered_at.get(content_id)
        return answered_at is not None and at - answered_at <= ANSWER_RETENTION_S

    def _is_suspected(self, content_id: str, at: float) -> bool:
        """Return whether content may not run beside other requests.

        A single crash does not restrict content that had answers shortly before.
        """
        lost_at = self._lost_at.get(content_id)
        if lost_at is None and content_id not in self._crashes_by_content:
            return False
        crashes = self._active_crashes(content_id, at)
        if len(crashes) >= CRASHES_TO_CONVICT:
            return True
        if self._was_answered_before(content_id, crashes[0].at if crashes else at):
            return False
        was_lost = lost_at is not None and at - lost_at <= LOST_RUN_ISOLATION_S
        return bool(crashes) or was_lost

    def _is_convicted(
        self, content_id: str, content: frozenset[str], at: float
    ) -> bool:
        if content_id not in self._crashes_by_content:
            return False
        culprits = self._culprits(content_id, at)
        return bool(culprits) and culprits <= content

    def _culprits(self, content_id: str, at: float) -> frozenset[str]:
        """Return the content that a request has in common with all its crashes.

        It is empty if content is not convicted.
        """
        crashes = self._active_crashes(content_id, at)
        if not crashes:
            return frozenset()
        was_answered = self._was_answered_before(content_id, crashes[0].at)
        if was_answered:
            crashes = [crash for crash in crashes if not self._is_explained(crash, at)]
        if len(crashes) < CRASHES_TO_CONVICT:
            return frozenset()
        incidents = _incidents(crashes)
        # Answered content is in many runs, so in most that end in one incident.
        counted = incidents if was_answered else len(crashes)
        if counted < self._crashes_to_convict(content_id, crashes):
            return frozenset()
        conviction_s = (
            _answered_conviction_s(incidents)
            if was_answered
            else _conviction_s(incidents)
        )
        lasts_s = self._conviction_factor * conviction_s
        if at - crashes[-1].at > lasts_s:
            return frozenset()
        return self._common_content(crashes)

    def _is_explained(self, crash: Crash, at: float) -> bool:
        """Return whether a crash holds content of several crashes and no answer."""
        return any(
            len(self._active_crashes(item, at)) >= CRASHES_TO_CONVICT
            and not self._was_answered_before(item, crash.at)
            for item in crash.content_ids & self._repeated
        )

    def _common_content(self, crashes: list[Crash]) -> frozenset[str]:
        """Return what all crashes have in common and no answer has cleared.

        Content that had answers before is left out if there is other content.
        """
        first = crashes[0]
        common = frozenset.intersection(*(crash.content_ids for crash in crashes))
        common = frozenset(item for item in common if self._is_active(first, item))
        new = frozenset(
            item for item in common if not self._was_answered_before(item, first.at)
        )
        return new or common

    def _crashes_to_convict(self, content_id: str, crashes: list[Crash]) -> int:
        needed = CRASHES_TO_CONVICT
        if self._was_answered_before(content_id, crashes[0].at):
            needed = ANSWERED_CRASHES_TO_CONVICT
        has_unrelated = any(
            content_id not in other.content_ids
            and any(abs(other.at - crash.at) <= INCIDENT_S for crash in crashes)
            for other in self._crashes.values()
        )
        return needed + UNRELATED_CRASHES_EXTRA * has_unrelated

    def _answer_ages_s(self, content_ids: Iterable[str], at: float) -> dict[str, float]:
        return {
            content_id: round(at - self._answered_at[content_id], 3)
            for content_id in content_ids
            if content_id in self._answered_at
        }


def _incidents(crashes: list[Crash]) -> int:
    """Return how many crashes, the oldest first, are `INCIDENT_S` or more apart."""
    counted = 0
    last_at = float("-inf")
    for crash in crashes:
        if crash.at - last_at >= INCIDENT_S:
            counted += 1
            last_at = crash.at
    return counted


def _conviction_s(incidents: int) -> float:
    return min(CONVICTION_S * 2 ** (incidents - 1), MAX_CONVICTION_S)


def _answered_conviction_s(incidents: int) -> float:
    further = max(incidents - ANSWERED_CRASHES_TO_CONVICT, 0)
    seconds = ANSWERED_CONVICTION_S * ANSWERED_CONVICTION_GROWTH**further
    return min(seconds, MAX_CONVICTION_S)


def _reported(crash: Crash, at: float) -> ReportedCrash:
    content_ids = tuple(sorted(crash.content_ids))
    return ReportedCrash(crash.instance_id, round(at - crash.at, 3), content_ids)
