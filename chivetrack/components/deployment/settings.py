"""Settings of one process of a deployment with separate router and replica processes."""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec
from expression import Result
from msgspec import Meta

from chivetrack.components.memory.const import DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB
from chivetrack.helpers.finding import Findings
from chivetrack.helpers.sections.structs import StructSection, parse_structs
from chivetrack.helpers.sections.text import Problem, read_text
from chivetrack.helpers.sections.values import Address, LogLevel

Seconds = float


class ProcessRole(StrEnum):
    """Role of a process in the deployment."""

    ROUTER = "router"
    REPLICA = "replica"


class ProcessSettings(StructSection, frozen=True, kw_only=True):
    """What this process is and where it stands."""

    name: Annotated[
        str, Meta(min_length=1, description="Name of this instance in logs and metrics.")
    ]
    role: Annotated[ProcessRole, Meta(description="`router` or `replica`.")]
    availability_zone: Annotated[str, Meta(min_length=1, description="Where this instance stands.")]
    data_folder: Annotated[
        Path | None, Meta(description="The one folder that a replica writes in.")
    ] = None


class ProcessListeners(StructSection, frozen=True, kw_only=True):
    """Addresses that this process listens on."""

    peer: Annotated[
        Address, Meta(description="Messages between processes; also the id of the process.")
    ]
    metrics: Annotated[Address | None, Meta(description="Metrics as text.")] = None
    callers: Annotated[Address | None, Meta(description="Requests; routers only.")] = None
    ready: Annotated[
        Address | None, Meta(description="Readiness for the balancer; routers only.")
    ] = None
    control: Annotated[
        Address | None, Meta(description="Operators and endpoints; replicas only.")
    ] = None


class FleetSettings(StructSection, frozen=True, kw_only=True):
    """How this process finds the replicas."""

    seeds: Annotated[
        tuple[Address, ...], Meta(min_length=1, description="Control addresses of some replicas.")
    ]
    is_first_start: Annotated[
        bool, Meta(description="Whether the deployment starts for the first time.")
    ] = False
    tolerated_losses: Annotated[
        int,
        Meta(ge=0, description="Replicas that may be lost at once; twice that and one vote."),
    ] = 1
    zones: Annotated[
        tuple[str, ...],
        Meta(description="All availability zones; orders for others are refused. None: any."),
    ] = ()


class BoundSettings(StructSection, frozen=True, kw_only=True):
    """Bounds that operators set; times in seconds."""

    retry_ratio: Annotated[float, Meta(ge=0, description="Repeats for each request.")] = 0.2
    retry_slack: Annotated[float, Meta(ge=0, description="Repeats on top, fleet-wide.")] = 20.0
    retry_window_s: Annotated[Seconds, Meta(gt=0, description="Window of the budget.")] = 10.0
    stop_within_s: Annotated[Seconds, Meta(gt=0, description="From SIGTERM to the kill.")] = 8.0
    catch_up_s: Annotated[
        Seconds, Meta(gt=0, description="From a new replica's start until it must vote.")
    ] = 4.0


class ProcessLimitSettings(StructSection, frozen=True, kw_only=True):
    """What the machine gives this process; half of the memory may go to connections."""

    memory_mb: Annotated[
        int, Meta(ge=64, description="Memory of the machine, in MB; connections get half of it.")
    ] = DEFAULT_MEMORY_MB
    max_descriptors: Annotated[
        int,
        Meta(
            ge=256,
            description="File descriptors; three quarters of them, or of what the system "
            "allows, are for connections that others open.",
        ),
    ] = DEFAULT_MAX_DESCRIPTORS


class AdmissionSettings(StructSection, frozen=True, kw_only=True):
    """Whether the leading replica hands out the slots of plain services one by one."""

    schedules_slots: Annotated[bool, Meta(description="Whether slots are handed out.")] = False
    min_load: Annotated[
        float,
        Meta(ge=0, description="Mean share of a service's slots in use from which they are."),
    ] = 0.25


class HedgingSettings(StructSection, frozen=True, kw_only=True):
    """Whether slow requests that may be repeated are sent to a second endpoint."""

    max_share: Annotated[
        float, Meta(ge=0, le=1, description="Second sends for each request of a service; 0: none.")
    ] = 0.0
    max_load: Annotated[
        float,
        Meta(ge=0, description="Share of a service's slots in use from which there are none."),
    ] = 0.5


class PathSettings(StructSection, frozen=True, kw_only=True):
    """What a router does that has lost its path to a zone."""

    avoids_lost_zones: Annotated[
        bool,
        Meta(description="Whether requests stay out of zones that the router does not reach."),
    ] = False


class ProcessLogSettings(StructSection, frozen=True, kw_only=True):
    """Event lines on standard output."""

    level: Annotated[LogLevel, Meta(description="Least important level written.")] = LogLevel.INFO


class DeploymentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one process."""

    process: ProcessSettings
    listeners: ProcessListeners
    fleet: FleetSettings
    bounds: BoundSettings
    limits: ProcessLimitSettings
    admission: AdmissionSettings
    hedging: HedgingSettings
    paths: PathSettings
    log: ProcessLogSettings


def load_deployment(path: Path) -> Result[DeploymentSettings, Findings]:
    """Read a settings file; the error value of the result holds all findings."""
    return read_text(path).bind(lambda text: parse_deployment(text, source=str(path)))


def parse_deployment(text: str, *, source: str) -> Result[DeploymentSettings, Findings]:
    """Parse and check a settings text; findings name ``source`` as the place of the text."""
    return parse_structs(text, source=source, model=DeploymentSettings, check=_check_roles)


def _check_roles(sections: Mapping[str, StructSection]) -> Iterator[Problem]:
    process = sections.get("process")
    listeners = sections.get("listeners")
    if not isinstance(process, ProcessSettings) or not isinstance(listeners, ProcessListeners):
        return
    required_listeners = (
        ("control",) if process.role is ProcessRole.REPLICA else ("callers", "ready")
    )
    for name in required_listeners:
        if getattr(listeners, name) is None:
            text = f"is missing; role {process.role.value!r} listens there"
            yield Problem(path=("listeners", name), message=text)
    if process.role is ProcessRole.REPLICA and process.data_folder is None:
        yield Problem(path=("process", "data_folder"), message="is missing; a replica writes there")
