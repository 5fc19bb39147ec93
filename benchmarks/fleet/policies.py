"""Policies that the model compares."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from chivetrack.components.placement.placement import Placement
from chivetrack.components.placement.weights import DEFAULT_WEIGHTS, PlacementWeights
from chivetrack.helpers.registry import Registry


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """How routers choose; ``is_oracle``: they hear of each other without delay."""

    weights: PlacementWeights = DEFAULT_WEIGHTS
    is_oracle: bool = False

    def make(self, *, zone: str) -> Placement:
        """Return the decision object of one router."""
        return Placement(zone=zone, weights=self.weights)


POLICIES: Registry[Callable[[], Policy]] = Registry(name="policy")


@POLICIES.register("deployed")
def make_deployed() -> Policy:
    """Return what routers do."""
    return Policy()


@POLICIES.register("oracle")
def make_oracle() -> Policy:
    """Return what routers would do if news between them took no time."""
    return Policy(is_oracle=True)


@POLICIES.register("wide-bound")
def make_wide_bound() -> Policy:
    """Return the policy with more room for an endpoint over the mean."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, bound_few=1.9, bound_slack=2.6))


@POLICIES.register("one-home")
def make_one_home() -> Policy:
    """Return the policy in which a prompt has one engine on which all agree."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, homes=1))


@POLICIES.register("cheap-transfers")
def make_cheap_transfers() -> Policy:
    """Return the policy in which a transfer counts little more than reading the same."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, fetch_share=1.1))


@POLICIES.register("far-zones")
def make_far_zones() -> Policy:
    """Return the policy in which another zone counts as much as reading 1,400 tokens."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, other_zone_ms=25.0))


@POLICIES.register("no-home-chance")
def make_no_home_chance() -> Policy:
    """Return the policy that expects nothing at a prompt's home without being told."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, home_chance=0.0))


@POLICIES.register("no-failures")
def make_no_failures() -> Policy:
    """Return the policy that doesn't weigh the share of failures."""
    return Policy(weights=replace(DEFAULT_WEIGHTS, failure_ms=0.0))
