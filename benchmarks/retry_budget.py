"""Costs of the retry budget: ``python -m benchmarks.retry_budget``."""

import time
from collections.abc import Callable

from chivetrack.components.retries.lender import SlackLender
from chivetrack.components.retries.messages import LeaseAnswer, LeaseRequest
from chivetrack.components.retries.service_budgets import ServiceRetryBudgets
from chivetrack.helpers.codec import pack

ROUNDS = 20_000
REQUESTS_PER_S = 32
WINDOW_S = 10.0
SLACK = 58.0


def time_call(call: Callable[[int], object]) -> float:
    """Return the processor time (us) of one of ``ROUNDS`` calls."""
    began = time.process_time()
    for number in range(ROUNDS):
        call(number)
    return (time.process_time() - began) / ROUNDS * 1e6


def measure_router() -> tuple[float, float]:
    """Return the time (us) to count a request, and to reserve and give back a retry."""
    budgets = ServiceRetryBudgets(ratio=0.2, window_s=WINDOW_S)
    step_s = 1 / REQUESTS_PER_S
    request = time_call(lambda number: budgets.record_request("llm", number * step_s))
    now = ROUNDS * step_s

    def reserve(_number: int) -> None:
        reservation = budgets.reserve("llm", now)
        assert reservation is not None
        budgets.release(reservation)

    return request, time_call(reserve)


def measure_lender(services: int) -> float:
    """Return the time (us) of a refusal while the slack of ``services`` services is lent."""
    lender = SlackLender(slack=SLACK, window_s=WINDOW_S)
    lender.confirm_leadership(1, at=-100.0)
    lender.confirm_leadership(1, at=0.0)
    for service in range(services):
        for _ in range(int(SLACK)):
            lender.lend(f"s{service}", now=0.0)
    return time_call(lambda number: lender.lend("s0", now=0.5))


def main() -> None:
    """Print all figures."""
    request, reserve = measure_router()
    print(f"router: count a request {request:.1f} us, reserve a retry {reserve:.1f} us")
    print(f"lender: refuse a retry with nine services lent {measure_lender(9):.1f} us")
    asked = len(pack(LeaseRequest(number=2**47, service="valuation-llm")))
    answered = len(pack(LeaseAnswer(number=2**47, wait_s=11.25)))
    print(f"messages: {asked} bytes to the lender, {answered} back")


if __name__ == "__main__":
    main()
