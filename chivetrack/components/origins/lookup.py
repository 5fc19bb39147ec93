"""Decides from the answers of replicas at which version a stream began; performs no I/O."""

from collections.abc import Collection, Sequence

from chivetrack.components.origins.messages import OriginAnswer
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.origins.quorum import covers_majority, has_all_members


class OriginLookup:
    """Collects the answers to one query until they decide.

    A record decides: it was written when the stream began, and that never changes. As ids come
    from callers, a majority is heard before, and records that differ tell nothing. An inferred one
    counts only if no replica has another record. Without one, a
    majority of replicas with a complete memory decides if all of them together remember one
    version only. The query must be sent after the caller's request has come: every
    version that can have begun the stream was registered by then.
    """

    def __init__(self, *, services: Collection[str]) -> None:
        """Start without answers; ``services`` are those that may have begun the stream."""
        self._services = frozenset(services)
        self.answers: dict[str, OriginAnswer] = {}

    def handle_answer(self, source: str, answer: OriginAnswer) -> OriginVerdict | None:
        """Record an answer; return the verdict, ``None`` while others may change it."""
        self.answers[source] = answer
        if self._list_found():
            return self.conclude() if covers_majority(self.answers) else None
        only = self._find_only_origin()
        if only is not None:
            return OriginVerdict(origin=only, basis=OriginBasis.ONLY_VERSION)
        return self.conclude() if has_all_members(self.answers) else None

    def conclude(self) -> OriginVerdict:
        """Return the verdict if no further answer comes."""
        found = self._list_found()
        if found:
            return self._judge_found(found)
        has_majority = covers_majority(self._list_complete())
        basis = OriginBasis.NO_RECORD if has_majority else OriginBasis.NO_MAJORITY
        return OriginVerdict(origin=None, basis=basis)

    def _list_found(self) -> list[tuple[Origin, float]]:
        """Return the recorded origins and the ages of their records."""
        answers = [one for one in self.answers.values() if one.found is not None]
        recorded = [one for one in answers if not one.is_inferred]
        return [(one.found, one.age_s) for one in recorded or answers if one.found is not None]

    def _judge_found(self, found: Sequence[tuple[Origin, float]]) -> OriginVerdict:
        origins = {origin for origin, _ in found}
        origin, age_s = found[0]
        if len(origins) > 1 or not origin.is_known:
            return OriginVerdict(origin=None, basis=OriginBasis.NO_RECORD)
        if origin.service not in self._services:
            return OriginVerdict(origin=None, basis=OriginBasis.OTHER_SERVICE, age_s=age_s)
        return OriginVerdict(origin=origin, basis=OriginBasis.TOLD, age_s=age_s)

    def _find_only_origin(self) -> Origin | None:
        complete = self._list_complete()
        if not covers_majority(complete):
            return None
        origins = {
            origin
            for answer in self.answers.values()
            for origin in answer.origins
            if origin.service in self._services
        }
        only = origins.pop() if len(origins) == 1 else None
        return only if only is not None and only.is_known else None

    def _list_complete(self) -> dict[str, OriginAnswer]:
        return {source: one for source, one in self.answers.items() if one.is_complete}
