"""Probes others on behalf of an instance that suspects them."""

from dataclasses import dataclass

from chivetrack.components.membership.const import PROBE_TIMEOUT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeTask:
    """A probe that this instance makes for another one."""

    requester: str
    request_number: int
    target: str
    due: float


class ProbeTasks:
    """The probes under way, by their own numbers."""

    def __init__(self) -> None:
        """Start with none."""
        self._tasks: dict[int, ProbeTask] = {}
        self._last_number = 0

    def start(self, *, requester: str, request_number: int, target: str, now: float) -> int:
        """Note a probe and return its number."""
        self._last_number += 1
        self._tasks[self._last_number] = ProbeTask(
            requester=requester,
            request_number=request_number,
            target=target,
            due=now + PROBE_TIMEOUT_S,
        )
        return self._last_number

    def finish(self, number: int, target: str) -> ProbeTask | None:
        """Return and drop the probe that an answer from ``target`` ends."""
        task = self._tasks.get(number)
        if task is None or task.target != target:
            return None
        return self._tasks.pop(number)

    def pop_overdue(self, now: float) -> list[ProbeTask]:
        """Return and drop the probes that got no answer in time."""
        overdue = [number for number, task in self._tasks.items() if now >= task.due]
        return [self._tasks.pop(number) for number in overdue]

    def drop_all(self) -> None:
        """Forget all probes: a process that was frozen can't tell lost from late."""
        self._tasks.clear()
