"""Tests of the host: a drain resource gets its status through the real proposals."""

import unittest
from collections import deque
from random import Random
from typing import Any

import msgspec

from chivetrack.components.controllers.host import ControllerHost
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.loop import ControllerLoop
from chivetrack.components.drains.const import KIND
from chivetrack.components.drains.controller import DrainController
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import (
    ForwardProposal,
    ProposalAnswer,
    SubmissionEnded,
    Verdict,
)
from chivetrack.components.store.commands import Create, Stamp, stamp_time
from chivetrack.components.store.store import Store
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached
from chivetrack.helpers.codec import pack, unpack
from tests.components.drains.fleet import Fleet, get_phase, make_spec


class HostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.index = 0
        self.proposals = ProposalClient(instance_id="i1", replicas=["r1"], random=Random(1))
        fleet = Fleet()
        fleet.add("e1", "e2")
        observer: Any = fleet
        loop = ControllerLoop(
            controller=DrainController(table=self.store.table, observer=observer),
            lease=LeaseHolder(name="drains", instance_run="i1/1", random=Random(1)),
            get_revision=lambda: self.store.revision,
            random=Random(1),
            started_at=-100.0,
        )
        self.host = ControllerHost(runners=[loop], proposals=self.proposals)

    def apply(self, data: bytes, now: float) -> bytes:
        self.index += 1
        command = stamp_time(unpack(data), round(now * 1000))
        return self.store.apply(self.index, pack(command))

    def execute(self, effects: list[Effect], now: float) -> None:
        waiting = deque(effects)
        while waiting:
            effect = waiting.popleft()
            if isinstance(effect, SubmissionEnded):
                waiting.extend(self.host.handle_submission_ended(effect, now=now))
            elif isinstance(effect, SendMessage):
                waiting.extend(self.answer(effect.message, now))

    def answer(self, message: Any, now: float) -> list[Effect]:
        is_write = isinstance(message, ForwardProposal)
        result = self.apply(message.data, now) if is_write else b""
        answer = ProposalAnswer(message.number, Verdict.ACCEPTED, result, self.store.revision)
        return self.proposals.handle(MessageReceived(source="r1", message=answer), now=now)

    def test_drain_starts_and_lease_is_released(self) -> None:
        spec = msgspec.msgpack.encode(make_spec("e1"))
        self.apply(pack(Create(Stamp(0), KIND, "d", spec)), 1.0)
        for step in range(10):
            now = 1.0 + step / 10
            self.execute(self.host.handle(TimeReached(), now=now), now)
        self.assertEqual("active", get_phase(self.store.table, "d"))
        self.assertIsNotNone(self.store.get_lease("drains"))
        self.execute(self.host.release(now=2.0), 2.0)
        self.assertIsNone(self.store.get_lease("drains"))
