"""Measure the processor time of scheduling slots, and the sizes of its messages.

Run with: python -m benchmarks.admission
"""

import time
from random import Random

from chivetrack.components.admission.messages import (
    SlotAnswer,
    SlotCandidate,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.admission.scheduler import SlotScheduler
from chivetrack.helpers.codec import pack

REQUESTS = 20_000
ENDPOINTS = 3
SLOTS = 6
MICROSECONDS = 1e6


def make_request(number: int) -> SlotRequest:
    """Return a request of a router for a slot of three endpoints."""
    return SlotRequest(
        number=number,
        service="order-desk",
        workspace=f"workspace-{number % 24}",
        rank=number % 3,
        target_s=0.4,
        hold_s=4.0,
        candidates=tuple(
            SlotCandidate(endpoint_id=f"i-{one:010x}", slots=SLOTS, cost_ms=10.0 * one)
            for one in range(ENDPOINTS)
        ),
    )


def measure(waiting: int) -> float:
    """Return the time (us) of a request and its release while ``waiting`` others wait."""
    scheduler = SlotScheduler(random=Random(1))
    now, numbers = 0.0, iter(range(10 * REQUESTS))
    granted: list[int] = []
    while scheduler.waiting_count < waiting or not granted:
        answers = scheduler.request("r1", make_request(next(numbers)), now=now)
        granted += [one.answer.number for one in answers if one.answer.state is SlotState.GRANTED]
    began = time.perf_counter()
    for _ in range(REQUESTS):
        now += 0.0005
        number = granted.pop(0)
        release = SlotRelease(number=number, service="order-desk", took_s=0.09)
        answers = scheduler.release("r1", release, now=now)
        answers += scheduler.request("r1", make_request(next(numbers)), now=now)
        granted += [one.answer.number for one in answers if one.answer.state is SlotState.GRANTED]
    return (time.perf_counter() - began) / REQUESTS * MICROSECONDS


def main() -> None:
    """Print the times and sizes."""
    for waiting in (0, 10, 30):
        print(f"a request and its release, {waiting} waiting: {measure(waiting):.1f} us")
    granted = SlotAnswer(number=2**47, state=SlotState.GRANTED, endpoint_id="i-0123456789")
    release = SlotRelease(number=2**47, service="order-desk", took_s=0.09)
    for message in (make_request(2**47), granted, release):
        print(f"{type(message).__name__}: {len(pack(message))} bytes")


if __name__ == "__main__":
    main()
