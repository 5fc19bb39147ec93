"""Unit tests of view, freshness, follower, publisher and acknowledgements."""

import math
import random
import unittest
from typing import Any

import msgspec
from pydantic import ValidationError

from chivetrack.components.configuration import const
from chivetrack.components.configuration.acknowledgements import Acknowledgements
from chivetrack.components.configuration.config import ConfigurationConfig
from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.freshness import Freshness, date_confirmation
from chivetrack.components.configuration.messages import (
    UNSOLICITED,
    ConfigDelta,
    ConfigPage,
    ConfirmationReport,
    PullConfig,
    PullPage,
    RouterAck,
)
from chivetrack.components.configuration.models import (
    ConfigChanged,
    ConfigurationSettings,
    DatedConfirmation,
    PeersChanged,
    QuorumConfirmed,
    RevisionReported,
    WhenUnconfirmed,
)
from chivetrack.components.configuration.publisher import MAX_PAGE_RECORDS
from chivetrack.components.configuration.upstream import UpstreamChooser, rank_relays
from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.resources.keys import hash_key
from chivetrack.components.resources.models import RoutingPolicy
from chivetrack.components.store.records import Change, KindRecords, Record
from chivetrack.components.store.table import ResourceTable
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached

KEY = "aKeyThatIsLongEnough-0000"
OTHER_KEY = "aKeyThatIsLongEnough-0001"
SETTINGS = ConfigurationSettings()
WINDOW = SETTINGS.confirmation_window_s
PEERS = PeersChanged(leader="leader", replicas=("leader", "second"), zone_peers=())


def make_change(revision: int, kind: str, name: str, spec: Any, **fields: Any) -> Change:
    record = Record(
        name=name,
        revision=revision,
        spec=msgspec.msgpack.encode(spec),
        spec_revision=revision,
        created_ms=0,
        **fields,
    )
    return Change(revision, kind, name, record)


def make_changes(first: int, last: int) -> tuple[Change, ...]:
    return tuple(make_change(n, "limit", f"l{n}", {"rate": n}) for n in range(first, last + 1))


def make_router(*, started_at: float = 0.0, run: int = 1) -> Configuration:
    return Configuration(
        instance="router",
        incarnation=run,
        settings=SETTINGS,
        started_at=started_at,
        rng=random.Random(1),
    )


def make_leader(*, revision: int) -> Configuration:
    """Return a leader with ``revision`` committed changes."""
    table = ResourceTable()
    leader = Configuration(
        instance="leader",
        incarnation=1,
        settings=SETTINGS,
        started_at=0.0,
        rng=random.Random(1),
        store_table=table,
    )
    table.apply(make_changes(1, revision))
    leader.handle(QuorumConfirmed(term=1, revision=revision, started_at=0.0), now=0.0)
    return leader


def list_sent(effects: list[Effect]) -> list[SendMessage]:
    return [effect for effect in effects if isinstance(effect, SendMessage)]


def next_request(router: Configuration, *, now: float) -> SendMessage:
    """Return the next request that the router sends."""
    sent = list_sent(router.handle(PEERS, now=now))
    sent += list_sent(router.handle(TimeReached(), now=now))
    assert len(sent) == 1, sent
    return sent[0]


def make_answer(request: SendMessage, *, revision: int, confirmed: int, age_s: float) -> Any:
    """Return the answer of a peer with a revision and a confirmation."""
    pull = request.message
    assert isinstance(pull, PullConfig)
    delta = ConfigDelta(
        pull.correlation,
        pull.revision,
        revision,
        revision,
        make_changes(pull.revision + 1, revision),
        0,
        ConfirmationReport(1, 1, confirmed, int(age_s * 1000)),
    )
    return MessageReceived(source=request.target, message=delta)


class FreshnessTest(unittest.TestCase):
    def test_when_confirmed(self) -> None:
        """The process starts at 10 s and has applied revision 5.

        Each row: obtained at, confirmed revision, expected end of the confirmation.
        """
        window = WINDOW / (1 + const.CLOCK_DRIFT)
        table = [
            ("after the start", 11.0, 5, 11.0 + window),
            ("an older revision", 11.0, 3, 11.0 + window),
            ("at the start", 10.0, 5, 10.0 + window),
            ("before the start", 9.9, 5, -math.inf),
            ("a revision not yet applied", 11.0, 6, -math.inf),
        ]
        for name, obtained_at, revision, until in table:
            with self.subTest(name):
                freshness = Freshness(started_at=10.0, window_s=WINDOW)
                held = DatedConfirmation(
                    term=1, counter=1, revision=revision, obtained_at=obtained_at
                )
                freshness.add_confirmation(held, revision=5)
                self.assertEqual(freshness.confirmed_until, until)

    def test_late_confirmation_does_not_shorten(self) -> None:
        freshness = Freshness(started_at=0.0, window_s=WINDOW)
        for counter, obtained_at in [(2, 8.0), (1, 3.0)]:
            held = DatedConfirmation(term=1, counter=counter, revision=1, obtained_at=obtained_at)
            freshness.add_confirmation(held, revision=1)
        self.assertGreater(freshness.confirmed_until, 8.0 + WINDOW - 0.1)

    def test_age_grows_by_drift_and_over_relays(self) -> None:
        freshness = Freshness(started_at=0.0, window_s=WINDOW)
        held = date_confirmation(ConfirmationReport(1, 1, 1, 1000), requested_at=20.0)
        self.assertAlmostEqual(held.obtained_at, 20.0 - 1.0 * (1 + const.CLOCK_DRIFT))
        freshness.add_confirmation(held, revision=1)
        report = freshness.report(20.5)
        assert report is not None
        self.assertGreaterEqual(report.age_ms, 1510)


class RestartTest(unittest.TestCase):
    def test_old_state_of_a_peer_is_not_activated(self) -> None:
        """A router that had applied revision 7 restarts without a disk at 11 s.

        Its peer is partitioned with revision 5 and a confirmation from before the start.
        If the router activated that state, it would revert to revision 5 and accept a key
        that revision 6 revoked.
        """
        router = make_router(started_at=11.0)
        request = next_request(router, now=11.0)
        router.handle(make_answer(request, revision=5, confirmed=5, age_s=1.5), now=11.1)
        self.assertEqual((router.view.revision, router.view.table.revision), (0, 0))
        fault = router.view.check_serving(11.1)
        assert fault is not None
        self.assertEqual((fault.code, fault.ran), ("configuration_unconfirmed", "no"))
        later = next_request(router, now=13.0)
        self.assertEqual(later.message.revision, 5)
        router.handle(make_answer(later, revision=7, confirmed=7, age_s=0.3), now=13.1)
        self.assertEqual(router.view.revision, 7)
        self.assertIsNone(router.view.check_serving(13.1))

    def test_answer_to_the_previous_incarnation_is_ignored(self) -> None:
        """The answer to a request of a killed incarnation, sent at 9 s, arrives late.

        It arrives after the new incarnation has sent its first request. Dated from that
        request, its confirmation would seem to be from after the start.
        """
        old_request = next_request(make_router(run=1), now=8.9)
        router = make_router(started_at=11.0, run=2)
        next_request(router, now=11.0)
        router.handle(make_answer(old_request, revision=5, confirmed=5, age_s=0.0), now=11.1)
        self.assertEqual(router.view.revision, 0)

    def test_replica_shows_nothing_before_it_is_confirmed(self) -> None:
        """A replica's log may lack entries that were committed when it stopped."""
        table = ResourceTable()
        replica = Configuration(
            instance="second",
            incarnation=1,
            settings=SETTINGS,
            started_at=0.0,
            rng=random.Random(1),
            store_table=table,
        )
        status = msgspec.msgpack.encode({"phase": "active"})
        target = {"target": {"kind": "endpoint", "name": "e1"}}
        table.apply([*make_changes(1, 2), make_change(3, "drain", "d", target, status=status)])
        self.assertEqual(replica.view.revision, 0)
        self.assertEqual(replica.view.list_named("limit"), ())
        self.assertEqual(replica.view.list_drains(), ())
        request = next_request(replica, now=1.0)
        replica.handle(make_answer(request, revision=9, confirmed=4, age_s=0.1), now=1.1)
        self.assertEqual((replica.view.revision, table.revision), (0, 3))
        held = DatedConfirmation(term=1, counter=1, revision=3, obtained_at=1.2)
        replica.view.freshness.add_confirmation(held, revision=3)
        self.assertEqual(len(replica.view.list_drains()), 1)
        table.apply(make_changes(4, 4))
        self.assertEqual(replica.view.revision, 4)
        self.assertTrue(replica.view.is_confirmed(1.2))

    def test_policy_while_unconfirmed(self) -> None:
        for policy, serves in [(WhenUnconfirmed.REFUSE, False), (WhenUnconfirmed.SERVE, True)]:
            with self.subTest(policy=policy):
                settings = ConfigurationSettings(when_unconfirmed=policy)
                view = ConfigView(table=ResourceTable(), settings=settings, started_at=0.0)
                self.assertIsNotNone(view.check_serving(1.0))
                held = DatedConfirmation(term=1, counter=1, revision=0, obtained_at=1.0)
                view.freshness.add_confirmation(held, revision=0)
                self.assertIsNone(view.check_serving(2.0))
                self.assertEqual(view.check_serving(1.0 + WINDOW) is None, serves)


class FollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = make_router()
        request = next_request(self.router, now=1.0)
        self.router.handle(make_answer(request, revision=3, confirmed=3, age_s=0.1), now=1.1)
        self.assertEqual(self.router.view.revision, 3)

    def push(self, delta: ConfigDelta, *, now: float) -> list[SendMessage]:
        event = MessageReceived(source="leader", message=delta)
        return list_sent(self.router.handle(event, now=now))

    def test_unsolicited_deltas(self) -> None:
        """Each row: from, to, revision afterwards, whether the router pulls immediately."""
        table = [
            ("the next", 3, 4, 4, False),
            ("an overlap", 2, 5, 5, False),
            ("a late one", 1, 3, 3, False),
            ("a gap", 5, 6, 3, True),
        ]
        for name, start, end, revision, pulls in table:
            with self.subTest(name):
                self.setUp()
                delta = ConfigDelta(UNSOLICITED, start, end, end, make_changes(start + 1, end))
                sent = self.push(delta, now=1.1)
                self.assertEqual(self.router.view.revision, revision)
                self.assertEqual(bool(sent), pulls)

    def test_unsolicited_delta_confirms_nothing(self) -> None:
        until = self.router.view.confirmed_until
        report = ConfirmationReport(1, 2, 3, 0)
        self.push(ConfigDelta(UNSOLICITED, 3, 3, 3, (), 0, report), now=3.0)
        self.assertEqual(self.router.view.confirmed_until, until)

    def test_reported_revision_triggers_one_pull_from_that_peer(self) -> None:
        report = RevisionReported(peer="r9", revision=8)
        sent = list_sent(self.router.handle(report, now=1.15))
        self.assertEqual([message.target for message in sent], ["r9"])
        self.assertEqual(list_sent(self.router.handle(report, now=1.16)), [])
        old = RevisionReported(peer="r9", revision=2)
        self.assertEqual(list_sent(self.router.handle(old, now=1.17)), [])

    def test_unanswered_request_switches_upstream(self) -> None:
        request = next_request(self.router, now=2.5)
        later = 2.5 + SETTINGS.answer_timeout_s
        sent = list_sent(self.router.handle(TimeReached(), now=later))
        self.assertEqual((request.target, sent[0].target), ("leader", "second"))

    def test_full_state_in_pages(self) -> None:
        """The leader no longer has the needed changes, so pages are pulled, then deltas."""
        leader = make_leader(revision=MAX_PAGE_RECORDS + 10)
        leader.view.table.replace(leader.view.table.export(), revision=MAX_PAGE_RECORDS + 10)
        leader.view.table.apply([make_change(MAX_PAGE_RECORDS + 11, "drain", "d", {})])
        effects = self.router.handle(RevisionReported(peer="leader", revision=99), now=1.2)
        kinds = []
        while sent := list_sent(effects):
            kinds.append(type(sent[0].message))
            event = MessageReceived(source="router", message=sent[0].message)
            reply = list_sent(leader.handle(event, now=1.2))[0]
            event = MessageReceived(source="leader", message=reply.message)
            effects = self.router.handle(event, now=1.2)
        self.assertEqual(kinds, [PullConfig, PullPage, PullPage, PullPage, PullConfig])
        self.assertEqual(self.router.view.revision, MAX_PAGE_RECORDS + 11)
        self.assertEqual(self.router.view.table.export()[0].records[0].name, "d")

    def test_pages_below_minimum_are_rejected(self) -> None:
        request = next_request(self.router, now=2.5)
        pull: Any = request.message
        compacted = ConfigDelta(pull.correlation, 3, 3, 9, (), 8)
        event = MessageReceived(source="leader", message=compacted)
        requested: Any = list_sent(self.router.handle(event, now=2.5))[0]
        self.assertEqual(requested.message.minimum, 8)
        page = ConfigPage(requested.message.correlation, 7, KindRecords("limit", ()))
        event = MessageReceived(source=requested.target, message=page)
        repeated = list_sent(self.router.handle(event, now=2.5))[0].message
        self.assertEqual(repeated.minimum, 8)
        self.assertEqual(self.router.view.revision, 3)


class RelayTest(unittest.TestCase):
    def test_serves_deltas_from_its_first_state(self) -> None:
        """A relay has activated its first state; a router lacks the last change of it.

        If the relay had dropped the history, the router would have to pull the full state.
        """
        relay = make_router()
        relay.handle(
            make_answer(next_request(relay, now=1.0), revision=5, confirmed=5, age_s=0.1), now=1.1
        )
        event = MessageReceived(source="r2", message=PullConfig(7, 4))
        delta: Any = list_sent(relay.handle(event, now=1.2))[0].message
        self.assertFalse(delta.is_compacted)
        self.assertEqual([change.revision for change in delta.changes], [5])

    def test_relays_acknowledgements_promptly(self) -> None:
        """A router acknowledges while a request of the relay is pending.

        The answer must not postpone the next request to the end of the poll interval: the
        operator would see the change as applied a second later.
        """
        relay = make_router()
        relay.handle(
            make_answer(next_request(relay, now=1.0), revision=5, confirmed=5, age_s=0.1), now=1.1
        )
        request = next_request(relay, now=3.0)
        acks = (RouterAck("r2", 1, 5),)
        event = MessageReceived(source="r2", message=PullConfig(7, 5, acks))
        relay.handle(event, now=3.0)
        relay.handle(make_answer(request, revision=5, confirmed=5, age_s=0.1), now=3.1)
        later = relay.handle(TimeReached(), now=3.0 + const.MAX_RELAY_DELAY_S)
        pull: Any = list_sent(later)[0].message
        self.assertEqual([ack.router for ack in pull.acks], ["router", "r2"])


class TableTest(unittest.TestCase):
    def test_older_state_does_not_replace(self) -> None:
        table = ResourceTable()
        table.apply(make_changes(1, 5))
        self.assertFalse(table.replace((), revision=4))
        self.assertEqual((table.revision, table.count("limit")), (5, 5))

    def test_subscribers_are_called_until_they_unsubscribe(self) -> None:
        table = ResourceTable()
        counts: list[int] = []
        unsubscribe = table.subscribe(lambda update: counts.append(len(update.changes)))
        table.apply(make_changes(1, 3))
        table.apply(make_changes(2, 3))
        unsubscribe()
        unsubscribe()
        table.apply(make_changes(4, 4))
        self.assertEqual(counts, [3])


class ViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ResourceTable()
        self.view = ConfigView(table=self.table, settings=SETTINGS, started_at=0.0)
        held = DatedConfirmation(term=1, counter=1, revision=0, obtained_at=0.0)
        self.view.freshness.add_confirmation(held, revision=0)

    def put(self, kind: str, name: str, spec: Any, **fields: Any) -> None:
        change = make_change(self.table.revision + 1, kind, name, spec, **fields)
        self.table.apply([change])

    def find(self, key: str) -> str | None:
        workspace = self.view.find_workspace(key)
        return None if workspace is None else workspace.name

    def test_workspace_by_key(self) -> None:
        self.put("workspace", "a", {"keys": [hash_key(KEY)]})
        self.assertEqual((self.find(KEY), self.find(OTHER_KEY)), ("a", None))

    def test_key_that_moves(self) -> None:
        """A key is in two workspaces, then only in the older one, then in none."""
        self.put("workspace", "b", {"keys": [hash_key(KEY)]})
        self.put("workspace", "a", {"keys": [hash_key(KEY), hash_key(OTHER_KEY)]})
        self.assertEqual(self.find(KEY), "a")
        self.put("workspace", "a", {"keys": [hash_key(OTHER_KEY)]})
        self.assertEqual((self.find(KEY), self.find(OTHER_KEY)), ("b", "a"))
        self.table.apply([Change(self.table.revision + 1, "workspace", "b")])
        self.assertIsNone(self.find(KEY))

    def test_policy(self) -> None:
        self.put("workspace", "a", {"policy": "fast"})
        workspace = self.view.get_workspace("a")
        assert workspace is not None
        self.assertEqual(self.view.get_policy(workspace.form), RoutingPolicy())
        self.put("routing_policy", "default", {"load_bound": 2})
        self.assertEqual(self.view.get_policy(workspace.form).load_bound, 2)
        self.put("routing_policy", "fast", {"load_bound": 3, "timeouts": {"idle_s": 9}})
        policy = self.view.get_policy(workspace.form)
        self.assertEqual((policy.load_bound, policy.timeouts.idle_s), (3, 9))

    def test_drains_in_force(self) -> None:
        table = [
            ("no status", b"", 0, False),
            ("waiting", {"phase": "waiting"}, 0, False),
            ("active", {"phase": "active", "left": 3}, 0, True),
            ("done", {"phase": "done"}, 0, True),
            ("cancelled", {"phase": "active"}, 5, False),
        ]
        spec = {"target": {"kind": "endpoint", "name": "e1"}}
        for name, status, deleting_ms, active in table:
            with self.subTest(name):
                data = msgspec.msgpack.encode(status) if status else b""
                self.put("drain", "d", spec, status=data, deleting_ms=deleting_ms)
                self.assertEqual(len(self.view.list_drains()), int(active))

    def test_value_of_a_newer_version_is_skipped(self) -> None:
        self.put("workspace", "a", {"keys": "unknown"})
        self.put("workspace", "b", {"keys": [hash_key(KEY)], "later": 1})
        self.assertEqual([named.name for named in self.view.list_named("workspace")], ["b"])
        self.assertEqual(self.find(KEY), "b")

    def test_lists_follow_changes(self) -> None:
        self.put("limit", "a", {"rate": 1})
        self.assertEqual(self.view.list_named("limit")[0].form.rate, 1)
        self.assertIs(self.view.list_named("limit"), self.view.list_named("limit"))
        self.put("limit", "a", {"rate": 2})
        self.assertEqual(self.view.list_named("limit")[0].form.rate, 2)


class PublisherTest(unittest.TestCase):
    def test_batches_are_bounded(self) -> None:
        leader = make_leader(revision=2000)
        revision, count = 0, 0
        while revision < 2000:
            event = MessageReceived(source="r1", message=PullConfig(1, revision))
            delta: Any = list_sent(leader.handle(event, now=1.0))[0].message
            self.assertLessEqual(len(msgspec.msgpack.encode(delta)), SETTINGS.batch_bytes)
            self.assertEqual(delta.from_revision, revision)
            revision, count = delta.to_revision, count + 1
        self.assertGreater(count, 1)

    def test_pushes_to_peers_that_pulled_recently(self) -> None:
        leader = make_leader(revision=1)
        for source, now in [("old", 1.0), ("new", 4.0)]:
            event = MessageReceived(source=source, message=PullConfig(1, 1))
            leader.handle(event, now=now)
        leader.view.table.apply(make_changes(2, 2))
        pushed = list_sent(leader.handle(ConfigChanged(), now=4.5))
        self.assertEqual([message.target for message in pushed], ["new"])
        leader.view.table.apply(make_changes(3, 3))
        self.assertEqual(list_sent(leader.handle(ConfigChanged(), now=4.6)), [])
        self.assertEqual(len(list_sent(leader.handle(TimeReached(), now=4.8))), 1)


class AcknowledgementsTest(unittest.TestCase):
    def test_latest_acknowledgement_counts(self) -> None:
        table: list[tuple[str, list[RouterAck], int]] = [
            ("newer", [RouterAck("r", 1, 5), RouterAck("r", 1, 6)], 6),
            ("late", [RouterAck("r", 1, 6), RouterAck("r", 1, 5)], 6),
            ("restarted", [RouterAck("r", 1, 6), RouterAck("r", 2, 0)], 0),
            ("late from the previous incarnation", [RouterAck("r", 2, 0), RouterAck("r", 1, 6)], 0),
        ]
        for name, acks, revision in table:
            with self.subTest(name):
                acknowledgements = Acknowledgements()
                for ack in acks:
                    acknowledgements.record_acks([ack], now=1.0)
                self.assertEqual(acknowledgements.list_acks(now=1.0)[0].revision, revision)

    def test_in_force(self) -> None:
        acknowledgements = Acknowledgements()
        acknowledgements.record_commit(5, now=10.0)
        acknowledgements.record_acks([RouterAck("a", 1, 5), RouterAck("b", 1, 4, 500)], now=11.0)
        partly = acknowledgements.compute_rollout_status(5, ["a", "b", "c"], now=12.0)
        self.assertEqual((partly.applied, partly.expected, partly.elapsed_s), (1, 3, 2.0))
        missing = [(router.router, router.silent_s) for router in partly.missing]
        self.assertEqual(missing, [("b", 1.5), ("c", None)])
        acknowledgements.record_acks([RouterAck("b", 1, 5), RouterAck("c", 1, 7)], now=13.0)
        acknowledgements.compute_rollout_status(5, ["a", "b", "c"], now=13.0)
        complete = acknowledgements.compute_rollout_status(5, ["a", "b", "c"], now=20.0)
        self.assertEqual((complete.is_complete, complete.elapsed_s), (True, 3.0))
        acknowledgements.expire_silent(13.1 + const.ACKNOWLEDGEMENT_TTL_S)
        self.assertEqual(len(acknowledgements.list_acks(now=99.0)), 0)


class UpstreamTest(unittest.TestCase):
    def choose(self, instance: str, peers: PeersChanged, now: float = 0.0) -> str | None:
        chooser = UpstreamChooser(instance=instance, rng=random.Random(1))
        chooser.set_peers(peers)
        return chooser.choose(now)

    def test_upstream_by_role(self) -> None:
        zone = tuple(f"r{number}" for number in range(6))
        peers = PeersChanged(leader="a", replicas=("a", "b"), zone_peers=zone)
        relays = rank_relays(list(zone))[: const.RELAYS_PER_ZONE]
        others = [name for name in zone if name not in relays]
        self.assertEqual({self.choose(name, peers) for name in relays}, {"a"})
        self.assertLessEqual({self.choose(name, peers) for name in others}, set(relays))
        self.assertEqual(self.choose("b", peers), "a")
        self.assertIsNone(self.choose("a", peers))
        self.assertIsNone(self.choose("r0", PeersChanged(leader="", replicas=())))

    def test_failed_candidates_are_avoided(self) -> None:
        chooser = UpstreamChooser(instance="r", rng=random.Random(1))
        chooser.set_peers(PeersChanged(leader="a", replicas=("b",)))
        chooser.report_stale("a", 0.0)
        self.assertEqual(chooser.choose(0.5), "b")
        chooser.report_silent("b", 0.0)
        self.assertEqual(chooser.choose(0.5), "a")
        self.assertEqual(chooser.choose(const.STALE_PENALTY_S), "a")
        chooser.report_success("b")
        self.assertEqual(chooser.choose(0.5), "b")


class ConfigTest(unittest.TestCase):
    def test_defaults_match_the_settings(self) -> None:
        self.assertEqual(ConfigurationConfig().build(), SETTINGS)

    def test_invalid_settings_are_refused(self) -> None:
        for fault in ({"poll_interval_s": 0}, {"batch_bytes": 1}, {"pol_interval_s": 1}):
            with self.subTest(fault), self.assertRaises(ValidationError):
                ConfigurationConfig.model_validate(fault)
