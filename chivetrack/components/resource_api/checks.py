"""Checks of a specification against the rest of the configuration, by kind.

The checks read the router's own view, so two concurrent writes that conflict may both
pass. Code that uses the checked resources must tolerate such conflicts.
"""

from collections.abc import Callable
from typing import Any

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.resources.specs import WorkspaceSpec
from chivetrack.helpers.finding import Findings
from chivetrack.helpers.registry import Registry

Check = Callable[[ConfigView, str, Any, Findings], None]

CHECKS: Registry[Check] = Registry(name="check")


def check_against_view(
    view: ConfigView, kind: str, name: str, spec: Any, findings: Findings
) -> None:
    """Run the check of a kind, if it has one."""
    check = CHECKS.get(kind)
    if check is not None:
        check(view, name, spec, findings)


@CHECKS.register("workspace")
def check_keys(view: ConfigView, name: str, spec: WorkspaceSpec, findings: Findings) -> None:
    """Report keys of another workspace: their callers would be assigned to that one."""
    for index, key_hash in enumerate(spec.keys):
        others = [owner for owner in view.find_key_owners(key_hash) if owner != name]
        if others:
            findings.add(f"spec.keys[{index}]", f"is a key of workspace {others[0]!r}")
