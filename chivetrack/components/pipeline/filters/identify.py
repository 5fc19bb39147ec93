"""Finds the workspace that a request belongs to."""

from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.chain import FILTERS, PROCEED, PassingFilter, Refused, Step
from chivetrack.components.pipeline.const import (
    BEARER_PREFIX,
    HEADER_AUTHORIZATION,
    HEADER_WORKSPACE,
)
from chivetrack.components.pipeline.models import Directory, Exchange

CONFIRM_RETRY_AFTER_S = 1.0


@FILTERS.register("identify")
class IdentifyFilter(PassingFilter):
    """Checks the caller's key and fills in the workspace, its policy and its priority."""

    def __init__(self, *, directory: Directory) -> None:
        """Initialize with the configuration in force."""
        self._directory = directory

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Identify the workspace; refuse unknown workspaces and wrong keys."""
        if not self._directory.is_confirmed(now):
            # A router without contact to the replicas can't know whether a workspace was
            # closed or an endpoint drained, and would apply an outdated configuration.
            return Refused(faults.unconfirmed_configuration(CONFIRM_RETRY_AFTER_S))
        given = exchange.request.headers.get(HEADER_AUTHORIZATION, "")
        if not given.startswith(BEARER_PREFIX):
            return Refused(faults.missing_key())
        return self._check_key(exchange, given.removeprefix(BEARER_PREFIX).strip())

    def _check_key(self, exchange: Exchange, key: str) -> Step:
        name = exchange.request.headers.get(HEADER_WORKSPACE)
        if name is None:
            workspace = self._directory.find_workspace_by_key(key)
            if workspace is None:
                return Refused(faults.bad_key())
        else:
            workspace = self._directory.find_workspace(name)
            if workspace is None:
                return Refused(faults.unknown_workspace(name))
            if not self._directory.check_key(workspace, key):
                return Refused(faults.bad_key())
        exchange.workspace = workspace
        exchange.policy = self._directory.get_policy(workspace)
        exchange.priority = workspace.priority
        return PROCEED
