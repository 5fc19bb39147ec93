"""Schedules the slots of one plain service for the whole fleet; without I/O."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from chivetrack.components.admission.const import (
    HONOURED_HOLD_SHARE,
    LATE_ROOM_S,
    LONGEST_WAIT_SHARE,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    QUEUED_SHARE,
    RETURN_SHARE,
    SLOW_FACTOR,
    START_SERVICE_S,
    TAIL_FACTOR,
    UNNAMED_S,
)
from chivetrack.components.admission.endpoint_slots import EndpointSlots
from chivetrack.components.admission.messages import (
    SlotAnswer,
    SlotCandidate,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.admission.waiting import WaitingList, WaitingRequest


@dataclass(frozen=True, slots=True)
class AddressedAnswer:
    """An answer and the router that it goes to."""

    target: str
    answer: SlotAnswer


class SlotScheduler:
    """Grants slots one by one, queues requests for a short time and refuses the rest at once.

    Load that it answers: dozens of routers before a few endpoints with few slots, each router with
    one or two requests per second. Counts that routers exchange are older than a request lasts, so
    all routers find the same endpoint idle and fill it together, while others stand idle; full
    endpoints then reject, and what they queue is answered after its latency target.

    Requests that can still be answered within their latency target go first, and share the slots
    by workspace and rank as ``WaitingList`` tells. A few that can't wait behind them, for a part
    of their time; all others are refused at once, and their callers are told a time at which there
    is room.
    """

    def __init__(self, *, random: Random) -> None:
        """Initialize without endpoints; they are known from requests."""
        self._random = random
        self._endpoints: dict[str, EndpointSlots] = {}
        self._waiting = WaitingList()
        self._next_return_at = 0.0
        self.last_used_at = float("-inf")
        self.granted = 0
        self.refused = 0

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def count_running(self) -> int:
        """Return how many slots are in use."""
        return sum(len(one.leases) for one in self._endpoints.values())

    def request(self, source: str, request: SlotRequest, *, now: float) -> list[AddressedAnswer]:
        """Handle a request of a router; return answers, also to requests that waited before."""
        self.last_used_at = now
        self._refresh(request.candidates, now)
        self._waiting.add(
            source,
            request,
            now=now,
            in_time_until=now + self._find_longest_wait(request),
            ends_at=now + LONGEST_WAIT_SHARE * request.hold_s,
        )
        answers = [*self._grant_free(now), *self._refuse_late(now)]
        key = (source, request.number)
        for place, waiting in enumerate(self._waiting):
            if waiting.key == key:
                queued = SlotAnswer(
                    number=request.number,
                    state=SlotState.QUEUED,
                    wait_s=self._expect_wait_s(waiting, place),
                )
                answers.append(AddressedAnswer(source, queued))
        return answers

    def release(self, source: str, release: SlotRelease, *, now: float) -> list[AddressedAnswer]:
        """Free a slot or withdraw a request; return the answers to those that waited for it."""
        key = (source, release.number)
        self._waiting.remove(*key)
        for endpoint in self._endpoints.values():
            if endpoint.release(key, took_s=release.took_s) and release.is_rejected:
                endpoint.record_full(now)
        return self.wake(now=now)

    def wake(self, *, now: float) -> list[AddressedAnswer]:
        """Grant slots whose leases have expired and refuse what waits in vain."""
        self._forget_gone(now)
        return [*self._grant_free(now), *self._refuse_late(now)]

    def dismiss(self) -> list[AddressedAnswer]:
        """Return answers to all that wait: their routers send them without a slot."""
        return [
            AddressedAnswer(
                waiting.source,
                SlotAnswer(number=waiting.request.number, state=SlotState.NOT_LEADING),
            )
            for waiting in self._waiting
        ]

    def _refresh(self, candidates: tuple[SlotCandidate, ...], now: float) -> None:
        for candidate in candidates:
            known = self._endpoints.get(candidate.endpoint_id)
            if known is None:
                self._endpoints[candidate.endpoint_id] = EndpointSlots(
                    slots=candidate.slots, mean_s=self._find_usual_s(), named_at=now
                )
            else:
                known.slots, known.named_at = candidate.slots, now
        self._forget_gone(now)

    def _forget_gone(self, now: float) -> None:
        """Forget the leases that have expired, and the endpoints that have left."""
        for endpoint_id, endpoint in list(self._endpoints.items()):
            endpoint.drop_expired(now)
            if now - endpoint.named_at > UNNAMED_S and not endpoint.leases:
                del self._endpoints[endpoint_id]

    def _find_usual_s(self) -> float:
        """Return the service time (s) of the fastest endpoint."""
        return min((one.mean_s for one in self._endpoints.values()), default=START_SERVICE_S)

    def _find_longest_wait(self, request: SlotRequest) -> float:
        """Return how long (s) a request may wait.

        One that is late already, such as a retry, may still wait for one service time: its caller
        would come back no sooner.
        """
        usual_s = self._find_usual_s()
        service_s = (TAIL_FACTOR + QUEUED_SHARE) * usual_s
        return min(request.hold_s, max(usual_s, request.target_s - service_s))

    def _grant_free(self, now: float) -> Iterator[AddressedAnswer]:
        for waiting in self._waiting:
            if not self._has_any_room(now):
                return
            candidate = self._find_free(waiting.request, now)
            if candidate is None:
                continue
            self._waiting.serve(waiting)
            self._endpoints[candidate.endpoint_id].lease(
                waiting.key, now=now, hold_s=waiting.request.hold_s
            )
            self.granted += 1
            answer = SlotAnswer(
                number=waiting.request.number,
                state=SlotState.GRANTED,
                endpoint_id=candidate.endpoint_id,
            )
            yield AddressedAnswer(waiting.source, answer)

    def _has_any_room(self, now: float) -> bool:
        return any(one.has_room(now=now, is_slow=False) for one in self._endpoints.values())

    def _find_free(self, request: SlotRequest, now: float) -> SlotCandidate | None:
        """Return the candidate with room that answers first, ``None`` if all are full."""
        fastest_s = min(self._endpoints[one.endpoint_id].mean_s for one in request.candidates)
        free = [one for one in request.candidates if self._has_room(one, fastest_s, now)]
        return min(free, key=self._expect_cost_ms, default=None)

    def _has_room(self, candidate: SlotCandidate, fastest_s: float, now: float) -> bool:
        endpoint = self._endpoints[candidate.endpoint_id]
        is_slow = endpoint.mean_s > SLOW_FACTOR * fastest_s
        return endpoint.has_room(now=now, is_slow=is_slow)

    def _expect_cost_ms(self, candidate: SlotCandidate) -> float:
        return candidate.cost_ms + self._endpoints[candidate.endpoint_id].expect_s() * 1000

    def _refuse_late(self, now: float) -> Iterator[AddressedAnswer]:
        """Postpone requests that would get a slot too late, and refuse what has no room then."""
        place = 0
        for waiting in self._waiting:
            if waiting.is_late:
                if now < waiting.ends_at:
                    continue
            elif now + self._expect_wait_s(waiting, place) <= waiting.in_time_until:
                place += 1
                continue
            elif self._has_room_for_late(waiting):
                self._waiting.postpone(waiting)
                continue
            self._waiting.remove(*waiting.key)
            self.refused += 1
            answer = SlotAnswer(
                number=waiting.request.number,
                state=SlotState.REFUSED,
                wait_s=self._find_return_s(waiting.request, now),
            )
            yield AddressedAnswer(waiting.source, answer)

    def _has_room_for_late(self, waiting: WaitingRequest) -> bool:
        return self._waiting.late_count < LATE_ROOM_S * self._find_rate(waiting.request)

    def _find_rate(self, request: SlotRequest) -> float:
        """Return how many requests per second the candidates serve."""
        return sum(self._endpoints[one.endpoint_id].rate for one in request.candidates)

    def _expect_wait_s(self, waiting: WaitingRequest, place: int) -> float:
        """Return the expected wait (s) of a request with ``place`` others before it."""
        return (place + 1) / self._find_rate(waiting.request)

    def _find_return_s(self, request: SlotRequest, now: float) -> float:
        """Return after what time (s) the caller of a refused request finds room.

        Refused callers get successive times at a part of the service's rate. Otherwise those that
        were refused together return together and are refused again.
        """
        longest_s = max(
            MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, request.hold_s * HONOURED_HOLD_SHARE)
        )
        return_at = max(self._next_return_at, now + MIN_RETRY_AFTER_S)
        if return_at > now + longest_s:
            return self._random.uniform(MIN_RETRY_AFTER_S, longest_s)
        self._next_return_at = return_at + 1 / (RETURN_SHARE * self._find_rate(request))
        return return_at - now
