"""Limits in force for a workspace, from the workspace and matching limit resources."""

from collections.abc import Iterable, Iterator

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.limits.models import WorkspaceLimit
from chivetrack.components.pipeline.models import WorkspaceView
from chivetrack.components.resources.const import ANY_NAME
from chivetrack.components.resources.models import Limit

MIN_BURST = 1.0


class ConfiguredLimits:
    """Reads limits from the configuration; the lowest of all matching limits applies.

    Limit resources for a single service or model are not applied yet, because a workspace
    has one limiter for all its requests.
    """

    def __init__(self, *, view: ConfigView) -> None:
        """Create a reader of the limits in ``view``."""
        self._view = view

    def find_limit(self, workspace: WorkspaceView) -> WorkspaceLimit | None:
        """Return the limits of a workspace, ``None`` if it has no limits."""
        matching = list(self._list_matching(workspace.name))
        rate = _find_lowest([workspace.rate, *(limit.rate for limit in matching)])
        concurrency = _find_lowest(
            [workspace.concurrency, *(limit.concurrency for limit in matching)]
        )
        if rate is None and concurrency is None:
            return None
        return WorkspaceLimit(
            rate_per_s=rate,
            burst=max(MIN_BURST, rate or 0.0),
            concurrency=None if concurrency is None else int(concurrency),
        )

    def _list_matching(self, workspace: str) -> Iterator[Limit]:
        for named in self._view.list_named("limit"):
            limit: Limit = named.form
            applies_to_all = limit.service == ANY_NAME and limit.model == ANY_NAME
            if applies_to_all and limit.workspace in (workspace, ANY_NAME):
                yield limit


def _find_lowest(values: Iterable[float | None]) -> float | None:
    return min((value for value in values if value is not None), default=None)
