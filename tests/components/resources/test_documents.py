"""Tests of documents and specifications: every fault is reported with its place."""

import dataclasses
import json
import unittest

import msgspec

from chivetrack.components.resources import models, specs
from chivetrack.components.resources.documents import parse_documents
from chivetrack.components.resources.keys import check_key, derive_key_id, get_key_id, hash_key
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.resources.validation import encode_spec, validate_spec
from chivetrack.helpers.finding import Findings

KEY = "nV0k3yThatIsLongEnough00"

MINIMAL = {
    "workspace": {},
    "routing_policy": {},
    "drain": {"target": {"kind": "endpoint", "name": "e1"}},
    "model": {"service": "valuation", "version": "3", "weights": "w/3"},
    "adapter": {"model": "m", "version": "3", "weights": "w/3"},
    "limit": {"rate": 5.0},
    "endpoint": {"address": "127.0.0.1:1", "service": "s", "region": "r", "zone": "z"},
}

FAULTS = [
    ("workspace", {"rat": 3}, "spec.rat", "did you mean 'rate'?"),
    ("workspace", {"rate": "3"}, "spec.rate", None),
    ("workspace", {"rate": -1}, "spec.rate", None),
    ("workspace", {"priority": 10}, "spec.priority", None),
    ("workspace", {"keys": [hash_key(KEY), KEY]}, "spec.keys[1]", None),
    ("workspace", {"services": ["Not A Name"]}, "spec.services[0]", None),
    ("routing_policy", {"load_bound": 0.9}, "spec.load_bound", None),
    ("routing_policy", {"timeouts": {"conect_s": 1}}, "spec.timeouts.conect_s", "'connect_s'"),
    ("routing_policy", {"locality": "planet"}, "spec.locality", None),
    ("drain", {"target": {"kind": "endpoint"}}, "spec.target.name", None),
    ("drain", {**MINIMAL["drain"], "floor": 1.5}, "spec.floor", None),
    ("drain", {**MINIMAL["drain"], "start": "2026-01-01T00:00:00"}, "spec.start", None),
    (
        "drain",
        {**MINIMAL["drain"], "start": "2026-01-02T00:00:00Z", "deadline": "2026-01-01T00:00:00Z"},
        "spec",
        None,
    ),
    ("model", {**MINIMAL["model"], "copies": True}, "spec.copies", None),
    ("limit", {}, "spec", None),
    ("limitt", {}, "kind", "did you mean 'limit'?"),
]

FLEET = """
[[resource]]
kind = "workspace"
metadata = {name = "acme", labels = {team = "blue"}}
spec = {rate = 3}

[[resource]]
kind = "drain"
metadata = {name = "d1", nam = "x"}
spec = {target = {kind = "endpoint", name = "e1"}, start = 2026-01-01T00:00:00Z, flor = 1}

[[resource]]
kind = "workspace"
metadata = {name = "acme"}
"""


class SpecTest(unittest.TestCase):
    def test_faults_have_place_and_hint(self) -> None:
        for kind, spec, place, hint in FAULTS:
            with self.subTest(kind=kind, spec=spec):
                findings = Findings()
                self.assertIsNone(validate_spec(kind, spec, findings))
                self.assertEqual([finding.place for finding in findings], [place])
                self.assertIn(hint or "", next(iter(findings)).hint or "")

    def test_stored_form_round_trips(self) -> None:
        for name, spec in MINIMAL.items():
            with self.subTest(kind=name):
                findings = Findings()
                model = validate_spec(name, spec, findings)
                assert model is not None, list(findings)
                stored = encode_spec(model)
                revalidated = validate_spec(name, msgspec.msgpack.decode(stored), findings)
                self.assertEqual(revalidated, model)
                compact = dataclasses.asdict(KINDS[name].compact.decode(stored))
                self.assertEqual(
                    json.loads(msgspec.json.encode(compact)), model.model_dump(mode="json")
                )

    def test_every_kind_is_covered(self) -> None:
        self.assertEqual(set(MINIMAL), set(KINDS))

    def test_times_round_trip(self) -> None:
        findings = Findings()
        spec = {**MINIMAL["drain"], "start": "1970-01-02T09:00:00+09:00"}
        model = validate_spec("drain", spec, findings)
        assert isinstance(model, specs.DrainSpec)
        drain = KINDS["drain"].compact.decode(encode_spec(model))
        self.assertEqual(drain.start.timestamp(), 86_400.0)
        self.assertEqual(drain.target.kind, models.DrainTargetKind.ENDPOINT)


class DocumentTest(unittest.TestCase):
    def test_all_faults_of_a_file_are_reported_together(self) -> None:
        findings = Findings()
        resources = parse_documents(FLEET, findings, source="fleet.toml")
        self.assertEqual(
            [finding.place for finding in findings],
            ["fleet.toml:7: metadata.nam", "fleet.toml:7: spec.flor", "fleet.toml:12:"],
        )
        self.assertEqual([resource.metadata.name for resource in resources], ["acme", "acme"])

    def test_file_formats(self) -> None:
        document = {"kind": "limit", "metadata": {"name": "a"}, "spec": {"rate": 1}}
        other = {**document, "metadata": {"name": "b"}}
        table = [
            ("one.json", json.dumps(document), ["a"], []),
            ("list.json", json.dumps([document, other]), ["a", "b"], []),
            ("key.json", json.dumps({"resource": [document]}), ["a"], []),
            ("one.toml", 'kind = "limit"\nmetadata.name = "a"\nspec.rate = 1', ["a"], []),
            ("bad.toml", "kind = ", [], ["bad.toml:"]),
            ("bad.json", "{", [], ["bad.json:"]),
            ("number.json", "[3]", [], ["number.json: resource[0]"]),
            ("kind.json", '{"metadata": {"name": "a"}}', [], ["kind.json: kind"]),
        ]
        for source, text, names, places in table:
            with self.subTest(source=source):
                findings = Findings()
                resources = parse_documents(text, findings, source=source)
                self.assertEqual([resource.metadata.name for resource in resources], names)
                self.assertEqual([finding.place for finding in findings], places)


class KeyTest(unittest.TestCase):
    def test_only_the_key_itself_matches_its_hash(self) -> None:
        stored = hash_key(KEY)
        self.assertNotIn(KEY, stored)
        self.assertEqual(get_key_id(stored), derive_key_id(KEY))
        self.assertTrue(check_key(KEY, stored))
        self.assertFalse(check_key(KEY + "x", stored))
        self.assertFalse(check_key("", stored))

    def test_short_key_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            hash_key("short")
