"""How fast the endpoints of one service are, learned from the answers of its requests."""

import math

from chivetrack.components.observation.decaying import DecayingMean
from chivetrack.components.observation.median import RunningMedian, RunningQuantile

# Where nothing has been seen yet; what is seen replaces them within eight answers.
START_READ_TOKENS_PER_MS = 57.0
START_FIRST_MS = 15.0
START_ANSWER_MS = 1000.0
START_PLAIN_MS = 30.0
START_TOKEN_MS = 2.0

# Prompts of fewer unread tokens tell of the time that reading does not take, larger ones of
# the rate of reading.
SMALL_READ_TOKENS = 300
LARGE_READ_TOKENS = 1000

# An endpoint's own slowness is believed for about so long, in seconds: a crashed engine
# comes back, and a noisy neighbour leaves, within some of these.
SLOWNESS_HALF_LIFE_S = 3.0
# So many samples at the service's own pace stand beside those of one endpoint, since a
# single request says more about itself than about its endpoint.
PRIOR_SAMPLES = 3.0
# One sample is taken for no more than this factor.
MAX_SLOWNESS_SAMPLE = 8.0

# Of a hundred answers about two may take longer than the service's usual spread.
TAIL_QUANTILE = 0.98
# A quarter of the answers takes longer for each token that the caller expected.
TOKEN_TIME_QUANTILE = 0.75
START_TAIL_FACTOR = 2.0


class ServiceSpeeds:
    """Learns reading rate, answer length and each endpoint's slowness of one service.

    It answers engines that are faster or slower than those the routers were tuned on, that
    differ among each other, and that turn slow in the middle of the day: with fixed figures
    a slow engine goes on getting its full share, and all of that share is late.
    """

    def __init__(self) -> None:
        """Start with figures that the first answers replace."""
        self._rate = RunningMedian(START_READ_TOKENS_PER_MS)
        self._first = RunningMedian(START_FIRST_MS)
        self._answer = RunningMedian(START_ANSWER_MS)
        self._plain = RunningMedian(START_PLAIN_MS)
        self._tail_factor = RunningQuantile(START_TAIL_FACTOR, share=TAIL_QUANTILE)
        self._token = RunningQuantile(START_TOKEN_MS, share=TOKEN_TIME_QUANTILE)
        # Of the logarithms of observed over expected times.
        self._slowness: dict[str, DecayingMean] = {}

    @property
    def tail_factor(self) -> float:
        """Return by which factor the slowest of fifty answers is over what was expected."""
        return self._tail_factor.value

    @property
    def read_tokens_per_ms(self) -> float:
        """Return how many prompt tokens an endpoint of usual speed reads in a ms."""
        return self._rate.value

    @property
    def answer_ms(self) -> float:
        """Return how long a stream usually takes after its first event."""
        return self._answer.value

    @property
    def plain_ms(self) -> float:
        """Return how long a request without a prompt usually takes."""
        return self._plain.value

    def expect_first_ms(self, endpoint_id: str, tokens: float, now: float) -> float:
        """Return the expected time to the first event with ``tokens`` to be read before it."""
        usual = self._first.value + tokens / self._rate.value
        return usual * self.find_slowness(endpoint_id, now)

    def expect_answer_ms(self, tokens: int) -> float:
        """Return how long a stream with ``tokens`` to come takes at most, for most streams.

        Without ``tokens`` the usual length is taken.
        """
        return tokens * self._token.value if tokens else self._answer.value

    def expect_plain_ms(self, endpoint_id: str, now: float) -> float:
        """Return the expected time of a request without a prompt."""
        return self._plain.value * self.find_slowness(endpoint_id, now)

    def find_slowness(self, endpoint_id: str, now: float) -> float:
        """Return by which factor an endpoint takes longer than its service does."""
        known = self._slowness.get(endpoint_id)
        return 1.0 if known is None else math.exp(known.find(now))

    def record_first_event(
        self, endpoint_id: str, *, tokens: float, took_ms: float, now: float
    ) -> None:
        """Learn from a first event that came after ``took_ms``; ``tokens`` were to be read."""
        expected = self._first.value + tokens / self._rate.value
        self._record_ratio(endpoint_id, took_ms, expected, now)
        if tokens <= SMALL_READ_TOKENS:
            self._first.add(max(0.1, took_ms - tokens / self._rate.value))
        elif tokens >= LARGE_READ_TOKENS and took_ms > self._first.value:
            self._rate.add(tokens / (took_ms - self._first.value))

    def record_stream(self, took_ms: float, *, tokens: int = 0) -> None:
        """Learn from a stream that ended ``took_ms`` after its first event.

        ``tokens`` is the length that its caller expected, 0 if unknown.
        """
        self._answer.add(took_ms)
        if tokens:
            self._token.add(took_ms / tokens)

    def record_plain_answer(self, endpoint_id: str, *, took_ms: float, now: float) -> None:
        """Learn from a whole answer without a stream."""
        self._record_ratio(endpoint_id, took_ms, self._plain.value, now)
        self._plain.add(took_ms)

    def _record_ratio(self, endpoint_id: str, took_ms: float, usual_ms: float, now: float) -> None:
        ratio = took_ms / usual_ms
        self._tail_factor.add(ratio / self.find_slowness(endpoint_id, now))
        known = self._slowness.get(endpoint_id)
        if known is None:
            known = DecayingMean(half_life_s=SLOWNESS_HALF_LIFE_S, prior=PRIOR_SAMPLES, at=now)
            self._slowness[endpoint_id] = known
        sample = min(MAX_SLOWNESS_SAMPLE, max(1.0 / MAX_SLOWNESS_SAMPLE, ratio))
        known.add(math.log(sample), weight=1.0, now=now)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of one endpoint: it has started again, or has gone."""
        self._slowness.pop(endpoint_id, None)
