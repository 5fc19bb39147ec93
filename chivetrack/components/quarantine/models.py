"""Crash reports of requests and parts, and the replicated list of what is quarantined."""

import msgspec

from chivetrack.components.quarantine.const import MAX_QUARANTINED
from chivetrack.helpers.codec import Message, message


@message("quarantine.sighting")
class CrashReport(Message, frozen=True, array_like=True):
    """States that a request, or a part of its prompt, was running when an endpoint crashed.

    ``born`` identifies the incarnation among those with the same endpoint id, 0 if unknown.
    ``fingerprint`` alone identifies what was running; ``path`` and ``workspace`` are shown to
    operators. ``part`` is the id of a part, empty for a whole request, and ``request`` the
    fingerprint of the whole request that it was part of. The crash was ``age_s`` seconds ago.
    """

    fingerprint: bytes
    endpoint_id: str
    born: int
    service: str
    path: str
    workspace: str
    part: str = ""
    request: bytes = b""
    age_s: float = 0.0

    @property
    def incarnation(self) -> str:
        """Return the identifier of the incarnation that crashed."""
        return f"{self.endpoint_id}@{self.born}" if self.born else self.endpoint_id


@message("quarantine.answered")
class AnsweredReport(Message, frozen=True, array_like=True):
    """States that an answer to a request, or to one with a part, began ``age_s`` seconds ago."""

    fingerprint: bytes
    age_s: float


@message("quarantine.excluded")
class ExcludedCrash(Message, frozen=True, array_like=True):
    """States that a release has removed a crash from the count of a request or part."""

    fingerprint: bytes
    incarnation: str


@message("quarantine.evidence")
class StoredEvidence(Message, frozen=True, array_like=True):
    """What a replica knows of crashes; ages are as of the time at which this was made."""

    crash_reports: tuple[CrashReport, ...] = ()
    answered: tuple[AnsweredReport, ...] = ()
    excluded: tuple[ExcludedCrash, ...] = ()


@message("quarantine.order")
class QuarantineOrder(Message, frozen=True, array_like=True):
    """Command that quarantines a request, or all requests with a part if ``part`` is not empty.

    ``crashes`` are the endpoint incarnations that crashed while running it. ``seen_revision``
    is the revision of the quarantine for which the order was made, ``at`` its Unix time in
    seconds.
    """

    fingerprint: bytes
    crashes: tuple[str, ...]
    service: str
    path: str
    workspace: str
    seen_revision: int
    at: float
    part: str = ""


@message("quarantine.release")
class ReleaseOrder(Message, frozen=True, array_like=True):
    """Command that releases a request from quarantine."""

    fingerprint: bytes


@message("quarantine.outcome")
class QuarantineOutcome(Message, frozen=True, array_like=True):
    """The outcome of an order: the quarantine's ``revision`` and whether the order changed it."""

    revision: int
    is_applied: bool


@message("quarantine.request")
class QuarantinedRequest(Message, frozen=True, array_like=True):
    """A rejected request, or part of prompts, with the crashes that caused it.

    ``since`` is Unix time in seconds; ``part`` is empty for a whole request.
    """

    fingerprint: bytes
    crashes: tuple[str, ...]
    service: str
    path: str
    workspace: str
    since: float
    part: str = ""

    def describe(self) -> dict[str, str | float | list[str]]:
        """Return the fields that are shown to operators and logged."""
        return {
            "fingerprint": self.fingerprint.hex(),
            "service": self.service,
            "workspace": self.workspace,
            "path": self.path,
            "part": self.part,
            "since": self.since,
            "crashed": list(self.crashes),
        }


@message("quarantine.list")
class Quarantine(Message, frozen=True, array_like=True):
    """All quarantined requests, oldest first.

    ``revision`` is the log index of the last change, ``released_revision`` that of the last
    release.
    """

    requests: tuple[QuarantinedRequest, ...] = ()
    revision: int = 0
    released_revision: int = 0

    def find(self, fingerprint: bytes) -> QuarantinedRequest | None:
        """Return the entry of a request, ``None`` if it may run."""
        return next((each for each in self.requests if each.fingerprint == fingerprint), None)

    def apply(
        self, order: QuarantineOrder | ReleaseOrder, index: int
    ) -> tuple["Quarantine", QuarantineOutcome]:
        """Return the quarantine after the order at log index ``index``, and the order's outcome."""
        if isinstance(order, ReleaseOrder):
            changed = self._release(order, index)
        else:
            changed = self._add(order, index)
        is_applied = changed.revision != self.revision
        return changed, QuarantineOutcome(revision=changed.revision, is_applied=is_applied)

    def _add(self, order: QuarantineOrder, index: int) -> "Quarantine":
        # An order made before a release is based on crashes that the release has excluded.
        if self.find(order.fingerprint) or order.seen_revision < self.released_revision:
            return self
        added = QuarantinedRequest(
            fingerprint=order.fingerprint,
            crashes=order.crashes,
            service=order.service,
            path=order.path,
            workspace=order.workspace,
            since=order.at,
            part=order.part,
        )
        kept = (*self.requests, added)[-MAX_QUARANTINED:]
        return msgspec.structs.replace(self, requests=kept, revision=index)

    def _release(self, order: ReleaseOrder, index: int) -> "Quarantine":
        if self.find(order.fingerprint) is None:
            return self
        kept = tuple(each for each in self.requests if each.fingerprint != order.fingerprint)
        return Quarantine(requests=kept, revision=index, released_revision=index)
