"""Constants of the drains component; times in seconds."""

from typing import Final

CONTROLLER: Final = "drains"
KIND: Final = "drain"

SETTLE_S: Final = 5.0
"""After this long each router has the drain in force or refuses new work.

Equal to the window after which a router without confirmation stops serving.
"""

STATUS_WRITE_INTERVAL_S: Final = 2.0
"""How often a status is written when only its counts or its wording changed."""

RECONCILE_INTERVAL_S: Final = 0.5
MAX_EVENTS: Final = 10
MAX_NAMED_TARGETS: Final = 20
MAX_NAMED_DRAINS: Final = 5

INSTANCES: Final = "instances"
"""The group whose capacity a drain of an instance takes from."""
