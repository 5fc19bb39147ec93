"""The filters, one file each; importing this package registers them all."""

from chivetrack.components.pipeline.filters import (
    claim,
    classify,
    deadline,
    forward,
    identify,
    limit,
    route,
    trace,
)

__all__ = ["claim", "classify", "deadline", "forward", "identify", "limit", "route", "trace"]
