"""The limits in force for a workspace: its own, and those of matching limit resources."""

from collections.abc import Iterable, Iterator

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.limits.models import WorkspaceLimit
from chivetrack.components.pipeline.models import WorkspaceView
from chivetrack.components.resources.const import ANY_NAME
from chivetrack.components.resources.models import Limit

MIN_BURST = 1.0


class ConfiguredLimits:
    """Reads limits from the configuration; the narrowest of all that match holds.

    Limit resources for one service or one model are not applied yet: a workspace has
    one gate for all it sends.
    """

    def __init__(self, *, view: ConfigView) -> None:
        """Take the configuration."""
        self._view = view

    def find_limit(self, workspace: WorkspaceView) -> WorkspaceLimit | None:
        """Return the limits of a workspace, ``None`` without any."""
        matching = list(self._list_matching(workspace.name))
        rate = _find_least([workspace.rate, *(each.rate for each in matching)])
        concurrency = _find_least([workspace.concurrency, *(each.concurrency for each in matching)])
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
            is_whole = limit.service == ANY_NAME and limit.model == ANY_NAME
            if is_whole and limit.workspace in (workspace, ANY_NAME):
                yield limit


def _find_least(values: Iterable[float | None]) -> float | None:
    return min((value for value in values if value is not None), default=None)
