"""Probes that this instance makes as a witness, for instances that suspect others."""

from dataclasses import dataclass

from chivetrack.components.membership.const import PROBE_TIMEOUT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeTask:
    """A probe on behalf of ``requester``, which times out at ``due``."""

    requester: str
    request_number: int
    target: str
    due: float


class ProbeTasks:
    """The running probes by the number in their ``Ping``."""

    def __init__(self) -> None:
        """Start without probes."""
        self._tasks: dict[int, ProbeTask] = {}
        self._last_number = 0

    def start(self, *, requester: str, request_number: int, target: str, now: float) -> int:
        """Record a probe and return its number."""
        self._last_number += 1
        self._tasks[self._last_number] = ProbeTask(
            requester=requester,
            request_number=request_number,
            target=target,
            due=now + PROBE_TIMEOUT_S,
        )
        return self._last_number

    def finish(self, number: int, target: str) -> ProbeTask | None:
        """Return and remove the probe that an answer from ``target`` completes."""
        task = self._tasks.get(number)
        if task is None or task.target != target:
            return None
        return self._tasks.pop(number)

    def pop_overdue(self, now: float) -> list[ProbeTask]:
        """Return and remove the probes that have timed out."""
        overdue = [number for number, task in self._tasks.items() if now >= task.due]
        return [self._tasks.pop(number) for number in overdue]

    def drop_all(self) -> None:
        """Drop all probes.

        After a freeze, a process can't distinguish a lost answer from a late one.
        """
        self._tasks.clear()
