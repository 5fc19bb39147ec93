"""Reports that engines give of their own load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's report, less this router's own requests at the time it was taken."""

    incarnation: int
    as_of: float
    others_in_flight: int
