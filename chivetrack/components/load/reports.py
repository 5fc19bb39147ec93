"""Load reports of engines."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's load report, less this router's own requests at the time of the report."""

    incarnation: int
    as_of: float
    others_in_flight: int
