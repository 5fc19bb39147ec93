"""The open requests of an instance, which a graceful stop finishes."""

from chivetrack.components.caller_api.gateway import Gateway
from chivetrack.daemon.call_gate import CallGate
from chivetrack.daemon.listeners import Listeners
from chivetrack.daemon.refusals import ConnectionGate
from chivetrack.daemon.submissions import Submissions


class InstanceRequests:
    """Counts the requests of callers and operators, and ends them for a stop."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        submissions: Submissions,
        connection_gate: ConnectionGate,
        caller_gate: CallGate,
        operator_gate: CallGate,
        listeners: Listeners,
    ) -> None:
        """Store the gates before the applications of the listeners.

        ``connection_gate`` stands before the application for callers.
        """
        self._connection_gate = connection_gate
        self._gateway = gateway
        self._submissions = submissions
        self._gates = (caller_gate, operator_gate)
        self._listeners = listeners

    def count(self) -> int:
        """Return the number of requests that are read or served.

        A gate counts a request while its body is read and until its answer begins; streamed
        answers are counted by the gateway.
        """
        return sum(gate.open_count for gate in self._gates) + self._gateway.streaming_count

    def refuse_connections(self, *, opened_after: float) -> None:
        """Refuse callers' requests on connections opened after a time (s, monotonic)."""
        self._connection_gate.opened_until = opened_after

    def refuse_new(self) -> None:
        """Refuse every request that is read from now on; does not switch greenlets."""
        for gate in self._gates:
            gate.is_closed = True

    def end_open(self) -> None:
        """End the open requests: they get a typed error, or their answer is left incomplete."""
        self._gateway.open_requests.end()
        self._submissions.end_open()

    def drain(self, *, ends_at: float) -> int:
        """Drain the listener for callers; return the connections open at ``ends_at``."""
        return self._listeners.drain_caller(ends_at=ends_at)

    def count_connections(self) -> int:
        """Return the number of open connections of callers."""
        return self._listeners.count_caller_connections()
