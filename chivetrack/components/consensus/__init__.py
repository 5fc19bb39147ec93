"""The replicated log: a consensus core after Raft (Ongaro and Ousterhout), without I/O.

``Consensus.handle`` takes an event at a time and returns effects; ``models`` lists
both, ``messages`` what travels between replicas. What differs from the plain
algorithm, and why:

- A replica on an empty disk starts outside: it neither votes nor counts before its
  log names it as a learner, and halts if its first members name it as a voter. Ids
  of removed replicas are never taken in again.
- Reads are confirmed by a heartbeat round that begins after the read was asked for,
  not by a lease: a frozen process cannot tell that its lease has passed.
- A member change holds from the moment it is appended. A replica that is being
  removed gets no entries until that is committed.
- A leader that has heard no majority for the longest election timeout steps down
  before it looks at the event at hand.
- No snapshot is held in memory; ``LoadSnapshot`` asks for it.
"""

from chivetrack.components.consensus.core import Consensus

__all__ = ["Consensus"]
