"""The functions of the instance that the management routes depend on."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

from expression import Result

from chivetrack.exceptions import Fault

Document: TypeAlias = dict[str, Any]
Lookup: TypeAlias = Callable[[str], Document | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ManagementPorts:
    """The functions of the instance that the management routes call.

    ``explain_request`` and ``explain_endpoint`` return ``None`` for a request or endpoint
    that this instance does not know. The other functions may block the calling greenlet.
    """

    check_operator: Callable[[str], bool]
    read_status: Callable[[], Document]
    explain_request: Lookup
    explain_endpoint: Lookup
    add_replica: Callable[[str], Result[None, Fault]]
    remove_replica: Callable[[str], Result[None, Fault]]
    read_backup: Callable[[], Result[bytes, Fault]]
