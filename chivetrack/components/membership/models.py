"""Models of instances and regions as seen by this instance."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class InstanceStatus(StrEnum):
    """Status of an instance, as seen by this instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class StateVersion(NamedTuple):
    """Version of the state of an instance; the higher version overrides the lower one.

    ``incarnation`` rises with every start, ``refutation`` with every verdict that the
    instance has refuted since that start.
    """

    incarnation: int
    refutation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Seed:
    """An instance that the settings name, or a contact in another region."""

    instance_id: str
    address: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One instance; ``since`` is the local time of the last status change, in seconds."""

    instance_id: str
    address: str
    region: str
    zone: str
    roles: tuple[str, ...]
    state_version: StateVersion
    status: InstanceStatus = InstanceStatus.ALIVE
    since: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RegionSummary:
    """Summary of another region: the number of live instances and some to contact."""

    region: str
    routers: int
    contacts: tuple[Seed, ...]
    last_seen_at: float


InstanceCallback = Callable[[Instance], None]
