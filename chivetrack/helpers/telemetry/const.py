"""Names, limits and intervals of telemetry."""

from typing import Final

SCOPE: Final = "chivetrack"

# Ended spans that wait for the export; beyond the limit the oldest are dropped. A span takes
# about 2 kB, so the queue takes at most about 1 MB.
MAX_QUEUED_SPANS: Final = 512
MAX_SPANS_PER_EXPORT: Final = 128
SPAN_EXPORT_INTERVAL_S: Final = 5.0
METRIC_EXPORT_INTERVAL_S: Final = 30.0
EXPORT_TIMEOUT_S: Final = 5.0
CLOSE_WITHIN_S: Final = 2.0

# Distinct attribute sets that an instrument stores; measurements with further sets are
# counted in one overflow entry.
MAX_SERIES_PER_INSTRUMENT: Final = 200

DURATION_BOUNDS_S: Final = (0.005, 0.02, 0.075, 0.2, 0.41, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0)
