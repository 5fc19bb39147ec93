"""Running quantiles of positive figures whose size is not known beforehand."""

import math

# Factor by which one sample moves the median, and the most after several on one side. A
# median that is wrong by three is right again after eight samples.
FIRST_STEP = 1.05
LAST_STEP = 1.3


class RunningMedian:
    """Follows the median of what it is told; a few samples far off hardly move it.

    A mean would follow outliers, which are the rule here: what is believed of an endpoint's
    cache or queue is wrong for one request in five, and then by any factor.
    """

    def __init__(self, start: float) -> None:
        """Begin at ``start``, in the unit of the samples."""
        self.value = start
        self._step = math.log(FIRST_STEP)
        self._was_above: bool | None = None

    def add(self, sample: float) -> None:
        """Move towards a sample."""
        is_above = sample > self.value
        if is_above is self._was_above:
            self._step = min(self._step * 1.25, math.log(LAST_STEP))
        else:
            self._step = math.log(FIRST_STEP)
        self._was_above = is_above
        if sample <= 0:
            self.value /= math.exp(self._step)
            return
        distance = math.log(sample / self.value)
        self.value *= math.exp(max(-self._step, min(self._step, distance)))


class RunningQuantile:
    """Follows a high quantile: a sample above moves it up at once, many below slowly down."""

    def __init__(self, start: float, *, share: float) -> None:
        """Begin at ``start``; ``share`` of the samples are to be below."""
        self.value = start
        self._least = start
        self._share = share

    def add(self, sample: float) -> None:
        """Move towards a sample; never below the start."""
        if sample > self.value:
            self.value *= math.exp(math.log(LAST_STEP) * self._share)
        else:
            self.value *= math.exp(-math.log(LAST_STEP) * (1 - self._share))
        self.value = max(self._least, self.value)
