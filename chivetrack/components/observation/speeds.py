"""Speed of the endpoints of one service, from the answers to its requests."""

import math
from dataclasses import dataclass

from chivetrack.components.observation.decaying import DecayingMean
from chivetrack.components.observation.median import RunningMedian, RunningQuantile

# Initial values until answers arrive; eight answers replace them.
START_READ_TOKENS_PER_MS = 57.0
START_FIRST_MS = 15.0
START_ANSWER_MS = 1000.0
START_PLAIN_MS = 30.0
START_TOKEN_MS = 2.0

# Prompts with at most SMALL_READ_TOKENS unread tokens are samples of the time to the first event
# without reading; those with at least LARGE_READ_TOKENS are samples of the reading rate.
SMALL_READ_TOKENS = 300
LARGE_READ_TOKENS = 1000

# Half-life of the slowness of an endpoint, in seconds: a crashed engine returns, and the load of
# a noisy neighbour ends, within a few half-lives.
SLOWNESS_HALF_LIFE_S = 3.0
# Number of samples at the usual speed of the service that is added to those of an endpoint, since
# the time of a single request depends more on the request than on the endpoint.
PRIOR_SAMPLES = 3.0
# Limit on the slowness of one sample, as a factor of the usual time.
MAX_SLOWNESS_SAMPLE = 8.0

# Half-life of what an endpoint reports of its speed, in seconds. The load of other programs on its
# machine changes several times a second, so a report tells little after half a second.
REPORT_HALF_LIFE_S = 0.2

# About two of a hundred answers exceed the expected time by more than the tail factor.
TAIL_QUANTILE = 0.98
# A quarter of the answers takes longer per token that the caller expected.
TOKEN_TIME_QUANTILE = 0.75
START_TAIL_FACTOR = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _SpeedReport:
    log_factor: float
    at: float


class ServiceSpeeds:
    """Estimates the reading rate and answer times of a service, and each endpoint's slowness.

    Engines may be faster or slower than the initial values, differ among each other, and turn
    slow at any time. With fixed values a slow engine would go on getting its full share of
    requests, and all of these would be late.
    """

    def __init__(self) -> None:
        """Initialize the estimates with values that the first answers replace."""
        self._rate = RunningMedian(START_READ_TOKENS_PER_MS)
        self._first = RunningMedian(START_FIRST_MS)
        self._answer = RunningMedian(START_ANSWER_MS)
        self._plain = RunningMedian(START_PLAIN_MS)
        self._tail_factor = RunningQuantile(START_TAIL_FACTOR, share=TAIL_QUANTILE)
        self._token = RunningQuantile(START_TOKEN_MS, share=TOKEN_TIME_QUANTILE)
        self.has_streams = False
        # Decaying mean of log(observed time / usual time), by endpoint id.
        self._slowness: dict[str, DecayingMean] = {}
        self._reports: dict[str, _SpeedReport] = {}

    @property
    def tail_factor(self) -> float:
        """Return the factor by which the slowest of fifty answers exceeds its expected time."""
        return self._tail_factor.value

    @property
    def read_tokens_per_ms(self) -> float:
        """Return the number of prompt tokens per ms that an endpoint of usual speed reads."""
        return self._rate.value

    @property
    def answer_ms(self) -> float:
        """Return the usual time from the first event to the end of a stream."""
        return self._answer.value

    @property
    def plain_ms(self) -> float:
        """Return the usual time of a request without a prompt."""
        return self._plain.value

    def expect_first_ms(self, endpoint_id: str, tokens: float, now: float) -> float:
        """Return the expected time to the first event if ``tokens`` are read before it."""
        usual = self._first.value + tokens / self._rate.value
        return usual * self.find_slowness(endpoint_id, now)

    def expect_answer_ms(self, tokens: int) -> float:
        """Return the time that most streams of ``tokens`` output tokens do not exceed.

        If ``tokens`` is 0, the usual time of a stream is returned.
        """
        return tokens * self._token.value if tokens else self._answer.value

    def expect_plain_ms(self, endpoint_id: str, now: float) -> float:
        """Return the expected time of a request without a prompt."""
        return self._plain.value * self.find_slowness(endpoint_id, now)

    def find_slowness(self, endpoint_id: str, now: float) -> float:
        """Return the factor by which an endpoint is slower than its service.

        What it has reported itself counts the more the newer it is; the rest is learned from
        its answers.
        """
        learned = self._slowness.get(endpoint_id)
        log_learned = 0.0 if learned is None else learned.find(now)
        report = self._reports.get(endpoint_id)
        if report is None:
            return math.exp(log_learned)
        share = 0.5 ** ((now - report.at) / REPORT_HALF_LIFE_S)
        return math.exp((1 - share) * log_learned + share * report.log_factor)

    def record_report(self, endpoint_id: str, work_factor: float, *, now: float) -> None:
        """Record how long work takes at an endpoint as it reports itself, 1.0 as usual."""
        factor = min(MAX_SLOWNESS_SAMPLE, max(1.0 / MAX_SLOWNESS_SAMPLE, work_factor))
        self._reports[endpoint_id] = _SpeedReport(log_factor=math.log(factor), at=now)

    def record_first_event(
        self, endpoint_id: str, *, tokens: float, took_ms: float, now: float
    ) -> None:
        """Record a first event after ``took_ms``, with ``tokens`` read before it."""
        expected = self._first.value + tokens / self._rate.value
        self._record_ratio(endpoint_id, took_ms, expected, now)
        if tokens <= SMALL_READ_TOKENS:
            self._first.add(max(0.1, took_ms - tokens / self._rate.value))
        elif tokens >= LARGE_READ_TOKENS and took_ms > self._first.value:
            self._rate.add(tokens / (took_ms - self._first.value))

    def record_overtaken(
        self, endpoint_id: str, *, tokens: float | None, took_ms: float, now: float
    ) -> None:
        """Record that another endpoint answered first, ``took_ms`` after the request was sent here.

        ``tokens`` are read before the first event, ``None`` for a request without a prompt.
        """
        reading_ms = 0.0 if tokens is None else tokens / self._rate.value
        usual_ms = self._plain.value if tokens is None else self._first.value + reading_ms
        self._record_ratio(endpoint_id, took_ms, usual_ms, now)

    def record_stream(self, took_ms: float, *, tokens: int = 0) -> None:
        """Record a stream that ended ``took_ms`` after its first event.

        ``tokens`` is the length that its caller expected, or 0 if unknown.
        """
        self.has_streams = True
        self._answer.add(took_ms)
        if tokens:
            self._token.add(took_ms / tokens)

    def record_plain_answer(self, endpoint_id: str, *, took_ms: float, now: float) -> None:
        """Record a complete answer without a stream."""
        self._record_ratio(endpoint_id, took_ms, self._plain.value, now)
        self._plain.add(took_ms)

    def _record_ratio(self, endpoint_id: str, took_ms: float, usual_ms: float, now: float) -> None:
        ratio = took_ms / usual_ms
        self._tail_factor.add(ratio / self.find_slowness(endpoint_id, now))
        slowness = self._slowness.get(endpoint_id)
        if slowness is None:
            slowness = DecayingMean(half_life_s=SLOWNESS_HALF_LIFE_S, prior=PRIOR_SAMPLES, at=now)
            self._slowness[endpoint_id] = slowness
        sample = min(MAX_SLOWNESS_SAMPLE, max(1.0 / MAX_SLOWNESS_SAMPLE, ratio))
        slowness.add(math.log(sample), weight=1.0, now=now)

    def forget(self, endpoint_id: str) -> None:
        """Remove the slowness of an endpoint that has restarted or left."""
        self._slowness.pop(endpoint_id, None)
        self._reports.pop(endpoint_id, None)
