"""How a replica broadcasts endpoints that announce themselves to it to the other replicas."""

import unittest

import msgspec

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.table import RESTORED_TTL_S, EndpointTable
from chivetrack.components.distribution.broadcast import EndpointBroadcaster
from chivetrack.components.distribution.const import BROADCAST_INTERVAL_S
from chivetrack.components.distribution.messages import BroadcastHeartbeats, BroadcastRecords
from chivetrack.components.peers.const import FRAME_OVERHEAD_BYTES
from chivetrack.components.peers.frames import encode_frame
from chivetrack.helpers.codec import pack
from tests.components.announcements.test_packing import make_fleet
from tests.components.announcements.test_table import make_record

HEARTBEAT_S = 1.2
OTHERS = 4
# A tenth of a link of 4.2 Mbit/s.
MAX_BYTES_PER_S = 52_500


class Side:
    """One replica's table and its broadcaster."""

    def __init__(self) -> None:
        self.table = EndpointTable()
        self.broadcaster = EndpointBroadcaster(table=self.table)

    def announce(self, record: EndpointRecord, now: float) -> None:
        if self.table.merge(record, now=now):
            self.broadcaster.record_change(record)
        else:
            self.broadcaster.record_heartbeat(record.endpoint_id)

    def handle(
        self, message: BroadcastRecords | BroadcastHeartbeats, source: "Side", now: float
    ) -> None:
        if isinstance(message, BroadcastRecords):
            for record in message.records:
                self.table.merge(record, now=now)
            return
        request = self.broadcaster.handle_heartbeats(message, now=now)
        answer = None if request is None else source.broadcaster.make_records(request)
        if answer is not None:
            self.handle(answer, source, now)


class SpreadingTest(unittest.TestCase):
    def test_heartbeats_leave_room_for_the_log(self) -> None:
        """Guards against reads that no quorum confirms because the log waits behind heartbeats."""
        side = Side()
        fleet = make_fleet(600)
        sent = 0
        steps_per_heartbeat = round(HEARTBEAT_S / BROADCAST_INTERVAL_S)
        for step in range(10 * steps_per_heartbeat):
            now = step * BROADCAST_INTERVAL_S
            for record in fleet[step % steps_per_heartbeat :: steps_per_heartbeat]:
                sequence = record.sequence + 1 + step // steps_per_heartbeat
                side.announce(msgspec.structs.replace(record, sequence=sequence), now)
            messages = side.broadcaster.make_messages(now=now)
            if messages and now > HEARTBEAT_S:
                frame = encode_frame([pack(message) for message in messages])
                sent += OTHERS * (len(frame) + FRAME_OVERHEAD_BYTES)
        self.assertLess(sent / (9 * HEARTBEAT_S), MAX_BYTES_PER_S)

    def test_heartbeat_received_by_another_replica_keeps_an_endpoint_alive(self) -> None:
        """Guards against endpoints taken for silent by replicas that get no direct heartbeats."""
        here, there = Side(), Side()
        for step in range(10):
            now = HEARTBEAT_S * step
            here.announce(make_record(step + 1), now)
            for message in here.broadcaster.make_messages(now=now):
                there.handle(message, here, now)
        self.assertEqual(there.table.list_silent(HEARTBEAT_S * 10), [])

    def test_lost_record_is_requested(self) -> None:
        """Guards against endpoints that stay unknown to a replica after one lost message."""
        here, there = Side(), Side()
        for sequence, changes in (
            (1, {}),
            (3, {"slots": 32}),
            (5, {"state": EndpointState.DRAINING}),
        ):
            here.announce(make_record(sequence, **changes), float(sequence))
            here.broadcaster.make_messages(now=float(sequence))
            now = sequence + 1.0
            here.announce(make_record(sequence + 1, **changes), now)
            for message in here.broadcaster.make_messages(now=now):
                there.handle(message, here, now)
            self.assertEqual(there.table.find("e1"), here.table.find("e1"))

    def test_late_heartbeat_does_not_revive_an_endpoint(self) -> None:
        """Guards against requests to an endpoint that left, after a heartbeat that came late."""
        here, there = Side(), Side()
        here.announce(make_record(1), 0.0)
        late = BroadcastHeartbeats(
            endpoint_ids=("e1",), sequences=(9,), checksums=(here.table.find_checksum("e1"),)
        )
        there.table.merge(make_record(1), now=0.0)
        there.table.close("e1", born=None, now=0.5)
        there.handle(late, here, 1.0)
        record = there.table.find("e1")
        assert record is not None
        self.assertIs(record.state, EndpointState.LEFT)

    def test_heartbeat_confirms_an_endpoint_restored_from_disk(self) -> None:
        """Guards against healthy endpoints dropped seconds after a replica has restarted."""
        here, there = Side(), Side()
        here.announce(make_record(1), 0.0)
        there.table.restore([make_record(1)], now=0.0)
        here.announce(make_record(2), 1.2)
        for message in here.broadcaster.make_messages(now=1.2):
            if isinstance(message, BroadcastHeartbeats):
                there.handle(message, here, 1.2)
        self.assertFalse(there.table.mark_unconfirmed_lost(RESTORED_TTL_S + 0.1))


if __name__ == "__main__":
    unittest.main()
