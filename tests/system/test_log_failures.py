"""System tests of the replicated log: kills, freezes, partitions, lost disks, write races."""

import json
import socket
import threading
import unittest
from random import SystemRandom

from chivetrack.components.storage.backup import make_replica_id, restore_backup
from chivetrack.components.storage.records import Identity
from standins.fleet import RESOURCE_PORT, Fleet, open_fleet
from tests.system.fleets import (
    LinkedFleet,
    Operator,
    delete_folder,
    make_workspace,
    open_linked_fleet,
    wait_for,
)

REPLICAS = ["entry-1", "entry-2", "entry-3"]


class FleetCase(unittest.TestCase):
    def open(self) -> tuple[Fleet, Operator]:
        fleet = self.enterContext(open_fleet())
        fleet.plan_instances(3)
        fleet.start_instances()
        return fleet, Operator(fleet=fleet)

    def open_linked(self, instances: int) -> tuple[LinkedFleet, Operator]:
        fleet = self.enterContext(open_linked_fleet(instances=instances))
        return fleet, Operator(fleet=fleet)

    def read_all(self, operator: Operator, through: str, names: list[str]) -> None:
        for name in names:
            self.assertEqual(operator.get(through, name).status, 200, name)

    def restart(self, fleet: Fleet, name: str) -> None:
        plan = next(plan for plan in fleet.plans if plan.name == name)
        fleet.start_instance(plan)


class KilledLeaderTest(FleetCase):
    def test_accepted_writes_survive_a_killed_leader(self) -> None:
        """Guards against lost writes and against refused writes that were executed.

        Operators write through the followers while the leader is killed. Accepted writes
        must exist afterwards, also at the restarted process; writes refused with
        ``ran: no`` must not exist. Other writes may have either outcome.
        """
        fleet, operator = self.open()
        leader = operator.find_leader()
        others = [name for name in REPLICAS if name != leader]
        answers: dict[str, int] = {}
        refused: list[str] = []
        stop = threading.Event()

        def write(through: str) -> None:
            number = 0
            while not stop.is_set():
                number += 1
                name = f"{through}-{number}"
                answer = Operator(fleet=fleet).create(through, name)
                answers[name] = answer.status
                error = answer.document.get("error", {})
                if error.get("ran") == "no":
                    refused.append(name)

        writers = [threading.Thread(target=write, args=(name,)) for name in others]
        for writer in writers:
            writer.start()
        wait_for(lambda: len(answers) > 20, "no writes")
        fleet.members[leader].kill()
        after = len(answers)
        wait_for(lambda: len(answers) > after + 20, "no writes after the kill")
        stop.set()
        for writer in writers:
            writer.join()
        self.restart(fleet, leader)
        fleet.wait_ready(leader)
        accepted = [name for name, status in answers.items() if status == 201]
        self.assertGreater(len(accepted), 20)
        for through in REPLICAS:
            self.read_all(operator, through, accepted[:3] + accepted[-10:])
        for name in refused:
            self.assertEqual(operator.get(leader, name).status, 404, name)


class FrozenLeaderTest(FleetCase):
    def test_frozen_leader_serves_no_stale_read_and_keeps_its_revision(self) -> None:
        """Guards against stale reads through a former leader.

        The leader is frozen for longer than an election, and another replica is elected and
        accepts a change. When the former leader resumes, it assumes that it still leads; it
        must not serve the old state, and its revision must not decrease.
        """
        fleet, operator = self.open()
        leader = operator.find_leader()
        others = [name for name in REPLICAS if name != leader]
        first = operator.create(leader, "hakata", 1)
        fleet.members[leader].freeze()
        next_leader = operator.find_leader(among=others)
        self.assertNotEqual(next_leader, leader)
        second = operator.replace(others[0], "hakata", 2, first.revision)
        self.assertEqual(second.status, 200)
        fleet.members[leader].thaw()
        seen = wait_for(lambda: self.read(operator, leader), "the resumed leader serves no read")
        self.assertEqual(seen, 2)
        status = operator.get_status(leader)
        self.assertGreaterEqual(status["configuration"]["revision"], 0)

    def read(self, operator: Operator, through: str) -> int:
        answer = operator.get(through, "hakata")
        return int(answer.document["spec"]["priority"]) if answer.status == 200 else 0


class CutLeaderTest(FleetCase):
    def test_leader_in_the_minority_of_a_silent_partition(self) -> None:
        """Guards against accepted writes and stale reads in the minority of a partition.

        Bytes from and to the leader are dropped while its connections stay open, so it
        detects no error. Writes through it must not be accepted, reads through it must not
        return the old state, and the majority accepts writes. After the partition heals, the
        former leader serves the accepted revision and not the older one.
        """
        fleet, operator = self.open_linked(5)
        leader = operator.find_leader()
        others = [plan.name for plan in fleet.plans if plan.name != leader]
        first = operator.create(leader, "hakata", 1)
        self.assertEqual(first.status, 201)
        fleet.cut(leader)
        operator.find_leader(among=others)
        second = operator.replace(others[0], "hakata", 2, first.revision)
        self.assertEqual(second.status, 200)
        lost = operator.create(leader, "lost", 1)
        self.assertNotIn(lost.status, (200, 201))
        stale = operator.get(leader, "hakata")
        self.assertNotEqual(stale.status, 200)
        ready = fleet.request("GET", fleet.members[leader], "/readyz")
        self.assertEqual(ready.status, 503)
        fleet.heal()
        fleet.wait_ready(leader)
        healed = operator.get(leader, "hakata")
        self.assertEqual(healed.document["spec"]["priority"], 2)
        if lost.document.get("error", {}).get("ran") == "no":
            self.assertEqual(operator.get(others[0], "lost").status, 404)


class LostDiskTest(FleetCase):
    def test_second_loss_right_after_a_repair(self) -> None:
        """Guards against data loss when a replica fails right after another was replaced.

        A replica that restarts with an empty folder is an unknown peer: it votes only after
        it was added and has caught up. When another replica is killed after that, no accepted
        write may be lost, and new writes must be accepted.
        """
        fleet, operator = self.open()
        leader = operator.find_leader()
        victim, other = [name for name in REPLICAS if name != leader]
        names = [f"w{number}" for number in range(10)]
        for name in names:
            self.assertEqual(operator.create(leader, name).status, 201)
        old_id = self.find_replica(operator, leader, victim)
        member = fleet.members[victim]
        member.kill()
        delete_folder(fleet, member)
        self.restart(fleet, victim)
        log = fleet.members[victim]
        wait_for(lambda: "is not a member" in log.read_log(), "the replica is still a member")
        new_id = log.read_log().rpartition("replica add ")[2].split()[0]
        self.assertNotEqual(new_id, old_id)
        removed = operator.send("DELETE", leader, f"replicas/{old_id}")
        self.assertEqual(removed.status, 202, removed)
        added = operator.send("POST", leader, "replicas", {"id": new_id})
        self.assertEqual(added.status, 202, added)
        wait_for(lambda: self.votes(operator, leader, new_id), "the new replica does not vote")
        fleet.members[other].kill()
        wait_for(lambda: operator.create(leader, "after").status == 201, "no writes")
        for through in (leader, victim):
            self.read_all(operator, through, [*names, "after"])

    def find_replica(self, operator: Operator, through: str, instance: str) -> str:
        members = operator.get_status(through)["log"]["members"]
        (found,) = [
            member["replica"] for member in members if member["replica"].startswith(instance)
        ]
        return str(found)

    def votes(self, operator: Operator, through: str, replica_id: str) -> bool:
        members = operator.get_status(through).get("log", {}).get("members", [])
        return {"replica": replica_id, "voter": True} in members


class DamagedDiskTest(FleetCase):
    def test_flipped_byte_stops_the_replica_and_names_the_place(self) -> None:
        """Guards against a replica that starts on a corrupted log.

        One byte in the middle of the log is flipped before a restart. With it the replica
        would vote and answer from a state that was never committed. The replica must stop
        and log the file and offset; the other two must accept writes.
        """
        fleet, operator = self.open()
        leader = operator.find_leader()
        victim = next(name for name in REPLICAS if name != leader)
        for number in range(10):
            operator.create(leader, f"w{number}")
        member = fleet.members[victim]
        member.kill()
        (segment,) = sorted((fleet.folder / victim).glob("log-*"))[-1:]
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 0x40
        segment.write_bytes(bytes(data))
        self.restart(fleet, victim)
        log = fleet.members[victim]
        wait_for(lambda: "The replica has stopped" in log.read_log(), "not stopped")
        self.assertIn(segment.name, log.read_log())
        self.assertIn("offset", log.read_log())
        self.assertEqual(operator.create(leader, "after").status, 201)


class LostMajorityTest(FleetCase):
    def test_backup_of_a_running_fleet_starts_a_new_log(self) -> None:
        """Guards against a backup from which no fleet can be restored.

        All replicas are lost permanently and an operator has a backup. The folder restored
        from it holds everything that was accepted up to the backup. Its replica is the only
        voter, becomes leader at once, and accepts new replicas.
        """
        fleet, operator = self.open()
        operator.find_leader()
        for number in range(5):
            self.assertEqual(operator.create("entry-2", f"w{number}").status, 201)
        backup = fleet.folder / "backup"
        backup.write_bytes(operator.read_bytes("entry-3", "backup"))
        for name in REPLICAS:
            fleet.members[name].kill()
            delete_folder(fleet, fleet.members[name])
        replica_id = make_replica_id(instance_id="entry-1", random=SystemRandom())
        identity = Identity(replica_id, "entry-1")
        restore_backup(backup, folder=fleet.folder / "entry-1", identity=identity)
        self.restart(fleet, "entry-1")
        wait_for(lambda: operator.get("entry-1", "w4").status == 200, "the backup is not restored")
        self.restart(fleet, "entry-2")
        log = fleet.members["entry-2"]
        wait_for(lambda: "is not a member" in log.read_log(), "the replica is still a member")
        new_id = log.read_log().rpartition("replica add ")[2].split()[0]
        self.assertEqual(operator.send("POST", "entry-1", "replicas", {"id": new_id}).status, 202)
        fleet.wait_ready("entry-2")
        self.assertEqual(operator.create("entry-2", "after").status, 201)
        self.read_all(operator, "entry-2", ["w0", "w4", "after"])


class RacingOperatorsTest(FleetCase):
    def test_equal_revisions_and_resends(self) -> None:
        """Guards against lost updates and against resent requests that run twice.

        When two operators replace the same revision at once, exactly one succeeds and the
        other gets a conflict with the current revision. A third operator loses its answer
        and resends the request through another instance: it gets the first outcome, and the
        same request id with another body is refused.
        """
        fleet, operator = self.open()
        first = operator.create("entry-1", "hakata", 1)
        for priority in (2, 4, 6, 8):
            answers = self.race(fleet, first.revision, priority)
            statuses = sorted(answer.status for answer in answers)
            self.assertEqual(statuses, [200, 409])
            (winner,) = [answer for answer in answers if answer.status == 200]
            (loser,) = [answer for answer in answers if answer.status == 409]
            shown = loser.document["error"]["current"]["metadata"]["revision"]
            self.assertEqual(shown, winner.revision)
            first = winner
        self.lose_answer(fleet, "entry-1", "sikka")
        again = operator.create("entry-2", "sikka", X_Request_Id="lost-1")
        self.assertEqual(again.status, 201, again)
        other = operator.create("entry-3", "sikka", 9, X_Request_Id="lost-1")
        self.assertEqual(other.document["error"]["code"], "request_id_reused")

    def race(self, fleet: Fleet, revision: int, priority: int) -> list:
        answers: list = []

        def write(through: str, value: int) -> None:
            operator = Operator(fleet=fleet)
            answers.append(operator.replace(through, "hakata", value, revision))

        threads = [
            threading.Thread(target=write, args=("entry-1", priority)),
            threading.Thread(target=write, args=("entry-2", priority + 1)),
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def lose_answer(self, fleet: Fleet, through: str, name: str) -> None:
        body = json.dumps(make_workspace(name, 1)).encode()
        head = (
            f"POST /api/v1/workspace HTTP/1.1\r\nHost: x\r\nX-Request-Id: lost-1\r\n"
            f"Authorization: Bearer {fleet.operator_key}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        host = fleet.members[through].host
        with socket.create_connection((host, RESOURCE_PORT)) as connection:
            connection.sendall(head.encode() + body)
