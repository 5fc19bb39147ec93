"""What a router registers, and which of its streams it makes known."""

import unittest

from chivetrack.components.origins.const import (
    MAX_REGISTER_RETRY_S,
    REGISTER_INTERVAL_S,
    REGISTER_RETRY_S,
)
from chivetrack.components.origins.messages import OriginAnswer
from chivetrack.components.origins.models import Origin
from chivetrack.components.origins.tracker import OriginTracker
from tests.components.origins.test_ledger import V1, V2, make_answer


class TrackerCase(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = OriginTracker()

    def register(
        self, *origins: Origin, now: float = 0.0, remembered: Origin | None = None
    ) -> None:
        """Announce versions, and let three replicas of five confirm them."""
        known = origins if remembered is None else (*origins, remembered)
        answers: dict[str, OriginAnswer] = {f"p{n}": make_answer(*known) for n in (1, 2, 3)}
        self.tracker.update_announced(origins, now=now)
        self.tracker.handle_registration(origins, answers, began_at=now, now=now)

    def begin(self, request: str, origin: Origin = V1, *, now: float = 0.0, **facts: bool) -> None:
        fields = {"is_only_service": True, **facts}
        self.tracker.record_begin(request, origin, ttl_s=20.0, now=now, **fields)

    def pop(self, now: float = 0.0) -> dict[str, Origin]:
        groups = self.tracker.pop_records(now=now).groups
        return {request: group.origin for group in groups for request in group.requests}


class RegistrationTest(TrackerCase):
    def test_streams_begin_only_at_versions_that_a_majority_remembers(self) -> None:
        """Guards against a stream at a version of which routers elsewhere can't know."""
        self.register(V1)
        self.assertTrue(self.tracker.may_begin(V1))
        self.tracker.update_announced({V1, V2}, now=5.0)
        self.assertFalse(self.tracker.may_begin(V2))
        self.assertEqual(self.tracker.register_at, 5.0)
        few = {"p1": make_answer(V1, V2), "p2": make_answer(V1, V2)}
        self.assertFalse(self.tracker.handle_registration({V1, V2}, few, began_at=5.0, now=5.1))
        self.assertFalse(self.tracker.may_begin(V2))
        self.assertEqual(self.tracker.register_at, 5.1 + REGISTER_RETRY_S)
        self.register(V1, V2, now=6.0)
        self.assertTrue(self.tracker.may_begin(V2))
        self.assertEqual(self.tracker.register_at, 6.0 + REGISTER_INTERVAL_S)

    def test_registrations_without_a_majority_become_rare(self) -> None:
        """Guards against routers that flood the replicas that are left with registrations."""
        self.tracker.update_announced({V1}, now=0.0)
        waits: list[float] = []
        for _ in range(9):
            now = self.tracker.register_at
            self.tracker.handle_registration({V1}, {}, began_at=now, now=now)
            waits.append(self.tracker.register_at - now)
        self.assertAlmostEqual(waits[0], REGISTER_RETRY_S)
        self.assertAlmostEqual(waits[-1], MAX_REGISTER_RETRY_S)
        self.tracker.request_registration(now=50.0)
        self.tracker.handle_registration({V1}, {}, began_at=50.0, now=50.0)
        self.assertAlmostEqual(self.tracker.register_at, 50.0 + REGISTER_RETRY_S)

    def test_version_that_appears_during_a_registration_is_registered_next(self) -> None:
        """Guards against a version that waits half a minute for the next registration."""
        self.register(V1)
        self.tracker.update_announced({V1, V2}, now=30.1)
        answers = {f"p{n}": make_answer(V1) for n in (1, 2, 3)}
        self.tracker.handle_registration({V1}, answers, began_at=30.0, now=30.2)
        self.assertEqual(self.tracker.register_at, 30.1)
        self.tracker.request_registration(now=31.0)
        self.tracker.handle_registration({V1, V2}, answers, began_at=30.5, now=31.1)
        self.assertEqual(self.tracker.register_at, 31.0)

    def test_version_that_comes_back_is_registered_again(self) -> None:
        """Guards against a rollback to a version that replicas have forgotten."""
        self.register(V1)
        self.register(V2)
        self.tracker.update_announced({V1, V2}, now=1.0)
        self.assertFalse(self.tracker.may_begin(V1))

    def test_replicas_of_an_earlier_release_register_nothing(self) -> None:
        """Guards against routers that refuse all streams before the replicas are updated."""
        self.tracker.is_enforced = False
        self.tracker.update_announced({V1}, now=0.0)
        self.assertTrue(self.tracker.may_begin(V1))


class RecordTest(TrackerCase):
    def test_nothing_is_sent_while_there_is_one_version(self) -> None:
        self.register(V1)
        self.begin("a")
        self.assertFalse(self.tracker.has_unsent)
        self.assertEqual(self.tracker.find_own("a", now=3.0), (V1, 3.0))

    def test_open_streams_are_made_known_when_a_second_version_appears(self) -> None:
        """Guards against streams that nobody knows once their router is gone, in a release."""
        self.register(V1)
        self.begin("a")
        self.tracker.update_announced({V1, V2}, now=1.0)
        self.begin("b", now=1.0)
        self.assertEqual(self.pop(now=1.0), {"a": V1, "b": V1})
        self.assertEqual(self.pop(now=1.0), {})

    def test_streams_are_made_known_while_replicas_remember_another_version(self) -> None:
        """Guards against unknown streams after the last endpoint of a version has left."""
        self.register(V2, remembered=V1)
        self.begin("a", V2)
        self.assertEqual(self.pop(), {"a": V2})

    def test_streams_are_made_known_before_the_first_registration(self) -> None:
        self.tracker.update_announced({V1}, now=0.0)
        self.begin("a")
        self.assertEqual(self.pop(), {"a": V1})

    def test_streams_are_made_known_while_too_few_replicas_have_their_memory(self) -> None:
        """Guards against unknown streams after a power loss of all replicas."""
        answers = {f"p{n}": make_answer(V1, is_complete=False) for n in range(1, 6)}
        self.tracker.update_announced({V1}, now=0.0)
        self.assertTrue(self.tracker.handle_registration({V1}, answers, began_at=0.0, now=0.0))
        self.begin("a")
        self.assertEqual(self.pop(), {"a": V1})

    def test_streams_of_a_route_to_several_services_are_made_known(self) -> None:
        self.register(V1)
        self.begin("a", is_only_service=False)
        self.assertEqual(self.pop(), {"a": V1})

    def test_streams_with_the_same_id_have_no_known_origin(self) -> None:
        """Guards against a caller that reuses the id of a stream for one at another version."""
        self.register(V1, V2)
        self.begin("a", V1)
        self.begin("a", V2)
        self.assertEqual(self.tracker.find_own("a", now=0.0), (Origin("llm", ""), 0.0))

    def test_streams_without_an_id_are_not_recorded(self) -> None:
        """Guards against a caller without ``Resumes`` who gets the origin of another caller."""
        self.register(V1, V2)
        self.begin("", V1)
        self.begin("x" * 99, V1)
        self.assertIsNone(self.tracker.find_own("", now=0.0))
        self.assertEqual(self.pop(), {})

    def test_records_expire(self) -> None:
        self.register(V1)
        self.begin("a")
        self.assertIsNone(self.tracker.find_own("a", now=20.0))
        self.begin("b", now=21.0)
        self.tracker.send_all_records()
        self.assertEqual(self.pop(now=21.0), {"b": V1})


if __name__ == "__main__":
    unittest.main()
