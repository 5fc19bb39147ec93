"""The schedulers of all plain services; without I/O."""

from random import Random

from chivetrack.components.admission.const import IDLE_S
from chivetrack.components.admission.messages import SlotRelease, SlotRequest
from chivetrack.components.admission.scheduler import AddressedAnswer, SlotScheduler


class SlotSchedulers:
    """Routes requests and releases to the scheduler of their service.

    The state is soft: the next leader begins without it. It grants slots that are still in use
    for one service time, and endpoints queue a few requests meanwhile.
    """

    def __init__(self, *, random: Random) -> None:
        """Initialize without services."""
        self._random = random
        self._schedulers: dict[str, SlotScheduler] = {}

    def request(self, source: str, request: SlotRequest, *, now: float) -> list[AddressedAnswer]:
        """Handle a request of a router for a slot."""
        scheduler = self._schedulers.get(request.service)
        if scheduler is None:
            scheduler = SlotScheduler(random=self._random)
            self._schedulers[request.service] = scheduler
        return scheduler.request(source, request, now=now)

    def release(self, source: str, release: SlotRelease, *, now: float) -> list[AddressedAnswer]:
        """Handle the end of a request, also of one that was never granted a slot."""
        scheduler = self._schedulers.get(release.service)
        return [] if scheduler is None else scheduler.release(source, release, now=now)

    def wake(self, *, now: float) -> list[AddressedAnswer]:
        """Grant what has become free by itself; forget services that are not used."""
        for service, scheduler in list(self._schedulers.items()):
            if now - scheduler.last_used_at > IDLE_S:
                del self._schedulers[service]
        return [
            answer for scheduler in self._schedulers.values() for answer in scheduler.wake(now=now)
        ]

    def clear(self) -> list[AddressedAnswer]:
        """Forget everything, since this replica does not lead any more; answer what waits."""
        answers = [
            answer for scheduler in self._schedulers.values() for answer in scheduler.dismiss()
        ]
        self._schedulers.clear()
        return answers

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the counts of each service, for a log line."""
        return {
            service: {
                "running": one.count_running(),
                "waiting": one.waiting_count,
                "granted": one.granted,
                "refused": one.refused,
            }
            for service, one in self._schedulers.items()
        }
