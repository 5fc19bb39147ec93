"""Tests of settings files: valid ones, and that all faults are reported with places."""

import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from chivetrack.components.settings import Settings, load_settings, parse_settings
from chivetrack.components.settings.models import Address, Role, WhenUnconfirmed

SAMPLE = Path(__file__).parents[3] / "docs" / "samples" / "chivetrackd.toml"

MINIMAL = """\
[instance]
id = "r1"
region = "kyushu"
availability_zone = "fukuoka-hall"
[listeners]
caller = "127.0.0.1:0"
resources = "127.0.0.1:0"
peer = "[::1]:0"
telemetry = "127.0.0.1:0"
[tls]
enabled = false
plain_text_accepted = true
"""


def find_faults(text: str) -> list[str]:
    result = parse_settings(text, source="f")
    return [str(finding) for finding in result.error] if result.is_error() else []


class AcceptedTest(unittest.TestCase):
    def test_sample_file_is_valid(self) -> None:
        settings = load_settings(SAMPLE).default_with(lambda findings: self.fail(list(findings)))
        self.assertIn(Role.REPLICA, settings.instance.roles)
        self.assertEqual(len(settings.replicas.initial), 3)

    def test_sample_file_has_every_section(self) -> None:
        text = SAMPLE.read_text()
        for section in Settings.model_fields:
            if section != "announcers":
                self.assertIn(f"[{section}", text)

    def test_defaults(self) -> None:
        settings = parse_settings(MINIMAL, source="f").ok
        self.assertEqual(settings.listeners.peer, Address("::1", 0))
        self.assertEqual(str(settings.listeners.peer), "[::1]:0")
        self.assertIs(settings.configuration.when_unconfirmed, WhenUnconfirmed.REFUSE)
        self.assertEqual(settings.instance.roles, (Role.ROUTER,))


class FaultTest(unittest.TestCase):
    """Each case adds or changes one line of an otherwise valid file."""

    def test_each_fault_has_place_and_message(self) -> None:
        table = [
            ("[limits]\nmax_body_byte = 1", "f:14 limits.max_body_byte", "'max_body_bytes'"),
            ("[limit]\nmax_streams = 1", "f:13 limit", "did you mean 'limits'?"),
            ("[control]\nbudget_bytes_per_s = 19457", "f:14 control.budget", "19456"),
            ("[control]\nbudget_bytes_per_s = true", "f:14 control.budget", "integer"),
            ('[log]\nlevel = "loud"', "f:14 log.level", "'debug', 'info'"),
            ('[configuration]\nwhen_unconfirmed = "x"', "f:14 configuration.", "'refuse' or"),
            ('[peers]\nseeds = ["a.example:1"]', "f:14 peers.seeds[1]", "not an IP number"),
            ('[peers]\nseeds = ["::1:70000"]', "f:14 peers.seeds[1]", "port from 0 to 65535"),
            ("[stop]\nsettle_s = 9\ndeadline_s = 9", "f:15 stop.deadline_s", "longer than"),
            (
                '[replicas]\ninitial = [{id="a", address="::1:1"}, {id="a", address="::1:2"}]',
                "f:14 replicas.initial[2].id",
                "same as in entry 1",
            ),
            (
                '[[operators.keys]]\nname="a"\nhash="secret"',
                "f:15 operators.keys[1].hash",
                "must be a hash that `chivetrack key make`",
            ),
            (
                '[[operators.keys]]\nname="a"\nhsh="secret"',
                "f:15 operators.keys[1].hsh",
                "'hash'",
            ),
            ('[telemetry]\notlp_endpoint = "c:1"', "f:14 telemetry.otlp_endpoint", "must be a URL"),
            ("x = [", "f:13", "is not TOML"),
        ]
        for lines, place, message in table:
            with self.subTest(lines=lines):
                faults = find_faults(MINIMAL + lines + "\n")
                self.assertTrue(any(f.startswith(place) and message in f for f in faults), faults)
                self.assertNotIn("secret", "".join(faults))

    def test_faults_of_listeners_and_tls(self) -> None:
        table = [
            ('peer = "[::1]:0"', 'peer = "0.0.0.0:9"', "f:8 listeners.peer", "reach"),
            ('caller = "127.0.0.1:0"', 'caller = "host"', "f:6 listeners.caller", "IP-number"),
            ('id = "r1"', 'id = "R 1"', "f:2 instance.id", "lower-case letters"),
            ('region = "kyushu"\n', "", "f:1 instance.region", "is missing"),
            ("plain_text_accepted = true\n", "", "f:10 tls.plain_text_accepted", "must be true"),
            ("enabled = false", "enabled = true", "f:10 tls.peer", "no certificate"),
            ("id = ", 'roles = ["replica"]\nid = ', "f:1 instance.data_folder", "required"),
            ("id = ", 'data_folder = "/d"\nid = ', "f:2 instance.data_folder", "only used"),
        ]
        for old, new, place, message in table:
            with self.subTest(new=new):
                faults = find_faults(MINIMAL.replace(old, new, 1))
                self.assertTrue(any(f.startswith(place) and message in f for f in faults), faults)

    def test_all_faults_are_reported_together(self) -> None:
        """One run reports every fault, so that an operator can fix the file at once.

        The file has five faults in five sections, in single values and between values.
        If validation stopped at the first, the operator would need four more runs.
        """
        text = MINIMAL.replace('id = "r1"', 'id = "R 1"').replace("plain_text_accepted = true", "")
        text += "[limits]\nmax_streams = 0\n[stop]\nsettle_s = 500\n[controll]\n"
        faults = find_faults(text)
        for part in ("instance.id", "tls.plain_text", "limits.max_streams", "stop.", "controll"):
            self.assertEqual(sum(part in fault for fault in faults), 1, (part, faults))
        self.assertEqual(len(faults), 5)

    def test_unreadable_file_is_a_finding(self) -> None:
        result = load_settings(Path("/nonexistent/x.toml"))
        self.assertIn("cannot be read", str(next(iter(result.error))))


class DamagedFileTest(unittest.TestCase):
    """Any damage to a file results in findings with places, never in an exception."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.data())
    def test_damaged_sample(self, data: st.DataObject) -> None:
        lines = SAMPLE.read_text().splitlines()
        words = st.sampled_from(
            ["", "= ", "[", "]", "{", "}", '"', "[[a.b]]", "x.y = 1", "tls = 3"]
        )
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(lines) - 1))
            other = data.draw(st.one_of(words, st.sampled_from(lines), st.text(max_size=9)))
            lines[index] = data.draw(st.sampled_from([other, lines[index] + other, other + "\n"]))
        for fault in find_faults("\n".join(lines)):
            self.assertRegex(fault, r"^f(:\d+)?( \S.*)?: ")


class PlaceTest(unittest.TestCase):
    def test_crlf_line_endings(self) -> None:
        faults = find_faults((MINIMAL + "[limits]\nx = 1\n").replace("\n", "\r\n"))
        self.assertTrue(faults[0].startswith("f:14 limits.x"), faults)

    def test_places_after_multiline_values_and_in_table_arrays(self) -> None:
        text = MINIMAL + (
            'note = """\n[limits]\n"""\n'
            "[[operators.keys]]\n"
            'name = "a"\n'
            f'hash = "sha256:{"0" * 64}"\n'
            "[[operators.keys]]\n"
            'name = "b"\n'
            "hash = 3\n"
        )
        faults = find_faults(text)
        self.assertTrue(faults[0].startswith("f:13 tls.note"), faults)
        self.assertTrue(faults[1].startswith("f:21 operators.keys[2].hash"), faults)
