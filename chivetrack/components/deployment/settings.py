"""The settings of one process of a deployment that runs routers and replicas apart."""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path

from expression import Result
from pydantic import BaseModel, Field, StrictBool, StrictInt

from chivetrack.helpers.finding import Findings
from chivetrack.helpers.sections.base import AddressField, LogLevel, Section
from chivetrack.helpers.sections.reader import Problem, parse_sections, read_text

Seconds = float


class ProcessRole(StrEnum):
    """What a process is for."""

    ROUTER = "router"
    REPLICA = "replica"


class ProcessSettings(Section):
    """What this process is and where it stands."""

    name: str = Field(min_length=1, description="Name of this instance in logs and metrics.")
    role: ProcessRole = Field(description="`router` or `replica`.")
    availability_zone: str = Field(min_length=1, description="Where this instance stands.")
    data_folder: Path | None = Field(
        default=None, description="The one folder that a replica writes in."
    )


class ProcessListeners(Section):
    """Addresses that this process listens on."""

    peer: AddressField = Field(
        description="Messages between processes; also the id of the process."
    )
    metrics: AddressField | None = Field(default=None, description="Metrics as text.")
    callers: AddressField | None = Field(default=None, description="Requests; routers only.")
    ready: AddressField | None = Field(
        default=None, description="Readiness for the balancer; routers only."
    )
    control: AddressField | None = Field(
        default=None, description="Operators and endpoints; replicas only."
    )


class FleetSettings(Section):
    """How this process finds the replicas."""

    seeds: tuple[AddressField, ...] = Field(
        min_length=1, description="Control addresses of some replicas."
    )
    is_first_start: StrictBool = Field(
        default=False, description="Whether the deployment starts for the first time."
    )
    tolerated_losses: StrictInt = Field(
        default=1, ge=0, description="Replicas that may be lost at once; twice that and one vote."
    )


class BoundSettings(Section):
    """Bounds that operators set; times in seconds."""

    retry_ratio: float = Field(default=0.2, ge=0, description="Repeats for each request.")
    retry_slack: float = Field(default=20.0, ge=0, description="Repeats on top, fleet-wide.")
    retry_window_s: Seconds = Field(default=10.0, gt=0, description="Window of the budget.")
    stop_within_s: Seconds = Field(default=8.0, gt=0, description="From SIGTERM to the kill.")


class ProcessLogSettings(Section):
    """Event lines on standard output."""

    level: LogLevel = Field(default=LogLevel.INFO, description="Least important level written.")


class DeploymentSettings(BaseModel):
    """All settings of one process."""

    process: ProcessSettings
    listeners: ProcessListeners
    fleet: FleetSettings
    bounds: BoundSettings = BoundSettings()
    log: ProcessLogSettings = ProcessLogSettings()


def load_deployment(path: Path) -> Result[DeploymentSettings, Findings]:
    """Read a settings file; the error side holds everything that is wrong with it."""
    return read_text(path).bind(lambda text: parse_deployment(text, source=str(path)))


def parse_deployment(text: str, *, source: str) -> Result[DeploymentSettings, Findings]:
    """Check a settings text; ``source`` names it in the findings' places."""
    return parse_sections(text, source=source, model=DeploymentSettings, check=_check_roles)


def _check_roles(valid: dict[str, Section]) -> Iterator[Problem]:
    process = valid.get("process")
    listeners = valid.get("listeners")
    if not isinstance(process, ProcessSettings) or not isinstance(listeners, ProcessListeners):
        return
    needed = ("control",) if process.role is ProcessRole.REPLICA else ("callers", "ready")
    for name in needed:
        if getattr(listeners, name) is None:
            text = f"is missing; role {process.role.value!r} listens there"
            yield Problem(path=("listeners", name), message=text)
    if process.role is ProcessRole.REPLICA and process.data_folder is None:
        yield Problem(path=("process", "data_folder"), message="is missing; a replica writes there")
