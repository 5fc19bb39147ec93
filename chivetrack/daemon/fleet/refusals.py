"""Refuses requests before they are sent to an endpoint."""

import time
from random import Random

from chivetrack.components.admission.faults import make_no_slot_fault
from chivetrack.components.limits.infeasible import refuse_infeasible
from chivetrack.components.limits.stopping import (
    StopWindow,
    make_cut_fault,
    make_stopping_fault,
)
from chivetrack.components.origins.models import OriginVerdict
from chivetrack.components.placement.choice import Choice
from chivetrack.components.quarantine.faults import make_fault
from chivetrack.components.retries.sending import may_have_run
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.const import NO_ENDPOINT_RETRY_S
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.forwarder import AnswerCutError
from chivetrack.daemon.fleet.request_log import RequestLog
from chivetrack.exceptions import Fault, Ran


class Refusals:
    """Refuse requests that must not or need not be sent to an endpoint, and log the reason.

    ``window`` is set while the router stops.
    """

    def __init__(self, *, view: FleetView, log: RequestLog) -> None:
        """Store the view of the fleet and the request log."""
        self._view = view
        self._log = log
        self._random = Random()
        self.window: StopWindow | None = None

    def refuse_infeasible(self, call: Call, choice: Choice) -> bool:
        """Refuse a request that even the best endpoint can't start to answer in time."""
        left_s = call.ends_at - time.monotonic()
        fault = refuse_infeasible(
            expected_s=choice.certain_ms / 1000,
            left_s=left_s,
            target_s=call.route.target_s,
            random=self._random,
        )
        if fault is None:
            return False
        self._log.write_rejected(
            call.facts,
            fault,
            path=call.target,
            endpoint=choice.record.endpoint_id,
            running=choice.running,
            expected_ms=round(choice.certain_ms),
            left_ms=round(left_s * 1000),
            retry_after_s=fault.retry_after_s,
        )
        call.reply.refuse(fault)
        return True

    def refuse_without_slot(self, call: Call, retry_after_s: float) -> None:
        """Refuse a request that gets no slot of its service in time."""
        fault = make_no_slot_fault(retry_after_s)
        self._log.write_rejected(
            call.facts,
            fault,
            path=call.target,
            service=call.service,
            retry_after_s=retry_after_s,
            tries=len(call.attempts),
        )
        call.reply.refuse(fault)

    def refuse_during_stop(self, call: Call, choice: Choice) -> bool:
        """Refuse a request that has not run and would probably be cut by the exit."""
        if self.window is None or may_have_run(call.attempts):
            return False
        now = time.monotonic()
        expected_s = self._view.expect_complete_s(choice, call)
        do_others_accept = self._view.do_others_accept
        if self.window.accepts(
            ends_at=call.ends_at,
            expected_s=expected_s,
            do_others_accept=do_others_accept,
            now=now,
        ):
            return False
        left_s = self.window.exits_at - now
        fault = make_stopping_fault(do_others_accept=do_others_accept, left_s=left_s)
        self._log.write_stopping(call, choice, fault, expected_s=expected_s, left_s=left_s)
        call.reply.refuse(fault)
        return True

    def refuse_at_exit(self, call: Call) -> None:
        """Answer a request that is open when the router exits."""
        if call.reply.is_started:
            raise AnswerCutError("the router exits during the answer")
        if call.deliver_failure():
            return
        if may_have_run(call.attempts):
            call.reply.refuse(make_cut_fault())
            return
        do_others_accept = self._view.do_others_accept
        call.reply.refuse(make_stopping_fault(do_others_accept=do_others_accept, left_s=0.0))

    def refuse_unknown_origin(self, call: Call, verdict: OriginVerdict) -> None:
        """Refuse to continue a stream of which it is not known at which version it began."""
        fault = Fault(
            code="stream_origin_unknown",
            message="The request has not run: it is not known at which version the stream began.",
            status=503,
            ran=Ran.NO,
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )
        self._log.write_unknown_origin(call, verdict, fault)
        call.reply.refuse(fault)

    def refuse_quarantined(self, call: Call) -> bool:
        """Refuse a quarantined request; checked before each attempt, including retries."""
        quarantined = self._view.quarantine.find(call)
        if quarantined is None:
            return False
        fault = make_fault(has_run=may_have_run(call.attempts))
        self._log.write_rejected(
            call.facts,
            fault,
            path=call.target,
            fingerprint=quarantined.fingerprint.hex(),
            part=quarantined.part,
            since=quarantined.since,
            crashed=quarantined.crashes,
            tries=len(call.attempts),
        )
        if call.reply.is_started:
            raise AnswerCutError("the request was quarantined during its answer")
        call.reply.refuse(fault)
        return True
