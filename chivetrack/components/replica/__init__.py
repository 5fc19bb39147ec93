"""One replica of the shared state: the replicated log, its storage and a state machine."""

from chivetrack.components.replica.core import ReplicaCore
from chivetrack.components.replica.replica import Replica

__all__ = ["Replica", "ReplicaCore"]
