"""Running quantiles of positive numbers of unknown magnitude."""

import math

# Factor by which one sample moves the median, and its maximum after several samples on the same
# side. A median that is off by a factor of three is corrected after eight samples.
FIRST_STEP = 1.05
LAST_STEP = 1.3


class RunningMedian:
    """Running median of the samples; a few outliers hardly move it.

    A mean would follow outliers, which are frequent here: the estimate of an endpoint's cache
    or queue is wrong for one request in five, and then by any factor.
    """

    def __init__(self, start: float) -> None:
        """Initialize the median with ``start``, in the unit of the samples."""
        self.value = start
        self._step = math.log(FIRST_STEP)
        self._was_above: bool | None = None

    def add(self, sample: float) -> None:
        """Move the median towards a sample."""
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
    """Running high quantile: one sample above raises it, and many below lower it slowly."""

    def __init__(self, start: float, *, share: float) -> None:
        """Initialize the quantile with ``start``; ``share`` of the samples are to be below it."""
        self.value = start
        self._minimum = start
        self._share = share

    def add(self, sample: float) -> None:
        """Move the quantile towards a sample, but never below the start value."""
        if sample > self.value:
            self.value *= math.exp(math.log(LAST_STEP) * self._share)
        else:
            self.value *= math.exp(-math.log(LAST_STEP) * (1 - self._share))
        self.value = max(self._minimum, self.value)
