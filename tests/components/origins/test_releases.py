"""Routers and replicas of two releases of this program beside each other."""

import unittest
from unittest import mock

import msgspec

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import View
from chivetrack.components.distribution.subscriber import RouterReport, Subscriber
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.codec import decode, encode, get_kind
from tests.daemon.fleet.test_fleet_view import make_view

REPLICAS = ("p1", "p2", "p3", "p4", "p5")


def make_subscriber() -> Subscriber:
    return Subscriber(
        router="r1",
        document_address="",
        seeds=REPLICAS[:3],
        table=EndpointTable(),
        apply_document=mock.Mock(),
        on_unreadable=mock.Mock(),
        on_bad_update=mock.Mock(),
        get_report=lambda: RouterReport(loads=(), placed=()),
    )


class ReleaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subscriber = make_subscriber()

    def answer(self, *sources: str, run: str = "x", keeps_origins: bool = True) -> None:
        view = make_view(run=run, keeps_origins=keeps_origins)
        for source in sources:
            self.subscriber.handle_view(source, view, now=1.0)

    def test_view_of_an_earlier_release_says_that_no_origins_are_kept(self) -> None:
        """Guards against waiting for confirmations that replicas of an earlier release never send.

        Such a replica ends its view with the carriers.
        """
        view = make_view(keeps_origins=True, polled_at=1.0)
        fields = msgspec.msgpack.decode(encode(view))
        kept = View.__struct_fields__.index("keeps_origins")
        earlier = decode(get_kind(view), msgspec.msgpack.encode(fields[:kept]))
        assert isinstance(earlier, View)
        expected = msgspec.structs.replace(view, keeps_origins=False, polled_at=0.0)
        self.assertEqual(earlier, expected)

    def test_confirmations_are_needed_once_most_replicas_can_give_them(self) -> None:
        """Guards against routers that begin no stream while replicas are updated one by one."""
        self.assertTrue(self.subscriber.do_replicas_keep_origins)
        self.answer(*REPLICAS, keeps_origins=False)
        self.assertFalse(self.subscriber.do_replicas_keep_origins)
        self.answer("p1", "p2")
        self.assertFalse(self.subscriber.do_replicas_keep_origins)
        self.answer("p3")
        self.assertTrue(self.subscriber.do_replicas_keep_origins)

    def test_replica_of_an_earlier_release_has_no_time_of_the_poll(self) -> None:
        """Guards against streams that never go on while replicas are updated one by one."""
        began_at = read_boot_clock()
        self.answer("p1", keeps_origins=False)
        self.assertGreaterEqual(self.subscriber.viewed_at, began_at)

    def test_replicas_of_an_earlier_release_are_asked_nothing(self) -> None:
        """Guards against messages that such a replica can't read, several times a second."""
        self.answer("p1", "p2", keeps_origins=False)
        self.answer("p3")
        self.subscriber.wake(now=1.0)
        self.assertEqual(self.subscriber.list_origin_keepers(), ["p3"])

    def test_replica_of_an_earlier_release_lends_nothing(self) -> None:
        """Guards against requests for leases that such a replica can't read."""
        view = make_view(lender="p1")
        self.subscriber.handle_view("p1", view, now=1.0)
        self.assertEqual(self.subscriber.lender, "p1")
        fields = msgspec.msgpack.decode(encode(view))
        kept = View.__struct_fields__.index("lender")
        earlier = decode(get_kind(view), msgspec.msgpack.encode(fields[:kept]))
        assert isinstance(earlier, View)
        self.subscriber.handle_view("p1", earlier, now=2.0)
        self.assertEqual(self.subscriber.lender, "")

    def test_restarts_of_replicas_are_counted(self) -> None:
        self.answer("p1", "p2")
        self.answer("p1")
        self.assertEqual(self.subscriber.restart_count, 0)
        self.answer("p1", "p2", run="y")
        self.assertEqual(self.subscriber.restart_count, 2)


if __name__ == "__main__":
    unittest.main()
