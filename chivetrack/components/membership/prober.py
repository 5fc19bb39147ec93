"""Sends and answers probes, for this instance and on behalf of others."""

import random as random_module
from collections.abc import Callable

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.membership.const import DIRECT_CONTACT_S, PROBE_ROUND_S
from chivetrack.components.membership.member import Member
from chivetrack.components.membership.suspicion import choose_witnesses
from chivetrack.components.membership.wire import Ping, Pong, WitnessAnswer, WitnessRequest
from chivetrack.components.membership.witness import ProbeTask, ProbeTasks
from chivetrack.core import Effect, SendMessage
from chivetrack.helpers.codec import Message, encode

ReachedCallback = Callable[[str, str, float], None]
DeniedCallback = Callable[[str, str, float], None]


class Prober:
    """Checks whether instances can be reached, directly and through witnesses.

    Calls ``on_reached`` with the instance id, the reason text and the time, and
    ``on_denied`` with the instance id, the witness that could not reach it and the time.
    """

    def __init__(
        self,
        *,
        gossip: Gossip,
        own_zone: str,
        random: random_module.Random,
        on_reached: ReachedCallback,
        on_denied: DeniedCallback,
    ) -> None:
        """Create a prober without running probes."""
        self._gossip = gossip
        self._own_zone = own_zone
        self._random = random
        self._on_reached = on_reached
        self._on_denied = on_denied
        self._tasks = ProbeTasks()
        self._outgoing: list[Effect] = []
        self._rounds = 0

    def pop_effects(self) -> list[Effect]:
        """Return and clear the messages to be sent."""
        effects, self._outgoing = self._outgoing, []
        return effects

    def drop_all(self) -> None:
        """Drop all probes made on behalf of others."""
        self._tasks.drop_all()

    def tick(self, now: float) -> None:
        """Report a failure to the requesters of all probes that have timed out."""
        for task in self._tasks.pop_overdue(now):
            self._answer(task, reached=False, now=now)

    def start_round(self, member: Member, candidates: list[Member], now: float) -> None:
        """Start a round: probe a member and request probes from witnesses."""
        self._rounds += 1
        member.round_ends = now + PROBE_ROUND_S
        member.is_probed = self.send(member.instance_id, Ping(-self._rounds), now)
        witnesses = choose_witnesses(
            member, candidates, own_zone=self._own_zone, random=self._random
        )
        for witness in witnesses:
            request = WitnessRequest(self._rounds, member.instance_id)
            if self.send(witness.instance_id, request, now):
                member.asked_witnesses.add(witness.instance_id)

    def receive(self, source: str, message: Message, now: float) -> None:
        """Process a probe, a witness request or an answer."""
        if isinstance(message, Ping):
            self.send(source, Pong(message.number), now)
        elif isinstance(message, Pong):
            self._receive_pong(source, message, now)
        elif isinstance(message, WitnessRequest):
            self._receive_request(source, message, now)
        elif isinstance(message, WitnessAnswer):
            self._receive_answer(source, message, now)

    def _receive_pong(self, source: str, pong: Pong, now: float) -> None:
        if pong.number < 0:
            self._on_reached(source, "answered a probe", now)
            return
        task = self._tasks.finish(pong.number, source)
        if task is not None:
            self._answer(task, reached=True, now=now)

    def _receive_request(self, source: str, request: WitnessRequest, now: float) -> None:
        contact = self._gossip.get_direct_contact(request.target)
        if contact is not None and now - contact < DIRECT_CONTACT_S:
            self.send(source, WitnessAnswer(request.number, request.target, True), now)
            return
        number = self._tasks.start(
            requester=source, request_number=request.number, target=request.target, now=now
        )
        # A probe that could not be sent must not be reported as failed: a witness whose
        # traffic budget is spent would help to declare a live instance dead.
        if not self.send(request.target, Ping(number), now):
            self._tasks.finish(number, request.target)

    def _answer(self, task: ProbeTask, *, reached: bool, now: float) -> None:
        answer = WitnessAnswer(task.request_number, task.target, reached)
        self.send(task.requester, answer, now)

    def _receive_answer(self, source: str, answer: WitnessAnswer, now: float) -> None:
        if answer.reached:
            reason = f"no heartbeat received here, but reached by {source}"
            self._on_reached(answer.target, reason, now)
            return
        self._on_denied(answer.target, source, now)

    def send(self, target: str, message: Message, now: float) -> bool:
        """Send a message if the traffic budget allows; return whether it was sent.

        A message that is not sent is made up for by the next round. Answers are not limited
        to the budget share of probes: an instance that receives many probes would fail to
        answer and be declared dead.
        """
        budget = self._gossip.budget
        is_answer = isinstance(message, Pong | WitnessAnswer)
        charge = budget.charge if is_answer else budget.charge_probe
        if not charge(len(encode(message)), now):
            return False
        self._outgoing.append(SendMessage(target=target, message=message))
        return True
