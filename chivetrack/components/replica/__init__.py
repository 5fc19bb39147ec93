"""One replica of the shared state: the log, its data folder and a state machine."""

from chivetrack.components.replica.core import ReplicaCore
from chivetrack.components.replica.replica import Replica

__all__ = ["Replica", "ReplicaCore"]
