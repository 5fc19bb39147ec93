"""Packing of endpoint records: lossless and compact."""

import unittest
import zlib
from random import Random

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.packing import pack_records, unpack_records
from tests.components.announcements.test_table import make_record


def make_fleet(count: int) -> list[EndpointRecord]:
    random = Random(1)
    return [
        make_record(
            random.randrange(1, 9),
            endpoint_id=f"i-{random.getrandbits(32):08x}",
            born=1_780_000_000_000 + random.randrange(300),
            address=f"10.{128 + number % 3}.{number // 250}.{number % 250}:8080",
            zone=f"hall-{number % 3}",
            models=("m",),
        )
        for number in range(count)
    ]


class PackingTest(unittest.TestCase):
    def test_unpacked_records_equal_packed_ones(self) -> None:
        records = [
            *make_fleet(20),
            make_record(7, state=EndpointState.DRAINING, cold_s=1.25, models=("a", "b")),
            make_record(2**62, endpoint_id="e2", state=EndpointState.LEFT, born=0),
        ]
        read = unpack_records(pack_records(records))
        self.assertCountEqual(read.ok, records)
        self.assertEqual(unpack_records(pack_records([])).ok, [])

    def test_size_of_a_large_table(self) -> None:
        """Guards against tables that occupy a link of 4 Mbit/s for seconds."""
        self.assertLess(len(pack_records(make_fleet(3000))), 15 * 3000)

    def test_invalid_payload_gives_error(self) -> None:
        """Guards against a router that crashes or uses gigabytes of memory on an invalid update."""
        packed = pack_records(make_fleet(3))
        bomb = zlib.compress(bytes(20 * 1024 * 1024))
        for payload in (b"", b"x", packed[:-3], zlib.compress(b"\x93\x01"), bomb):
            self.assertTrue(unpack_records(payload).is_error())


if __name__ == "__main__":
    unittest.main()
