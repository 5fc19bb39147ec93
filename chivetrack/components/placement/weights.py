"""Weights of the cost function that selects an endpoint; times in milliseconds."""

from dataclasses import dataclass

# Number of home engines of a prompt: the first ones in its rendezvous order, which all routers
# compute alike. Reports between routers arrive late, so a prompt goes to one of its homes and
# elsewhere only when the homes are full. Otherwise most fetches would address an engine that
# never had the prompt.
HOMES = 3

# Up to this number of routers, each router sees a sufficient share of the traffic itself, and
# ``bound_few`` applies without a reduction.
FEW_ROUTERS = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementWeights:
    """Weights of the cost function.

    ``running_share``: the cost of one more running request to the others, as a share of the
    usual answer time. Each step of a stream takes a thirtieth longer, for a fifth of its time.
    ``other_zone_ms``: the round trip to another zone, two ways of 1 to 1.4 ms, plus the price
    of the traffic. A larger value would move the cached prompts to the near zone.
    ``plain_turns``: the number of service times that a request of a plain service waits when
    all slots are taken.
    ``fetch_share``: the cost of fetching cached tokens, as a multiple of the time to read
    them. The transfer itself takes a tenth of that time, but it occupies the links of both
    engines and twice the memory.
    ``home_chance``: the probability that a prompt with no known cached copy has already been
    sent to its first home by another router whose report has not arrived yet.
    ``read_again_factor``: the factor on the cost of reading tokens that another engine has
    cached, since the reading also delays every stream that runs beside it.
    ``min_fetch_tokens``: the smallest fetch; a smaller one takes longer than reading.
    ``homes``: the number of home engines of a prompt.
    ``cold_ms``, ``silent_ms``: the penalty for an endpoint that stays slow after its start,
    and for one from which no replica receives heartbeats.
    ``failure_ms``: the cost of a failed attempt; its caller sends the request again half a
    second later, or loses it.
    ``bound_few``, ``bound_many``, ``bound_slack``: no endpoint gets more requests than this
    factor (with few and with many routers) times the mean of the candidates, plus the slack,
    whatever time a cached prompt would save.
    ``bound_service``: the same factor for the mean of the whole service. Operators allow
    twice that mean plus 3; the bounds are lower because the counts lag.
    """

    running_share: float = 0.006
    other_zone_ms: float = 10.0
    plain_turns: float = 6.0
    fetch_share: float = 4.0
    home_chance: float = 0.6
    read_again_factor: float = 2.0
    min_fetch_tokens: int = 200
    homes: int = HOMES
    cold_ms: float = 200.0
    silent_ms: float = 400.0
    failure_ms: float = 500.0
    bound_few: float = 1.7
    bound_many: float = 1.3
    bound_service: float = 1.75
    bound_slack: float = 2.0


DEFAULT_WEIGHTS = PlacementWeights()
