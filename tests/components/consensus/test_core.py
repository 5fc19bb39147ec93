"""Unit tests of one replica (a) in a group of a, b and c, driven by single events."""

import unittest
from random import Random
from typing import TypeVar

from chivetrack.components.consensus import Consensus
from chivetrack.components.consensus.const import FIRST_ELECTION_ATTEMPTS
from chivetrack.components.consensus.log import Log
from chivetrack.components.consensus.members import Member, Members, make_voters
from chivetrack.components.consensus.messages import (
    AppendAnswer,
    AppendRequest,
    Entry,
    EntryKind,
    PeerMessage,
    PreVoteAnswer,
    PreVoteRequest,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from chivetrack.components.consensus.models import (
    Apply,
    HardState,
    LeadershipChanged,
    Limits,
    Outcome,
    Persist,
    Persisted,
    Proposal,
    ProposalEnded,
    Propose,
    ReadReady,
    ReadRequested,
    Recovered,
    ReplicaRegressed,
    Snapshot,
    SnapshotTaken,
    Timing,
    TransferLeadership,
)
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached

EffectT = TypeVar("EffectT", bound=Effect)
VOTERS = make_voters("a", "b", "c")


def make_entries(*terms: int) -> tuple[Entry, ...]:
    """Return entries from index 2 on, with these terms."""
    return tuple(
        Entry(index=index, term=term, kind=EntryKind.DATA, data=b"%d.%d" % (index, term))
        for index, term in enumerate(terms, start=2)
    )


class Subject:
    """Replica a; a sync counts as done only when ``persist`` is called."""

    def __init__(self, *terms: int, term: int = 1, members: Members = VOTERS) -> None:
        self.now = 0.0
        recovered = Recovered(
            hard_state=HardState(term=term),
            snapshot=Snapshot(index=1, term=1, members=members),
            entries=make_entries(*terms),
        )
        self.consensus = Consensus(
            replica_id="a", random=Random(1), timing=Timing(), recovered=recovered
        )
        self.effects: list[Effect] = []
        self.handle(TimeReached())

    def handle(self, event: Event, *, after: float = 0.0) -> list[Effect]:
        self.now += after
        self.effects = self.consensus.handle(event, now=self.now)
        return self.effects

    def receive(self, message: PeerMessage) -> list[Effect]:
        return self.handle(MessageReceived(source=message.sender, message=message))

    def list_effects(self, kind: type[EffectT]) -> list[EffectT]:
        return [one for one in self.effects if isinstance(one, kind)]

    def get_answer(self) -> PeerMessage:
        message = self.list_effects(SendMessage)[0].message
        assert isinstance(message, PeerMessage)
        return message

    def persist(self) -> list[Effect]:
        last = self.list_effects(Persist)[-1]
        return self.handle(Persisted(last_index=last.last_index, last_term=last.last_term))

    def lead(self) -> None:
        """Win an election with the vote of b; the leader's empty entry is not synced yet."""
        term = self.consensus.get_status(now=self.now).term
        self.handle(TimeReached(), after=1.3)
        self.receive(PreVoteAnswer("b", "a", term, term, True))
        self.receive(VoteAnswer("b", "a", term + 1, True))
        assert self.consensus.is_leader

    def ack(self, sender: str, match_index: int, *, round_number: int = 1) -> list[Effect]:
        term = self.consensus.get_status(now=self.now).term
        return self.receive(
            AppendAnswer(
                sender, "a", term, True, 0, match_index, 0, 0, match_index, True, round_number
            )
        )

    def refuse(
        self, sender: str, last_index: int, *, round_number: int, member: bool = True
    ) -> None:
        term = self.consensus.get_status(now=self.now).term
        previous = self.consensus.get_status(now=self.now).last_index - 1
        self.receive(
            AppendAnswer(
                sender, "a", term, False, previous, 0, 1, 0, last_index, member, round_number
            )
        )

    def append(
        self, previous: tuple[int, int], entries: tuple[Entry, ...], *, term: int, commit: int = 0
    ) -> list[Effect]:
        return self.receive(AppendRequest("b", "a", term, *previous, entries, commit, 3))


class VoteTest(unittest.TestCase):
    def test_requests(self) -> None:
        """A vote for a candidate that lacks entries could elect a leader without a
        committed entry; a vote in an old term could elect two leaders in that term."""
        cases = {
            "same log": (VoteRequest("b", "a", 3, 3, 2, False), True),
            "longer log": (VoteRequest("b", "a", 3, 9, 2, False), True),
            "shorter log": (VoteRequest("b", "a", 3, 2, 2, False), False),
            "longer log of an older term": (VoteRequest("b", "a", 3, 9, 1, False), False),
            "old term": (VoteRequest("b", "a", 1, 9, 9, False), False),
        }
        for name, (request, granted) in cases.items():
            with self.subTest(name):
                subject = Subject(2, 2, term=2)
                subject.receive(request)
                answer = subject.get_answer()
                assert isinstance(answer, VoteAnswer)
                self.assertEqual(answer.granted, granted)

    def test_one_vote_in_a_term(self) -> None:
        subject = Subject()
        subject.receive(VoteRequest("b", "a", 2, 5, 1, False))
        self.assertIsInstance(subject.effects[0], Persist, "a vote is synced before it is sent")
        subject.receive(VoteRequest("c", "a", 2, 9, 1, False))
        self.assertFalse(getattr(subject.get_answer(), "granted", None))

    def test_live_leader_is_not_deposed(self) -> None:
        subject = Subject(term=2)
        subject.append((1, 1), (), term=2)
        subject.receive(VoteRequest("c", "a", 3, 9, 2, False))
        self.assertEqual(subject.list_effects(SendMessage), [])
        subject.receive(PreVoteRequest("c", "a", 2, 9, 2))
        self.assertFalse(getattr(subject.get_answer(), "granted", None))
        subject.receive(VoteRequest("c", "a", 3, 9, 2, True))
        self.assertTrue(getattr(subject.get_answer(), "granted", None), "requested by the leader")

    def test_empty_disk_does_not_vote(self) -> None:
        subject = Subject(members=make_voters("b", "c"))
        subject.receive(VoteRequest("b", "a", 2, 5, 1, False))
        self.assertFalse(getattr(subject.get_answer(), "granted", None))

    def test_message_for_a_previous_replica_id_is_ignored(self) -> None:
        subject = Subject()
        self.assertEqual(subject.receive(VoteRequest("b", "a.old", 2, 5, 1, False)), [])

    def test_new_term_is_synced_before_it_is_sent(self) -> None:
        learner = Member(replica_id="d", instance_id="d", voter=False)
        alone = Members(members=(*make_voters("a").members, learner))
        subject = Subject(members=alone)
        subject.handle(TimeReached(), after=1.3)
        self.assertTrue(subject.consensus.is_leader)
        self.assertIsInstance(subject.effects[0], Persist)
        self.assertTrue(subject.list_effects(SendMessage))


class FollowerTest(unittest.TestCase):
    def test_late_append_keeps_later_entries(self) -> None:
        """A duplicate append arrives after later entries were acknowledged. Truncating
        the log after it would drop entries that the leader counts as committed."""
        subject = Subject(2, 2, 2, term=2)
        subject.append((1, 1), make_entries(2), term=2)
        self.assertEqual(subject.list_effects(Persist), [])
        self.assertEqual(subject.consensus.get_status(now=0).last_index, 4)

    def test_conflicting_entries_are_replaced(self) -> None:
        subject = Subject(2, 2, 2, term=2)
        new = make_entries(2, 3)[1:]
        subject.append((2, 2), new, term=3)
        persist = subject.list_effects(Persist)[0]
        self.assertEqual((persist.truncate_from, persist.entries), (3, new))
        self.assertEqual(persist.last_index, 3)

    def test_commits_only_matching_entries(self) -> None:
        """A heartbeat matches up to index 1 and has commit index 3. The entries at 2
        and 3 in this log are from a deposed leader and must not be applied."""
        subject = Subject(2, 2, term=2)
        subject.append((1, 1), (), term=3, commit=3)
        self.assertEqual(subject.list_effects(Apply), [])

    def test_snapshot_of_known_entries_keeps_the_rest(self) -> None:
        """A late snapshot chunk covers entries that the log has. Installing the snapshot
        would drop the entries after it, which were acknowledged."""
        subject = Subject(2, 2, 2, term=2)
        subject.receive(SnapshotChunk("b", "a", 2, 3, 2, VOTERS, 0, 1, b"x", 1))
        self.assertEqual(subject.consensus.get_status(now=0).last_index, 4)
        self.assertEqual(subject.consensus.commit_index, 3)
        self.assertTrue(getattr(subject.get_answer(), "done", None))

    def test_chunks_out_of_order(self) -> None:
        subject = Subject(term=2)
        chunks = [
            SnapshotChunk("b", "a", 2, 9, 2, VOTERS, at, 4, b"wxyz"[at : at + 2], 1)
            for at in (0, 2)
        ]
        for number, done in ((1, False), (0, False), (0, False), (1, True)):
            subject.receive(chunks[number])
            answer = (
                subject.get_answer() if not done else subject.list_effects(SendMessage)[0].message
            )
            assert isinstance(answer, SnapshotAnswer)
            self.assertEqual(answer.done, done)
        persist = subject.list_effects(Persist)[0]
        assert persist.snapshot is not None
        self.assertEqual((persist.snapshot.data, persist.reset), (b"wxyz", True))

    def test_empty_disk_under_the_id_of_a_voter_halts(self) -> None:
        """Voter a lost its disk and starts on an empty one under its old id. The first
        member list that it receives names it as a voter: it must halt and not vote."""
        recovered = Recovered()
        subject = Subject()
        subject.consensus = Consensus(
            replica_id="a", random=Random(1), timing=Timing(), recovered=recovered
        )
        subject.receive(SnapshotChunk("b", "a", 2, 9, 2, VOTERS, 0, 1, b"x", 1))
        self.assertEqual(subject.list_effects(SendMessage), [])
        self.assertEqual(subject.list_effects(ReplicaRegressed)[0].replica_id, "a")
        self.assertTrue(subject.consensus.get_status(now=0).halted)
        subject.receive(VoteRequest("b", "a", 3, 9, 2, False))
        self.assertEqual(subject.effects, [])

    def test_refusal_of_an_old_term_confirms_no_round(self) -> None:
        """b led in term 2 and leads again in term 4. An append of term 2 arrives late; the
        answer carries term 4 and must not confirm a heartbeat round of term 4."""
        subject = Subject(term=4)
        subject.append((1, 1), (), term=2)
        self.assertEqual(getattr(subject.get_answer(), "round", None), 0)


class LeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subject = Subject(2, 2, term=3)
        self.subject.lead()

    def test_entries_of_earlier_terms_are_not_counted(self) -> None:
        """Entries of term 2 reach a majority under the leader of term 4. Until an entry of
        term 4 does, another leader may overwrite them, so they are not committed."""
        self.subject.persist()
        self.subject.ack("b", 3)
        self.assertEqual(self.subject.consensus.commit_index, 1)
        self.subject.ack("b", 4)
        self.assertEqual(self.subject.consensus.commit_index, 4)

    def test_own_entry_counts_once_it_is_synced(self) -> None:
        persist = self.subject.list_effects(Persist)[0]
        self.subject.ack("b", 4)
        self.assertEqual(self.subject.consensus.commit_index, 1)
        self.subject.handle(Persisted(last_index=persist.last_index, last_term=persist.last_term))
        self.assertEqual(self.subject.consensus.commit_index, 4)

    def test_replaced_entries_are_not_synced(self) -> None:
        """Entries up to 4 were synced, then replaced by a single entry at 2. When this
        replica leads, its new entry 3 must not count as synced because 4 once was."""
        subject = Subject(2, 2, 2, term=3)
        subject.append((1, 1), make_entries(3), term=3)
        subject.receive(TimeoutNow("b", "a", 3))
        subject.receive(VoteAnswer("b", "a", 4, True))
        subject.ack("b", 3)
        self.assertEqual(subject.consensus.commit_index, 1)

    def test_read_waits_for_a_round_after_it(self) -> None:
        self.subject.persist()
        self.subject.ack("b", 4, round_number=1)
        self.subject.handle(ReadRequested(read_id=7))
        self.assertEqual(self.subject.list_effects(ReadReady), [])
        self.subject.ack("b", 4, round_number=1)
        self.assertEqual(self.subject.list_effects(ReadReady), [])
        self.subject.ack("b", 4, round_number=2)
        self.assertEqual(self.subject.list_effects(ReadReady), [ReadReady(read_id=7, index=4)])

    def test_read_during_a_round_waits_for_the_next(self) -> None:
        self.subject.persist()
        self.subject.ack("b", 4, round_number=1)
        self.subject.handle(ReadRequested(read_id=7))
        self.subject.handle(ReadRequested(read_id=8))
        self.subject.ack("b", 4, round_number=2)
        ready = self.subject.list_effects(ReadReady)
        self.assertEqual([one.read_id for one in ready], [7])
        self.subject.ack("b", 4, round_number=3)
        self.assertEqual(self.subject.list_effects(ReadReady)[0].read_id, 8)

    def test_read_of_a_new_leader_waits_for_its_first_entry(self) -> None:
        """The previous leader acknowledged writes that this one holds but does not know
        to be committed. A read at its own commit index would miss them."""
        self.subject.persist()
        self.subject.handle(ReadRequested(read_id=7))
        self.subject.ack("b", 3, round_number=9)
        self.assertEqual(self.subject.list_effects(ReadReady), [])
        self.subject.ack("b", 4, round_number=9)
        self.assertEqual(self.subject.list_effects(ReadReady), [ReadReady(read_id=7, index=4)])

    def test_lost_entries_exclude_a_replica(self) -> None:
        """b acknowledged entry 4; later it rejects an append and its log ends at 0. Its
        disk was lost, so it is excluded. A delayed rejection from before the
        acknowledgement must not exclude it."""
        self.subject.ack("b", 4, round_number=1)
        self.subject.refuse("b", 0, round_number=1)
        self.assertEqual(self.subject.list_effects(ReplicaRegressed), [])
        self.subject.refuse("b", 0, round_number=2)
        self.assertEqual(
            self.subject.list_effects(ReplicaRegressed), [ReplicaRegressed(replica_id="b")]
        )

    def test_voter_that_forgot_its_membership_is_excluded(self) -> None:
        self.subject.refuse("c", 0, round_number=1, member=False)
        self.assertEqual(
            self.subject.list_effects(ReplicaRegressed), [ReplicaRegressed(replica_id="c")]
        )

    def test_proposals_end_once(self) -> None:
        """A pending proposal ends as unknown when leadership is lost; one proposed to a
        follower is refused with the id of the leader."""
        proposal = Proposal(proposal_id=1, data=b"x")
        self.subject.handle(Propose(proposals=(proposal,)))
        self.assertEqual(self.subject.list_effects(ProposalEnded), [])
        self.subject.receive(AppendRequest("c", "a", 9, 1, 1, (), 1, 1))
        ended = self.subject.list_effects(ProposalEnded)
        self.assertEqual([one.outcome for one in ended], [Outcome.UNKNOWN])
        self.subject.handle(Propose(proposals=(Proposal(proposal_id=2, data=b"y"),)))
        ended = self.subject.list_effects(ProposalEnded)
        self.assertEqual([(one.outcome, one.leader) for one in ended], [(Outcome.REFUSED, "c")])

    def test_leadership_transfer_waits_for_commits(self) -> None:
        """b holds every entry, but the last one is not committed yet. A transfer now would
        needlessly end its proposal as unknown."""
        persist = self.subject.list_effects(Persist)[0]
        self.subject.ack("b", 4)
        self.subject.handle(TransferLeadership(target="b"))
        self.assertEqual(self.subject.list_effects(SendMessage), [])
        self.subject.handle(Persisted(last_index=persist.last_index, last_term=persist.last_term))
        sent = [one.message for one in self.subject.list_effects(SendMessage)]
        self.assertTrue(any(isinstance(one, TimeoutNow) for one in sent))

    def test_snapshot_compacts_and_keeps_terms(self) -> None:
        self.subject.persist()
        self.subject.ack("b", 4)
        self.subject.handle(SnapshotTaken(index=4, data=b"s"))
        persist = self.subject.list_effects(Persist)[0]
        assert persist.snapshot is not None
        self.assertEqual((persist.snapshot.index, persist.snapshot.term), (4, 4))
        self.assertEqual(self.subject.handle(SnapshotTaken(index=9, data=b"s")), [])


class LogTest(unittest.TestCase):
    def test_entries_behind_a_snapshot(self) -> None:
        """Both limits bound the entries kept; the term before them stays known."""
        cases = {"entries": (Limits(trailing_entries=3), 6), "bytes": (Limits(trailing_bytes=7), 7)}
        for name, (limits, base) in cases.items():
            with self.subTest(name):
                first = Snapshot(index=1, term=1, members=VOTERS)
                recovered = Recovered(snapshot=first, entries=make_entries(*range(2, 12)))
                log = Log(recovered=recovered, limits=limits)
                log.compact(Snapshot(index=9, term=9, members=VOTERS))
                self.assertEqual((log.base_index, log.find_term(base)), (base, base))
                self.assertEqual((log.last_index, log.find_term(11)), (11, 11))


class FirstElectionTest(unittest.TestCase):
    def test_first_attempts_are_early_and_later_ones_use_the_usual_bounds(self) -> None:
        """All replicas lost power and restart without a leader.

        With the usual election timeout the service would be down for another second. The
        first attempts have shorter bounds. Unanswered ones are followed by attempts at
        the usual bounds, so that a single replica does not send vote requests too often.
        """
        timing = Timing(first_election_min_s=0.1, first_election_max_s=0.4)
        recovered = Recovered(snapshot=Snapshot(index=1, term=1, members=make_voters("a", "b")))
        replica = Consensus(replica_id="a", random=Random(1), timing=timing, recovered=recovered)
        now, attempts = 0.0, []
        while now < 8.0:
            effects = replica.handle(TimeReached(), now=now)
            if any(isinstance(one, SendMessage) for one in effects):
                attempts.append(now)
            now += 0.01
        waits = [after - before for before, after in zip([0.0, *attempts], attempts, strict=False)]
        self.assertLess(max(waits[:FIRST_ELECTION_ATTEMPTS]), 0.42)
        self.assertGreater(min(waits[FIRST_ELECTION_ATTEMPTS:]), 0.58)

    def test_replica_outside_the_log_reports_no_change_twice(self) -> None:
        """A replica that is not a member yet reaches its election timeout again and again.

        Each time it reported that it knows no leader, although this had not changed.
        """
        replica = Consensus(
            replica_id="a", random=Random(1), timing=Timing(), recovered=Recovered()
        )
        reported = [
            effect
            for step in range(100)
            for effect in replica.handle(TimeReached(), now=step * 0.1)
            if isinstance(effect, LeadershipChanged)
        ]
        self.assertLessEqual(len(reported), 1)


if __name__ == "__main__":
    unittest.main()
