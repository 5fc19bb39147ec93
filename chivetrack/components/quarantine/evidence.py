"""Counts the endpoint crashes under each request and each part of prompts, without I/O."""

import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

import msgspec

from chivetrack.components.quarantine.const import (
    ANSWERED_RETENTION_S,
    ASK_DURATION_S,
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_QUARANTINE_PART,
    CRASHES_TO_SUSPECT,
    EVIDENCE_RETENTION_S,
    LEAD_OF_PART,
    LEAD_OF_REQUEST,
    MAX_ASKED,
    MAX_STORED,
    MAX_SUSPECTS,
    PART_EVIDENCE_RETENTION_S,
    PRUNE_INTERVAL_S,
    REPORT_DURATION_S,
    RESEND_WINDOW_S,
)
from chivetrack.components.quarantine.fingerprint import make_service_fingerprint
from chivetrack.components.quarantine.models import (
    AnsweredReport,
    CrashReport,
    ExcludedCrash,
    Quarantine,
    QuarantinedRequest,
    QuarantineOrder,
    StoredEvidence,
)


@dataclass(frozen=True, slots=True)
class _Crash:
    """When an endpoint crashed, and the first report of that."""

    at: float
    report: CrashReport


@dataclass(slots=True)
class _Suspect:
    """A request, or a part of prompts, with the incarnations that crashed while running it.

    ``excluded`` are the incarnations that a release has removed from the count. An answer that
    began at ``answered_at`` shows that neither the crashes before it nor those of the next
    minute were caused here. ``asked_since`` is when routers began to be asked for such answers.
    """

    report: CrashReport
    crashes: dict[str, _Crash] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)
    answered_at: float = float("-inf")
    asked_since: float | None = None

    def list_counted(self, explained: AbstractSet[str] = frozenset()) -> tuple[str, ...]:
        """Return the crashes that may have been caused here, without the ``explained`` ones."""
        return tuple(
            incarnation
            for incarnation, crash in self.crashes.items()
            if incarnation not in self.excluded
            and incarnation not in explained
            and crash.at > self.answered_at + ANSWERED_RETENTION_S
        )

    @property
    def threshold(self) -> int:
        return CRASHES_TO_QUARANTINE_PART if self.report.part else CRASHES_TO_QUARANTINE

    @property
    def lead(self) -> int:
        """Return by how many crashes it has to lead its rivals to be held at the threshold."""
        return LEAD_OF_PART if self.report.part else LEAD_OF_REQUEST

    @property
    def retention_s(self) -> float:
        return PART_EVIDENCE_RETENTION_S if self.report.part else EVIDENCE_RETENTION_S

    def update_asked(self, now: float) -> None:
        if len(self.list_counted()) < CRASHES_TO_SUSPECT:
            self.asked_since = None
        elif self.asked_since is None:
            self.asked_since = now

    def may_be_cause(self, counted: Sequence[str]) -> bool:
        """Return whether a part, and not one repeated request, may have caused the crashes."""
        requests = {self.crashes[incarnation].report.request for incarnation in counted}
        return not self.report.part or len(requests) > 1

    def has_same_requests(self, other: "_Suspect") -> bool:
        """Return whether the requests of their common crashes were the same ones."""
        return all(
            crash.report.request == other.crashes[incarnation].report.request
            for incarnation, crash in self.crashes.items()
            if incarnation in other.crashes
        )

    def is_due(self, counted: Sequence[str], service_answered_at: float, now: float) -> bool:
        """Return whether there were enough crashes and no answer that excuses them.

        While a service answers nobody, any part that several requests share would be held, and stay
        held after the service is mended. So there must be an answer to others, of the minute before
        the crashes at the earliest: then crashes may have ended all endpoints at once.
        """
        if len(counted) < self.threshold or self.asked_since is None:
            return False
        if now - self.asked_since < ASK_DURATION_S:
            return False
        first_at = min(self.crashes[incarnation].at for incarnation in counted)
        return not self.report.part or service_answered_at > first_at - ANSWERED_RETENTION_S


class CrashEvidence:
    """Identifies what crashes endpoints, from the crash reports of all routers.

    Callers may send a crashing request repeatedly, or requests that have only a part of their
    prompts in common, each time to another router. Each router then sees single crashes of
    different endpoints; only the combined reports show what they have in common. What only ran
    beside it is usually involved in one crash, or is answered elsewhere: routers are asked for
    answers to the few suspects with several crashes.

    ``change`` is a number that rises with each change.
    """

    def __init__(self) -> None:
        """Initialize without crash reports."""
        self.change = 0
        self._suspects: dict[bytes, _Suspect] = {}
        self._candidates: set[bytes] = set()
        self._services: dict[bytes, float] = {}
        self._pruned_at = float("-inf")
        self._recent: dict[tuple[bytes, str], tuple[float, CrashReport]] = {}
        self._recent_answers: dict[bytes, tuple[float, float]] = {}

    def __len__(self) -> int:
        """Return the number of tracked requests and parts."""
        return len(self._suspects)

    def store(self, *, now: float) -> StoredEvidence:
        """Return what a replica that starts again goes on from, with a bounded size."""
        by_count = sorted(self._suspects.values(), key=lambda each: len(each.crashes), reverse=True)
        stored = list(itertools.islice(_list_crashes(by_count), MAX_STORED))
        kept = {suspect.report.fingerprint: suspect for suspect, _ in stored}
        answered_at = {each: suspect.answered_at for each, suspect in kept.items()}
        answered_at.update(self._services)
        return StoredEvidence(
            crash_reports=tuple(
                msgspec.structs.replace(crash.report, age_s=now - crash.at) for _, crash in stored
            ),
            answered=tuple(
                AnsweredReport(fingerprint, now - at)
                for fingerprint, at in answered_at.items()
                if at > float("-inf")
            ),
            excluded=tuple(
                ExcludedCrash(fingerprint, incarnation)
                for fingerprint, suspect in kept.items()
                for incarnation in sorted(suspect.excluded)
            ),
        )

    def restore(self, stored: StoredEvidence, *, age_s: float, now: float) -> None:
        """Take over what was stored ``age_s`` seconds ago."""
        reports = (
            msgspec.structs.replace(one, age_s=one.age_s + age_s) for one in stored.crash_reports
        )
        self.record(reports, now=now)
        for one in stored.excluded:
            suspect = self._suspects.get(one.fingerprint)
            if suspect is not None:
                suspect.excluded.add(one.incarnation)
                self._update(one.fingerprint, now)
        answered = (AnsweredReport(one.fingerprint, one.age_s + age_s) for one in stored.answered)
        self.record_answered(answered, now=now)

    def record(self, crash_reports: Iterable[CrashReport], *, now: float) -> bool:
        """Count crash reports and return whether any is new; duplicates and order don't matter."""
        is_new = False
        for report in crash_reports:
            suspect = self._suspects.get(report.fingerprint)
            if suspect is None:
                suspect = self._suspects[report.fingerprint] = _Suspect(report)
            if report.incarnation not in suspect.crashes:
                crash = _Crash(at=now - report.age_s, report=report)
                suspect.crashes[report.incarnation] = crash
                if report.age_s <= RESEND_WINDOW_S:
                    self._recent[report.fingerprint, report.incarnation] = (now, report)
                self._update(report.fingerprint, now)
                is_new = True
        if now - self._pruned_at > PRUNE_INTERVAL_S:
            self._pruned_at = now
            self._prune_expired(now)
        self._evict_excess()
        return is_new

    def record_answered(self, answered: Iterable[AnsweredReport], *, now: float) -> None:
        """Record answers that began; those to what is no suspect have no effect."""
        for one in answered:
            began_at = now - one.age_s
            suspect = self._suspects.get(one.fingerprint)
            if suspect is not None and began_at > suspect.answered_at:
                suspect.answered_at = began_at
                self._recent_answers[one.fingerprint] = (now, began_at)
                self._update(one.fingerprint, now)
            elif began_at > self._services.get(one.fingerprint, began_at):
                self._services[one.fingerprint] = began_at
                self._recent_answers[one.fingerprint] = (now, began_at)

    def list_asked(self) -> tuple[bytes, ...]:
        """Return the suspects for which routers report answers, and their services."""
        by_count = sorted(
            self._candidates,
            key=lambda each: len(self._suspects[each].list_counted()),
            reverse=True,
        )
        asked = by_count[:MAX_ASKED]
        return (*asked, *self._services) if asked else ()

    def list_answered(self, *, now: float) -> tuple[AnsweredReport, ...]:
        """Return the answers that were recorded recently, for the other replicas."""
        self._recent_answers = {
            fingerprint: (at, began_at)
            for fingerprint, (at, began_at) in self._recent_answers.items()
            if now - at <= REPORT_DURATION_S
        }
        return tuple(
            AnsweredReport(fingerprint, now - began_at)
            for fingerprint, (_, began_at) in self._recent_answers.items()
        )

    def list_recent(self, *, now: float) -> tuple[CrashReport, ...]:
        """Return the recent crash reports, to be forwarded to the other replicas."""
        old = [key for key, (at, _) in self._recent.items() if now - at > REPORT_DURATION_S]
        for key in old:
            del self._recent[key]
        return tuple(
            msgspec.structs.replace(report, age_s=report.age_s + now - at)
            for at, report in self._recent.values()
        )

    def list_due(self, quarantine: Quarantine, *, at: float, now: float) -> list[QuarantineOrder]:
        """Return orders for the suspects that have reached the crash threshold.

        What runs beside the cause of several crashes may reach it as well. So a crash is explained
        by what is held already and was running then, and of suspects with crashes in common only
        the one with the most is due. Those that don't lead clearly wait for one more crash.

        ``at`` is the current Unix time in seconds, ``now`` the monotonic one.
        """
        if not self._candidates:
            return []
        explained = self._list_explained(quarantine)
        suspects: dict[bytes, tuple[str, ...]] = {}
        for fingerprint in self._candidates:
            counted = self._suspects[fingerprint].list_counted(explained)
            is_held = quarantine.find(fingerprint) is not None
            if counted and not is_held and self._suspects[fingerprint].may_be_cause(counted):
                suspects[fingerprint] = counted
        return [
            self._make_order(self._suspects[fingerprint], counted, quarantine.revision, at)
            for fingerprint, counted in suspects.items()
            if self._is_due(fingerprint, counted, now) and self._is_leading(fingerprint, suspects)
        ]

    def _is_leading(self, fingerprint: bytes, suspects: Mapping[bytes, Sequence[str]]) -> bool:
        """Return whether this suspect leads its rivals, which have crashes in common with it.

        At the threshold it needs a clear lead, and with one crash more none. Equal parts that were
        in different requests wait for yet another crash, which may tell them apart.
        """
        crashes = suspects[fingerprint]
        rivals = {
            other: len(each)
            for other, each in suspects.items()
            if other != fingerprint and not set(crashes).isdisjoint(each)
        }
        suspect = self._suspects[fingerprint]
        lead = len(crashes) - max(rivals.values(), default=0)
        beyond = len(crashes) - suspect.threshold
        if beyond <= 0:
            return lead >= suspect.lead
        if lead != 0 or beyond > 1 or not suspect.report.part:
            return lead >= 0
        equal = (self._suspects[each] for each, count in rivals.items() if count == len(crashes))
        return all(suspect.has_same_requests(each) for each in equal)

    def _list_explained(self, quarantine: Quarantine) -> frozenset[str]:
        """Return the crashes during which something was running that is held by now."""
        explained = {crash for one in quarantine.requests for crash in one.crashes}
        for one in quarantine.requests:
            suspect = self._suspects.get(one.fingerprint)
            if suspect is not None:
                explained.update(suspect.crashes)
        return frozenset(explained)

    def _is_due(self, fingerprint: bytes, counted: Sequence[str], now: float) -> bool:
        suspect = self._suspects[fingerprint]
        service = make_service_fingerprint(suspect.report.service)
        return suspect.is_due(counted, self._services.get(service, float("-inf")), now)

    @staticmethod
    def _make_order(
        suspect: _Suspect, crashes: tuple[str, ...], seen_revision: int, at: float
    ) -> QuarantineOrder:
        return QuarantineOrder(
            fingerprint=suspect.report.fingerprint,
            crashes=crashes,
            service=suspect.report.service,
            path=suspect.report.path,
            workspace=suspect.report.workspace,
            seen_revision=seen_revision,
            at=at,
            part=suspect.report.part,
        )

    def reset_count(self, released: QuarantinedRequest, *, now: float) -> None:
        """Exclude the known crashes of a released request or part from all counts.

        They stay recorded, so that delayed reports don't count them again. What was running beside
        it would otherwise be held in its place.
        """
        suspect = self._suspects.get(released.fingerprint)
        known = set(released.crashes) | (set() if suspect is None else set(suspect.crashes))
        for fingerprint, each in list(self._suspects.items()):
            excluded = known & each.crashes.keys()
            if excluded:
                each.excluded |= excluded
                self._update(fingerprint, now)

    def reset_all(self, *, now: float) -> None:
        """Exclude all known crashes, after releases that this replica has not seen."""
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.excluded |= suspect.crashes.keys()
            self._update(fingerprint, now)

    def _update(self, fingerprint: bytes, now: float) -> None:
        self.change += 1
        suspect = self._suspects[fingerprint]
        suspect.update_asked(now)
        if suspect.asked_since is None:
            self._candidates.discard(fingerprint)
        else:
            self._candidates.add(fingerprint)
        services = {
            make_service_fingerprint(self._suspects[each].report.service)
            for each in self._candidates
        }
        self._services = {each: self._services.get(each, float("-inf")) for each in services}

    def _drop(self, fingerprint: bytes) -> None:
        del self._suspects[fingerprint]
        self._candidates.discard(fingerprint)

    def _prune_expired(self, now: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            for incarnation, crash in list(suspect.crashes.items()):
                if now - crash.at > suspect.retention_s:
                    del suspect.crashes[incarnation]
                    suspect.excluded.discard(incarnation)
            if suspect.crashes:
                self._update(fingerprint, now)
            else:
                self._drop(fingerprint)

    def _evict_excess(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        # Evicts an extra eighth, so that a flood of new requests doesn't cause a sort per call.
        extra = len(self._suspects) - MAX_SUSPECTS + MAX_SUSPECTS // 8
        # The sort is stable: among equal crash counts, the oldest entries are evicted first.
        by_crash_count = sorted(self._suspects, key=lambda each: len(self._suspects[each].crashes))
        for fingerprint in by_crash_count[:extra]:
            self._drop(fingerprint)


def _list_crashes(suspects: Iterable[_Suspect]) -> Iterator[tuple[_Suspect, _Crash]]:
    for suspect in suspects:
        for crash in suspect.crashes.values():
            yield suspect, crash
