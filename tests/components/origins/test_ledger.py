"""What replicas remember of versions and of the origins of streams."""

import unittest
from unittest import mock

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.origins import ledger as ledger_module
from chivetrack.components.origins.const import (
    LOST_VERSION_MEMORY_S,
    MAX_REQUEST_ID,
    VERSION_MEMORY_S,
)
from chivetrack.components.origins.ledger import FoundOrigin, OriginLedger, RecordStore
from chivetrack.components.origins.messages import OriginAnswer, OriginGroup, OriginQuery
from chivetrack.components.origins.models import Origin
from tests.components.announcements.test_table import make_record

V1, V2 = Origin("llm", "v1"), Origin("llm", "v2")
MEMBERS = ("p1", "p2", "p3", "p4", "p5")


def make_group(origin: Origin, *requests: str, ttl_s: float = 20.0) -> OriginGroup:
    return OriginGroup(origin=origin, requests=requests, ttl_s=ttl_s)


def make_answer(*origins: Origin, is_complete: bool = True, **changes: object) -> OriginAnswer:
    fields: dict[str, object] = {"number": 1, "members": MEMBERS, "origins": origins}
    return OriginAnswer(**{**fields, "is_complete": is_complete, **changes})  # type: ignore[arg-type]


class RecordStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = RecordStore()

    def find(self, request: str, now: float) -> Origin | None:
        found = self.store.find(request, now=now)
        return None if found is None else found.origin

    def test_records_last_as_long_as_their_callers_wait(self) -> None:
        self.store.record(make_group(V1, "a", ttl_s=20.0), now=0.0)
        self.store.record(make_group(V2, "b", ttl_s=90.0), now=0.0)
        self.assertEqual(self.store.find("a", now=20.0), FoundOrigin(V1, recorded_at=0.0))
        self.assertEqual(self.find("b", 90.0), V2)
        self.assertIsNone(self.find("a", 60.0 + 20.0))
        self.assertEqual(len(self.store), 1)
        self.assertIsNone(self.find("b", 130.0))
        self.assertEqual(len(self.store), 0)

    def test_streams_with_the_same_id_have_no_known_origin(self) -> None:
        """Guards against a caller whose ids attribute the streams of another to its version."""
        self.store.record(make_group(V1, "a"), now=0.0)
        self.store.record(make_group(V1, "a"), now=1.0)
        self.assertEqual(self.find("a", 1.0), V1)
        self.store.record(make_group(V2, "a"), now=2.0)
        self.store.record(make_group(V1, "a"), now=3.0)
        self.assertEqual(self.find("a", 3.0), Origin("llm", ""))

    def test_inferred_origin_yields_to_a_recorded_one(self) -> None:
        """Guards against an id that a caller made up, and that a later stream has."""
        inferred = OriginGroup(V1, ("a", "b"), 20.0, is_inferred=True)
        self.store.record(inferred, now=0.0)
        self.assertEqual(self.store.find("a", now=1.0), FoundOrigin(V1, 0.0, is_inferred=True))
        self.store.record(make_group(V2, "a"), now=1.0)
        self.store.record(inferred, now=2.0)
        self.assertEqual(self.store.find("a", now=2.0), FoundOrigin(V2, 1.0))
        self.store.record(OriginGroup(V2, ("b",), 20.0, is_inferred=True), now=2.0)
        self.assertEqual(self.find("b", 2.0), Origin("llm", ""))

    def test_records_are_bounded(self) -> None:
        """Guards against a replica whose memory callers fill with ids."""
        self.store.record(make_group(V1, "", "x" * (MAX_REQUEST_ID + 1)), now=0.0)
        self.assertEqual(len(self.store), 0)
        with mock.patch.object(ledger_module, "MAX_RECORDS", 3):
            self.store.record(make_group(V1, "a", "b", "c", "d"), now=0.0)
        self.assertEqual(len(self.store), 3)


class VersionMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = OriginLedger(started_at=0.0, is_complete=True)

    def list_origins(self, now: float) -> set[Origin]:
        query = OriginQuery(number=1, services=("llm",))
        return set(self.ledger.answer(query, members=MEMBERS, now=now).origins)

    def test_version_that_leaves_is_remembered_while_its_streams_may_be_taken_up(self) -> None:
        """Guards against a single version right after the last endpoint of another one left."""
        self.ledger.refresh([make_record(), make_record(endpoint_id="e2", software="v2")], now=0.0)
        left = make_record(2, state=EndpointState.LEFT)
        current = make_record(endpoint_id="e2", software="v2")
        self.ledger.refresh([left, current], now=VERSION_MEMORY_S - 1.0)
        self.assertEqual(self.list_origins(VERSION_MEMORY_S - 1.0), {V1, V2})
        self.ledger.refresh([current], now=VERSION_MEMORY_S)
        self.assertEqual(self.list_origins(VERSION_MEMORY_S), {V2})

    def test_version_of_a_lost_endpoint_is_remembered_over_a_partition(self) -> None:
        """Guards against forgetting a version that serves routers on the other side."""
        lost = make_record(state=EndpointState.LOST)
        self.ledger.refresh([lost], now=0.0)
        self.ledger.refresh([], now=LOST_VERSION_MEMORY_S - 1.0)
        self.assertEqual(self.list_origins(0.0), {V1})

    def test_record_without_a_version_is_a_version_of_its_own(self) -> None:
        """Guards against a single version while streams begin at endpoints of an unknown one."""
        self.ledger.refresh([make_record(), make_record(endpoint_id="e2", software="")], now=0.0)
        self.assertEqual(self.list_origins(0.0), {V1, Origin("llm", "")})

    def test_registered_version_is_remembered_before_its_announcement_arrives(self) -> None:
        query = OriginQuery(number=7, services=("llm",), registers=(V2,))
        answer = self.ledger.answer(query, members=MEMBERS, now=0.0)
        self.assertEqual((answer.number, answer.origins), (7, (V2,)))

    def test_restarted_replica_is_incomplete_until_a_majority_has_told_it(self) -> None:
        """Guards against a restarted replica that vouches for versions it has forgotten.

        Three of five replicas confirm a new version, and one of these restarts. Without its
        memory, it and the other two would be a majority that knows the old version only.
        """
        restarted = OriginLedger(started_at=0.0)
        answers = {"p2": make_answer(V1, V2), "p4": make_answer(V1)}
        self.assertFalse(restarted.merge(answers, now=1.0))
        answers["p5"] = make_answer(V1, is_complete=False)
        self.assertFalse(restarted.merge(answers, now=1.0))
        answers["p5"] = make_answer(V1)
        self.assertTrue(restarted.merge(answers, now=2.0))
        answer = restarted.answer(OriginQuery(number=1), members=MEMBERS, now=2.0)
        self.assertEqual(set(answer.origins), {V1, V2})

    def test_replicas_that_all_restarted_are_complete_after_the_memory_has_passed(self) -> None:
        """Guards against streams that are refused for ever after a power loss of all replicas."""
        restarted = OriginLedger(started_at=0.0)
        restarted.refresh([], now=VERSION_MEMORY_S - 1.0)
        self.assertFalse(restarted.is_complete)
        restarted.refresh([], now=VERSION_MEMORY_S)
        self.assertTrue(restarted.is_complete)


if __name__ == "__main__":
    unittest.main()
