"""Constants of the model placement; times in seconds."""

from typing import Final

CONTROLLER: Final = "model_placement"
MODEL_KIND: Final = "model"
ADAPTER_KIND: Final = "adapter"
FINALIZER: Final = "model-placement"

REPAIR_DELAY_S: Final = 60.0
"""A lost copy is replaced after this long: most lost engines are back before."""

SILENCE_S: Final = 30.0
"""An engine that is listed and answers no question is planned without after this long."""

ENGINES_QUERIED_PER_S: Final = 50
"""How many engines are at least asked in a second; longer is waited for very many."""

SOAK_S: Final = 30.0
"""How long the first copy of a new version must serve before others follow."""

UNLOAD_SETTLE_S: Final = 8.0
"""A state from longer after an unload was wanted than this shows its effect."""

MAX_CHANGES: Final = 64
"""Copies of one item that a comparison newly places, moves or takes away.

The queue lets far fewer load at a time; planning thousands would block the process.
"""

MAX_LOADS: Final = 4
LOADS_PER_S: Final = 0.5
"""Bounds on loads from the one weight store, for the whole fleet."""

GRANT_EXPIRY_S: Final = 10.0
"""How long a load that may begin counts before the engine shows it."""

WAIT_EXPIRY_S: Final = 5.0
MAX_WAITING: Final = 8192
STORE_DELAY_S: Final = 5.0
MAX_STORE_DELAY_S: Final = 30.0

STORE_BUSY: Final = "store-busy"
"""How an engine names a load that the weight store refused: no fault of the version."""

RECONCILE_INTERVAL_S: Final = 0.5
ENGINES_PER_S: Final = 500
"""Above this many engines comparisons get rarer, to bound the share of the processor."""

MAX_EVENTS: Final = 10
