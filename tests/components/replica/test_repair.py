"""Member changes of a leader when disks are lost and instances leave or are added."""

import unittest

from chivetrack.components.consensus.const import ELECTION_MIN_S
from chivetrack.components.consensus.members import ChangeKind, Member, Members
from chivetrack.components.consensus.models import ConsensusStatus, ReplicaStatus, Role
from chivetrack.components.replica.repair import (
    LEARNER_TIMEOUT_S,
    VOTER_TIMEOUT_SHARE,
    JoinRequest,
    LeaveNotice,
    MemberChange,
    Repair,
)

CATCH_UP_S = 4.0
VOTER_TIMEOUT_S = VOTER_TIMEOUT_SHARE * CATCH_UP_S


class Log:
    """The members as a leader on i1 sees them; changes take effect at once."""

    def __init__(self, voters: int, learners: int = 0) -> None:
        self.members = Members(
            members=tuple(
                Member(replica_id=f"i{n}.a", instance_id=f"i{n}", voter=n <= voters)
                for n in range(1, voters + learners + 1)
            )
        )
        self.ages: dict[str, float] = {}
        self.silences: dict[str, float] = {}
        self.lagging: set[str] = set()
        self.repair = Repair(target_voters=5, catch_up_s=CATCH_UP_S)

    def get_status(self) -> ConsensusStatus:
        return ConsensusStatus(
            replica_id="i1.a",
            role=Role.LEADER,
            term=1,
            leader_id="i1.a",
            leader_instance="i1",
            commit_index=9,
            last_index=9,
            snapshot_index=0,
            members=self.members,
            halted=False,
            replicas=tuple(
                ReplicaStatus(
                    replica_id=one.replica_id,
                    instance_id=one.instance_id,
                    voter=one.voter,
                    match_index=9,
                    last_contact_age_s=self.ages.get(one.replica_id, 0.0),
                    silence_s=self.silences.get(one.replica_id, self.ages.get(one.replica_id, 0.0)),
                    regressed=False,
                    caught_up=one.replica_id not in self.lagging,
                )
                for one in self.members.members
            ),
        )

    def join(self, instance: str, replica_id: str, now: float = 0.0) -> None:
        self.repair.record_join_request(JoinRequest(instance, replica_id), now=now)

    def step(self, now: float = 0.0) -> MemberChange | None:
        change = self.repair.choose_change(self.get_status(), now=now)
        if change is not None:
            self.members = self.members.change(change.kind, change.member)
        return change

    def settle(self, now: float = 0.0) -> list[tuple[ChangeKind, str]]:
        changes = []
        while (change := self.step(now)) is not None:
            changes.append((change.kind, change.member.replica_id))
            assert len(changes) < 20, changes
        return changes


class RepairTest(unittest.TestCase):
    def test_log_of_three_voters_grows_to_five(self) -> None:
        log = Log(voters=3)
        log.join("i4", "i4.a")
        log.join("i5", "i5.a")
        log.settle()
        self.assertEqual(len(log.members.list_voters()), 5)

    def test_two_lost_disks_at_once(self) -> None:
        """Two of five replicas return with empty disks, under new ids.

        Their old ids are removed, the new ones become learners and then voters. At every
        step, the three remaining voters and the promoted ones must be a quorum.
        """
        log = Log(voters=5)
        log.join("i4", "i4.b")
        log.join("i5", "i5.b")
        log.ages = {"i4.a": 2.0, "i5.a": 2.0}
        alive = {"i1.a", "i2.a", "i3.a"}
        for _ in range(20):
            change = log.step()
            if change is None:
                break
            if change.kind is ChangeKind.PROMOTE:
                alive.add(change.member.replica_id)
            self.assertTrue(log.members.has_quorum(alive), change)
        voters = set(log.members.list_voters())
        self.assertEqual(voters, {"i1.a", "i2.a", "i3.a", "i4.b", "i5.b"})
        self.assertIn("i4.a", log.members.retired)

    def test_old_request_of_a_retired_replica(self) -> None:
        """A join request that was sent before the disk was lost arrives late.

        If it were accepted, the replacement replica would be removed again.
        """
        log = Log(voters=5)
        log.join("i4", "i4.b")
        log.settle()
        log.join("i4", "i4.a")
        self.assertEqual(log.settle(), [])

    def test_lost_voter_is_replaced_by_a_new_instance(self) -> None:
        log = Log(voters=5)
        log.join("i6", "i6.a")
        self.assertEqual(log.settle(), [(ChangeKind.ADD_LEARNER, "i6.a")])
        log.ages = {"i3.a": VOTER_TIMEOUT_S + 0.1}
        self.assertEqual(log.settle(), [(ChangeKind.DEMOTE, "i3.a"), (ChangeKind.PROMOTE, "i6.a")])

    def test_silent_voter_gives_way_within_the_time_of_its_successor(self) -> None:
        """Guards against a removed voter that outlasts the time to catch up."""
        log = Log(voters=5, learners=1)
        log.ages = {"i3.a": CATCH_UP_S - 1.0}
        self.assertEqual(log.settle(), [(ChangeKind.DEMOTE, "i3.a"), (ChangeKind.PROMOTE, "i6.a")])

    def test_silence_counts_across_elections(self) -> None:
        """Guards against a removed voter that each election keeps for longer."""
        log = Log(voters=5, learners=1)
        log.silences = {"i3.a": CATCH_UP_S}
        log.ages = {"i3.a": ELECTION_MIN_S - 0.1}
        self.assertEqual(log.settle(), [])
        log.ages = {"i3.a": ELECTION_MIN_S}
        self.assertEqual(log.settle(), [(ChangeKind.DEMOTE, "i3.a"), (ChangeKind.PROMOTE, "i6.a")])

    def test_voter_that_stops_gives_way_at_once(self) -> None:
        """Guards against a voter that has announced its stop and is waited for all the same."""
        log = Log(voters=5, learners=1)
        log.repair.record_leave(LeaveNotice("i3.a"), now=0.0)
        self.assertEqual(log.settle(), [(ChangeKind.DEMOTE, "i3.a"), (ChangeKind.PROMOTE, "i6.a")])

    def test_voter_that_stops_is_kept_without_a_successor(self) -> None:
        log = Log(voters=5)
        log.repair.record_leave(LeaveNotice("i3.a"), now=0.0)
        self.assertEqual(log.settle(), [])

    def test_silent_voter_is_kept_while_its_successor_lags(self) -> None:
        """Guards against a voter that is demoted while nobody can take its place."""
        log = Log(voters=5, learners=1)
        log.lagging = {"i6.a"}
        log.ages = {"i3.a": LEARNER_TIMEOUT_S}
        self.assertEqual(log.settle(), [])

    def test_learner_that_lags_blocks_no_other(self) -> None:
        """Guards against a learner that is proposed again and again, and refused each time."""
        log = Log(voters=4, learners=2)
        log.lagging = {"i5.a"}
        self.assertEqual(log.settle(), [(ChangeKind.PROMOTE, "i6.a")])

    def test_voter_is_kept_before_its_timeout(self) -> None:
        log = Log(voters=5, learners=1)
        log.ages = {"i3.a": VOTER_TIMEOUT_S - 0.5}
        self.assertEqual(log.settle(), [])

    def test_unreachable_learner_is_removed_and_not_promoted(self) -> None:
        log = Log(voters=4, learners=1)
        log.ages = {"i5.a": 2.0}
        self.assertEqual(log.settle(), [])
        log.ages = {"i5.a": LEARNER_TIMEOUT_S + 1.0}
        self.assertEqual(log.settle(), [(ChangeKind.REMOVE, "i5.a")])

    def test_join_request_expires(self) -> None:
        log = Log(voters=5)
        log.join("i6", "i6.a", now=0.0)
        self.assertEqual(log.settle(now=5.0), [])


if __name__ == "__main__":
    unittest.main()
