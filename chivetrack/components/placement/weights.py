"""What counts how much when an endpoint is chosen; times in milliseconds."""

from dataclasses import dataclass

# What one router knows of the others comes late. A prompt goes to one of a few engines on
# which all agree without a word, and elsewhere only when those are full: otherwise most
# fetches ask an engine that never had the prompt.
HOMES = 3

# Up to so many routers each sees enough of the traffic itself.
FEW_ROUTERS = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementWeights:
    """The weights of one choice, as shares of what is learned of the endpoints.

    ``running_share``: of a usual answer's time, what one more running request costs the
    others: each step of a stream takes a thirtieth longer, for a fifth of its time.
    ``other_zone_ms``: two ways of 1 to 1.4 ms, and the bytes are paid for; more would move
    prompts' memory to the near zone.
    ``plain_turns``: a request of a plain service waits for so many turns where all slots
    are taken. ``fetch_share``: of the time to read the same tokens; the transfer takes a
    tenth, and occupies both engines' links and twice the memory.
    ``home_chance``: a prompt that is not known to be cached anywhere has most likely been
    sent to its first choice by another router, whose word is not here yet.
    ``read_again_factor``: reading what another engine has cached also delays every stream
    that runs beside it. ``min_fetch_tokens``: less is not worth the transfer's own delay.
    ``cold_ms``, ``silent_ms``: an endpoint that stays slow after its start, or that no
    replica hears any more.
    ``failure_ms``: a failed try costs its caller a new one, half a second later, or all.
    ``bound_few``, ``bound_many``, ``bound_slack``: whatever a prompt would save, no endpoint
    gets more than this factor (with few routers, with many) over the mean of those to choose
    from, and so many; ``bound_service``: nor than this factor over the mean of its service.
    Operators allow twice that mean and 3; lagging counts need room.
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
