"""Placement policies that the simulation compares."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from chivetrack.components.placement.placement import Placement
from chivetrack.components.placement.weights import DEFAULT_WEIGHTS, PlacementWeights
from chivetrack.helpers.registry import Registry


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Weights of the placement; with ``is_oracle``, routers exchange state without delay."""

    weights: PlacementWeights = DEFAULT_WEIGHTS
    is_oracle: bool = False

    def make(self, *, zone: str) -> Placement:
        """Return the placement component of one router."""
        return Placement(zone=zone, weights=self.weights)


POLICIES: Registry[Callable[[], Policy]] = Registry(name="policy")


@POLICIES.register("deployed")
def make_deployed() -> Policy:
    """Return the policy with the default weights."""
    return Policy()


@POLICIES.register("oracle")
def make_oracle() -> Policy:
    """Return the default policy with updates between routers that arrive without delay."""
    return Policy(is_oracle=True)


@POLICIES.register("wide-bound")
def make_wide_bound() -> Policy:
    """Return the policy that allows a higher load of an endpoint above the mean."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, bound_few=1.9, bound_slack=2.6))


@POLICIES.register("one-home")
def make_one_home() -> Policy:
    """Return the policy in which a prompt has a single home engine, the same at all routers."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, homes=1))


@POLICIES.register("cheap-transfers")
def make_cheap_transfers() -> Policy:
    """Return the policy in which a transfer costs little more than prefilling the same tokens."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, fetch_share=1.1))


@POLICIES.register("far-zones")
def make_far_zones() -> Policy:
    """Return the policy in which another zone costs as much as prefilling 1,400 tokens."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, other_zone_ms=25.0))


@POLICIES.register("no-home-chance")
def make_no_home_chance() -> Policy:
    """Return the policy that assumes no cached prompt at its home engine without a report."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, home_chance=0.0))


@POLICIES.register("no-failures")
def make_no_failures() -> Policy:
    """Return the policy that ignores the share of failures of an endpoint."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, failure_ms=0.0))
