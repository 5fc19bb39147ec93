"""The validated specifications of all kinds of resources, as operators write them."""

from typing import Annotated, Self

from pydantic import AwareDatetime, Field, StringConstraints, model_validator

from chivetrack.components.resources import const, models
from chivetrack.components.resources.kinds import Spec, resource_kind
from chivetrack.components.resources.models import Affinity, DrainTargetKind, Locality

Name = Annotated[str, StringConstraints(pattern=const.NAME_PATTERN)]
NameOrAny = Annotated[str, StringConstraints(pattern=rf"{const.NAME_PATTERN}|^\*$")]
KeyHash = Annotated[str, StringConstraints(pattern=const.KEY_HASH_PATTERN)]
Text = Annotated[str, StringConstraints(max_length=256)]
Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, Field(gt=0.0, le=86_400.0)]
Rate = Annotated[float, Field(gt=0.0, le=1e9)]
Concurrency = Annotated[int, Field(ge=1, le=1_000_000)]
Copies = Annotated[int, Field(ge=0, le=100_000)]


@resource_kind("workspace", form=models.Workspace)
class WorkspaceSpec(Spec):
    """A workspace: its callers' keys, the services and models it may use, and its limits."""

    display_name: Text = ""
    keys: Annotated[tuple[KeyHash, ...], Field(max_length=const.MAX_KEYS)] = ()
    services: tuple[NameOrAny, ...] = ()
    models: tuple[NameOrAny, ...] = ()
    priority: Annotated[int, Field(ge=0, le=const.MAX_PRIORITY)] = const.DEFAULT_PRIORITY
    policy: Name = const.DEFAULT_POLICY
    rate: Rate | None = None
    concurrency: Concurrency | None = None


class TimeoutsSpec(Spec):
    """How long each step of a request may take, in seconds."""

    connect_s: Seconds = const.DEFAULT_CONNECT_TIMEOUT_S
    first_byte_s: Seconds = const.DEFAULT_FIRST_BYTE_TIMEOUT_S
    idle_s: Seconds = const.DEFAULT_IDLE_TIMEOUT_S
    total_s: Seconds = const.DEFAULT_TOTAL_TIMEOUT_S


@resource_kind("routing_policy", form=models.RoutingPolicy)
class RoutingPolicySpec(Spec):
    """A routing policy: how requests are placed, retried and timed out."""

    load_bound: Annotated[float, Field(ge=1.0, le=100.0)] = const.DEFAULT_LOAD_BOUND
    locality: Locality = Locality.REGION
    idempotent: bool | None = None
    max_attempts: Annotated[int, Field(ge=1, le=const.MAX_ATTEMPTS)] = const.DEFAULT_MAX_ATTEMPTS
    timeouts: TimeoutsSpec = Field(default_factory=TimeoutsSpec)
    affinity: Affinity = Affinity.CHAT
    prefix_bytes: Annotated[int, Field(ge=1, le=1 << 20)] = const.DEFAULT_PREFIX_BYTES


class DrainTargetSpec(Spec):
    """The target of a drain."""

    kind: DrainTargetKind
    name: Name


@resource_kind("drain", form=models.Drain)
class DrainSpec(Spec):
    """A planned drain of an endpoint, an availability zone or an instance."""

    target: DrainTargetSpec
    start: AwareDatetime | None = None
    deadline: AwareDatetime | None = None
    floor: Fraction = const.DEFAULT_FLOOR
    move_context: bool = True
    reason: Text = ""

    @model_validator(mode="after")
    def check_order(self) -> Self:
        """Refuse a deadline that is not after the start."""
        if self.start and self.deadline and self.deadline <= self.start:
            raise ValueError("deadline must be after start")
        return self


@resource_kind("model", form=models.Model)
class ModelSpec(Spec):
    """A model with its version and the desired number of copies."""

    service: Name
    version: Annotated[str, StringConstraints(min_length=1, max_length=64)]
    weights: Annotated[str, StringConstraints(min_length=1, max_length=512)]
    copies: Copies = const.DEFAULT_COPIES
    floor: Fraction = const.DEFAULT_FLOOR
    spread_zones: Annotated[int, Field(ge=1, le=1000)] = 1
    memory_bytes: Annotated[int, Field(ge=0)] = 0
    role: Text = ""


@resource_kind("adapter", form=models.Adapter)
class AdapterSpec(Spec):
    """An adapter of a model with its version and the desired number of copies."""

    model: Name
    version: Annotated[str, StringConstraints(min_length=1, max_length=64)]
    weights: Annotated[str, StringConstraints(min_length=1, max_length=512)]
    copies: Copies = const.DEFAULT_COPIES
    workspaces: tuple[Name, ...] = ()


@resource_kind("limit", form=models.Limit)
class LimitSpec(Spec):
    """A limit on the requests of a workspace, a service or a model."""

    workspace: NameOrAny = const.ANY_NAME
    service: NameOrAny = const.ANY_NAME
    model: NameOrAny = const.ANY_NAME
    rate: Rate | None = None
    concurrency: Concurrency | None = None

    @model_validator(mode="after")
    def check_some_limit(self) -> Self:
        """Refuse a limit with neither ``rate`` nor ``concurrency``."""
        if self.rate is None and self.concurrency is None:
            raise ValueError("set rate, concurrency or both")
        return self


@resource_kind("endpoint", form=models.Endpoint, stored=False)
class EndpointSpec(Spec):
    """An endpoint as it announced itself; observed, never written."""

    address: str
    service: Name
    region: str
    zone: str
    kind: str = "engine"
    capacity: Annotated[int, Field(ge=1)] = 1
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    checks_fencing: bool = False
