"""Instances as this one sees them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class InstanceStatus(StrEnum):
    """What is believed of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class StateVersion(NamedTuple):
    """Orders what is said of an instance; the higher one holds.

    ``incarnation`` rises with every start, ``refutation`` with every false accusation
    that the instance refuted since.
    """

    incarnation: int
    refutation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Seed:
    """An instance that is known from the settings."""

    instance_id: str
    address: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One instance; ``since`` is this instance's time at which its status began."""

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
    """What is known of another region: how many routers, and whom to talk to."""

    region: str
    routers: int
    contacts: tuple[Seed, ...]
    last_seen_at: float


InstanceCallback = Callable[[Instance], None]
