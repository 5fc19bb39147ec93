"""What replicas tell each other of the endpoints that announce themselves to one of them."""

import unittest

import msgspec

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.table import RESTORED_TTL_S, EndpointTable
from chivetrack.components.distribution.const import SPREAD_EVERY_S
from chivetrack.components.distribution.messages import SpreadHeartbeats, SpreadRecords
from chivetrack.components.distribution.spreading import Spreading
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
    """One replica's table and what it tells the others."""

    def __init__(self) -> None:
        self.table = EndpointTable()
        self.spreading = Spreading(table=self.table)

    def announce(self, record: EndpointRecord, now: float) -> None:
        if self.table.merge(record, now=now):
            self.spreading.note_change(record)
        else:
            self.spreading.note_heartbeat(record.endpoint_id)

    def take(self, message: SpreadRecords | SpreadHeartbeats, source: "Side", now: float) -> None:
        if isinstance(message, SpreadRecords):
            for record in message.records:
                self.table.merge(record, now=now)
            return
        ask = self.spreading.take_heartbeats(message, now=now)
        answer = None if ask is None else source.spreading.answer(ask)
        if answer is not None:
            self.take(answer, source, now)


class SpreadingTest(unittest.TestCase):
    def test_heartbeats_leave_room_for_the_log(self) -> None:
        """Guards against reads that no quorum confirms: the log waited behind heartbeats."""
        side = Side()
        fleet = make_fleet(600)
        sent = 0
        steps_per_heartbeat = round(HEARTBEAT_S / SPREAD_EVERY_S)
        for step in range(10 * steps_per_heartbeat):
            now = step * SPREAD_EVERY_S
            for record in fleet[step % steps_per_heartbeat :: steps_per_heartbeat]:
                sequence = record.sequence + 1 + step // steps_per_heartbeat
                side.announce(msgspec.structs.replace(record, sequence=sequence), now)
            messages = side.spreading.make_messages(now=now)
            if messages and now > HEARTBEAT_S:
                frame = encode_frame([pack(one) for one in messages])
                sent += OTHERS * (len(frame) + FRAME_OVERHEAD_BYTES)
        self.assertLess(sent / (9 * HEARTBEAT_S), MAX_BYTES_PER_S)

    def test_heartbeat_keeps_an_endpoint_heard_elsewhere(self) -> None:
        """Guards against endpoints taken for silent by replicas that they don't speak to."""
        here, there = Side(), Side()
        for step in range(10):
            now = HEARTBEAT_S * step
            here.announce(make_record(step + 1), now)
            for message in here.spreading.make_messages(now=now):
                there.take(message, here, now)
        self.assertEqual(there.table.list_silent(HEARTBEAT_S * 10), [])

    def test_record_that_was_lost_is_asked_for(self) -> None:
        """Guards against endpoints that stay unknown to a replica after one lost message."""
        here, there = Side(), Side()
        for sequence, changes in (
            (1, {}),
            (3, {"slots": 32}),
            (5, {"state": EndpointState.DRAINING}),
        ):
            here.announce(make_record(sequence, **changes), float(sequence))
            here.spreading.make_messages(now=float(sequence))
            now = sequence + 1.0
            here.announce(make_record(sequence + 1, **changes), now)
            for message in here.spreading.make_messages(now=now):
                there.take(message, here, now)
            self.assertEqual(there.table.find("e1"), here.table.find("e1"))

    def test_late_heartbeat_does_not_revive_an_endpoint(self) -> None:
        """Guards against requests to an endpoint that left, after a heartbeat held up by a cut."""
        here, there = Side(), Side()
        here.announce(make_record(1), 0.0)
        late = SpreadHeartbeats(
            endpoint_ids=("e1",), sequences=(9,), checksums=(here.table.find_checksum("e1"),)
        )
        there.table.merge(make_record(1), now=0.0)
        there.table.close("e1", born=None, now=0.5)
        there.take(late, here, 1.0)
        record = there.table.find("e1")
        assert record is not None
        self.assertIs(record.state, EndpointState.LEFT)

    def test_heartbeat_confirms_an_endpoint_restored_from_disk(self) -> None:
        """Guards against sound endpoints given up seconds after a replica has restarted."""
        here, there = Side(), Side()
        here.announce(make_record(1), 0.0)
        there.table.restore([make_record(1)], now=0.0)
        here.announce(make_record(2), 1.2)
        for message in here.spreading.make_messages(now=1.2):
            if isinstance(message, SpreadHeartbeats):
                there.take(message, here, 1.2)
        self.assertFalse(there.table.mark_unconfirmed_lost(RESTORED_TTL_S + 0.1))


if __name__ == "__main__":
    unittest.main()
