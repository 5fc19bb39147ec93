"""The replicated log: a Raft consensus core (Ongaro and Ousterhout), without I/O.

``Consensus.handle`` processes one event and returns effects. Events and effects are
defined in ``models``, the messages between replicas in ``messages``. Differences from
the published algorithm, and the reasons:

- A replica that starts on an empty disk is not a member: it neither votes nor counts
  towards a quorum until its log names it as a learner. It halts if the first member
  list that it receives names it as a voter. Ids of removed replicas are never reused.
- Reads are confirmed by a heartbeat round that begins after the read was requested,
  not by a lease: a process that was frozen cannot detect that its lease has expired.
- A member change takes effect as soon as it is appended. A replica that is being
  removed is sent no entries until its removal is committed.
- A leader that has had no contact with a majority for the longest election timeout
  steps down before it processes the next event.
- No snapshot is held in memory; the ``LoadSnapshot`` effect requests it from disk.
"""

from chivetrack.components.consensus.core import Consensus

__all__ = ["Consensus"]
