"""What a router concludes from replicas' answers about a stream that a caller takes up."""

import unittest

from chivetrack.components.origins.lookup import OriginLookup
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from tests.components.origins.test_ledger import V1, V2, make_answer


class LookupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lookup = OriginLookup(services=["llm"])

    def answer_with(self, *found: Origin | None) -> OriginVerdict | None:
        """Let replicas answer, each with the record that it has; return the last verdict."""
        verdict: OriginVerdict | None = None
        for number, one in enumerate(found, start=1):
            answer = make_answer(V1, V2, found=one, age_s=3.0)
            verdict = self.lookup.handle_answer(f"p{number}", answer)
        return verdict

    def test_one_record_among_a_majority_decides(self) -> None:
        self.assertIsNone(self.answer_with(None, V2))
        expected = OriginVerdict(origin=V2, basis=OriginBasis.TOLD, age_s=3.0)
        self.assertEqual(self.lookup.conclude(), expected)
        self.assertEqual(self.answer_with(None, V2, None), expected)

    def test_records_that_differ_tell_nothing(self) -> None:
        """Guards against a stream that goes on by the record of another one with the same id."""
        expected = OriginVerdict(origin=None, basis=OriginBasis.NO_RECORD)
        self.assertEqual(self.answer_with(V1, V1, V2), expected)
        self.assertEqual(self.lookup.conclude(), expected)

    def test_inferred_origin_decides_only_without_another_record(self) -> None:
        """Guards against an id that a caller made up before a stream began with it."""
        lookup = OriginLookup(services=["llm"])
        inferred = make_answer(V1, V2, found=V1, is_inferred=True)
        self.assertIsNone(lookup.handle_answer("p1", inferred))
        self.assertIsNone(lookup.handle_answer("p2", make_answer(V1, V2, found=V2)))
        verdict = lookup.handle_answer("p3", inferred)
        assert verdict is not None
        self.assertEqual((verdict.origin, verdict.basis), (V2, OriginBasis.TOLD))
        lookup = OriginLookup(services=["llm"])
        lookup.handle_answer("p1", inferred)
        lookup.handle_answer("p2", make_answer(V1, V2))
        verdict = lookup.handle_answer("p3", make_answer(V1, V2))
        assert verdict is not None
        self.assertEqual((verdict.origin, verdict.basis), (V1, OriginBasis.TOLD))

    def test_majority_that_remembers_one_version_decides(self) -> None:
        """Guards against a guess from one replica, which may not know of the newest version."""
        other = Origin("portal", "v7")
        self.assertIsNone(self.lookup.handle_answer("p1", make_answer(V1, other)))
        self.assertIsNone(self.lookup.handle_answer("p2", make_answer(V1)))
        verdict = self.lookup.handle_answer("p3", make_answer(V1))
        self.assertEqual(verdict, OriginVerdict(origin=V1, basis=OriginBasis.ONLY_VERSION))

    def test_replicas_without_their_memory_do_not_count(self) -> None:
        """Guards against a majority of replicas that have forgotten a version in a restart."""
        for source in ("p1", "p2"):
            self.lookup.handle_answer(source, make_answer(V1))
        self.assertIsNone(self.lookup.handle_answer("p3", make_answer(V1, is_complete=False)))
        self.assertIs(self.lookup.conclude().basis, OriginBasis.NO_MAJORITY)

    def test_replica_without_its_memory_can_still_tell_of_a_version(self) -> None:
        self.lookup.handle_answer("p4", make_answer(V2, is_complete=False))
        for source in ("p1", "p2", "p3"):
            self.assertIsNone(self.lookup.handle_answer(source, make_answer(V1)))
        self.assertIs(self.lookup.conclude().basis, OriginBasis.NO_RECORD)

    def test_stream_without_a_record_is_refused_once_all_have_answered(self) -> None:
        """Guards against waiting for the time limit when nobody can tell."""
        for source in ("p1", "p2", "p3", "p4"):
            self.assertIsNone(self.lookup.handle_answer(source, make_answer(V1, V2)))
        verdict = self.lookup.handle_answer("p5", make_answer(V1, V2))
        self.assertEqual(verdict, OriginVerdict(origin=None, basis=OriginBasis.NO_RECORD))

    def test_unknown_version_is_never_the_only_one(self) -> None:
        """Guards against continuing streams at endpoints whose records state no version."""
        for source in ("p1", "p2", "p3"):
            self.assertIsNone(self.lookup.handle_answer(source, make_answer(Origin("llm", ""))))
        self.assertIsNone(self.lookup.conclude().origin)

    def test_record_of_an_unknown_version_refuses(self) -> None:
        verdict = self.answer_with(Origin("llm", ""), None, None)
        self.assertEqual(verdict, OriginVerdict(origin=None, basis=OriginBasis.NO_RECORD))

    def test_stream_of_a_service_that_the_route_has_left_is_refused(self) -> None:
        """Guards against a stream that goes on at another service than the one that began it."""
        verdict = self.answer_with(Origin("old", "v1"), None, None)
        assert verdict is not None
        self.assertEqual((verdict.origin, verdict.basis), (None, OriginBasis.OTHER_SERVICE))

    def test_answers_count_by_the_replicas_that_each_sender_knows(self) -> None:
        """Guards against a majority of a set of replicas that has grown meanwhile."""
        old = ("p1", "p2", "p3")
        self.lookup.handle_answer("p1", make_answer(V1, members=old))
        self.assertIsNone(self.lookup.handle_answer("p2", make_answer(V1)))
        self.assertIsNotNone(self.lookup.handle_answer("p3", make_answer(V1)))


if __name__ == "__main__":
    unittest.main()
