"""The replicated log: a consensus core after Raft (Ongaro and Ousterhout), without I/O."""

from chivetrack.components.consensus.core import Consensus

__all__ = ["Consensus"]
