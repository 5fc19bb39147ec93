"""Constants of the model placement component; times in seconds."""

from typing import Final

CONTROLLER: Final = "model_placement"
MODEL_KIND: Final = "model"
ADAPTER_KIND: Final = "adapter"
FINALIZER: Final = "model-placement"

REPAIR_DELAY_S: Final = 60.0
"""Delay before a lost copy is replaced; most lost engines return earlier."""

SILENCE_S: Final = 30.0
"""Time after which a new lease holder plans without the engines that have sent no state."""

ENGINES_QUERIED_PER_S: Final = 50
"""Fewest engines queried in a second; ``SILENCE_S`` is extended by the time for all engines."""

SOAK_S: Final = 30.0
"""Time for which the first copy of a new version must serve before others follow."""

UNLOAD_SETTLE_S: Final = 8.0
"""Time after the decision to unload a copy from which the engine's state shows the effect."""

MAX_CHANGES: Final = 64
"""Most copies of one item that a reconciliation places, moves or removes.

The load queue admits far fewer at a time, and planning thousands would block the process.
"""

MAX_LOADS: Final = 4
LOADS_PER_S: Final = 0.5
"""Bounds on concurrent loads and on the rate of loads from the weight store of the fleet."""

GRANT_EXPIRY_S: Final = 10.0
"""Time for which an admitted load counts until the state of the engine shows it."""

# A waiting load that is not requested again within this time leaves the queue.
WAIT_EXPIRY_S: Final = 5.0
MAX_WAITING: Final = 8192
# Pause of the load queue after a refusal of the weight store; it doubles up to the maximum.
STORE_DELAY_S: Final = 5.0
MAX_STORE_DELAY_S: Final = 30.0

STORE_BUSY: Final = "store-busy"
"""Error of a load that the weight store refused; it is not a fault of the version."""

RECONCILE_INTERVAL_S: Final = 0.5
ENGINES_PER_S: Final = 500
"""Engines reconciled in a second; with more engines the interval grows to bound the CPU use."""

MAX_EVENTS: Final = 10
