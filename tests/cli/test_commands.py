"""All commands but apply and watch, against the stand-in server or without a fleet."""

import io
import json
import os
from pathlib import Path
from unittest import mock

from chivetrack.cli.const import ExitCode
from chivetrack.components.consensus.models import Snapshot
from chivetrack.components.resources.validation import validate_document
from chivetrack.components.storage import open_storage
from chivetrack.components.storage.snapshots import encode_snapshot
from chivetrack.helpers.finding import Findings
from chivetrack.helpers.keys import hash_key, make_key
from tests.cli.case import CliCase, CommandResult
from tests.cli.stand_in import Fault, write_error

SAMPLE = Path(__file__).parents[2] / "docs" / "samples" / "chivetrackd.toml"


class ReadTest(CliCase):
    def setUp(self) -> None:
        super().setUp()
        for number in range(5):
            metadata = {"name": f"w{number}", "labels": {"hall": "tanta"}}
            self.server.store({"kind": "workspace", "metadata": metadata, "spec": {"n": number}})

    def test_list_reads_all_pages(self) -> None:
        self.server.page = 2
        result = self.run_command("get", "workspace")
        self.assertEqual(result.out.count("hall=tanta"), 5)
        self.assertEqual(self.server.count("GET"), 3)

    def test_json_of_a_resource_can_be_applied_again(self) -> None:
        result = self.run_command("get", "workspace", "w1", "-o", "json")
        document = json.loads(result.out)
        document["spec"] = {"n": 9}
        result = self.run_command("apply", "-f", self.write("w1.json", document))
        self.assertEqual(result.code, ExitCode.OK, result)
        self.assertEqual(self.server.resources["workspace", "w1"]["spec"], {"n": 9})

    def test_describe_and_delete(self) -> None:
        self.assertIn("n: 3", self.run_command("describe", "workspace", "w3").out)
        self.assertEqual(self.run_command("delete", "workspace", "w3").code, ExitCode.OK)
        for arguments in (("describe", "workspace", "w3"), ("delete", "workspace", "w3")):
            self.assertEqual(self.run_command(*arguments).code, ExitCode.NOT_FOUND)

    def test_lost_answer_of_a_delete_is_not_reported_as_not_found(self) -> None:
        self.server.faults.append(Fault.LOSE_ANSWER)
        self.assertEqual(self.run_command("delete", "workspace", "w3").code, ExitCode.OK)

    def test_reads_are_retried_after_lost_answers(self) -> None:
        for fault in (Fault.LOSE_REQUEST, Fault.CUT_ANSWER, (502, "bad gateway")):
            with self.subTest(fault=fault):
                self.server.faults.append(fault)
                self.assertEqual(self.run_command("get", "workspace").code, ExitCode.OK)

    def test_names_are_escaped_in_the_terminal_and_in_paths(self) -> None:
        metadata = {"name": "x\x1b[2Jy\x07\x9b2J", "labels": {}}
        self.server.store({"kind": "workspace", "metadata": metadata, "spec": {}})
        self.assertIn("x?[2Jy??2J", self.run_command("get", "workspace").out)
        self.run_command("get", "workspace", "../status?x")
        self.assertTrue(self.server.requests[-1][1].startswith("workspace/"))

    def test_status_and_explanations(self) -> None:
        status = {"leader": "r1", "term": 4, "replicas": [{"id": "r1", "lag": 0}, {"id": "r2"}]}
        self.server.documents["status"] = status
        self.server.documents["explain/request/abc"] = {"endpoint": "e1", "reason": "home"}
        self.server.documents["explain/endpoint/e1"] = {"availability": "leaving"}
        result = self.run_command("status")
        self.assertIn("term: 4", result.out)
        self.assertRegex(result.out, r"(?m)^  ID  LAG\n  r1  0\n  r2  -$")
        self.assertEqual(json.loads(self.run_command("status", "-o", "json").out), status)
        self.assertIn("reason: home", self.run_command("explain", "request", "abc").out)
        self.assertIn("leaving", self.run_command("explain", "endpoint", "e1").out)
        self.assertEqual(self.run_command("explain", "chat", "x").code, ExitCode.USAGE)

    def test_drain_and_undo(self) -> None:
        result = self.run_command("drain", "e1", "--reason", "new disk")
        self.assertIn("drain/e1 accepted: created", result.out)
        spec = self.server.resources["drain", "e1"]["spec"]
        target = {"kind": "endpoint", "name": "e1"}
        self.assertEqual(spec, {"target": target, "reason": "new disk"})
        findings = Findings()
        validate_document(self.server.resources["drain", "e1"], findings)
        self.assertEqual(list(findings), [])
        self.assertEqual(self.run_command("drain", "e1", "--undo").code, ExitCode.OK)
        self.assertNotIn(("drain", "e1"), self.server.resources)


class ReplicaTest(CliCase):
    def test_replace_needs_a_new_id(self) -> None:
        """Guards against a replica with an empty disk that rejoins under its old id.

        Its votes were stored on the lost disk. It could vote twice in one term, so two
        leaders could be elected and an accepted change could be lost.
        """
        result = self.run_command("replica", "replace", "r1", "r1")
        self.assertEqual(result.code, ExitCode.USAGE)
        self.assertEqual(self.server.requests, [])

    def test_interrupted_replace_can_be_repeated(self) -> None:
        self.server.documents["replicas/r1"] = {}
        self.server.faults.extend((Fault.NONE, (403, write_error("no", "no"))))
        result = self.run_command("replica", "replace", "r1", "r4")
        self.assertEqual(result.code, ExitCode.REFUSED)
        self.assertIn("chivetrack replica add r4", result.err)
        del self.server.documents["replicas/r1"]
        result = self.run_command("replica", "replace", "r1", "r4")
        self.assertEqual(result.code, ExitCode.OK, result)
        self.assertIn("r4", self.server.documents["replicas/r4"]["id"])

    def test_add_and_remove(self) -> None:
        self.assertEqual(self.run_command("replica", "add", "r4").code, 0)
        self.assertEqual(self.run_command("replica", "remove", "r4").code, 0)


class BackupTest(CliCase):
    def setUp(self) -> None:
        super().setUp()
        snapshot = Snapshot(index=7, term=2, data=b"state" * 100)
        self.server.content = b"".join(encode_snapshot(snapshot))
        self.data_folder = self.folder / "data"
        self.file = self.folder / "b.bin"

    def test_backup_and_restore(self) -> None:
        self.assertEqual(self.run_command("backup", str(self.file)).code, ExitCode.OK)
        result = self.restore()
        self.assertEqual(result.code, ExitCode.OK, result)
        with open_storage(path=self.data_folder) as storage:
            snapshot = storage.pop_recovered().snapshot
            (member,) = snapshot.members.members
            self.assertEqual(member.replica_id, storage.identity.replica_id)
        self.assertEqual((snapshot.index, snapshot.data), (7, b"state" * 100))
        self.assertEqual(member.instance_id, "tanta-1")

    def restore(self) -> CommandResult:
        return self.run_command(
            "restore",
            "--yes",
            "--folder",
            str(self.data_folder),
            "--instance",
            "tanta-1",
            str(self.file),
        )

    def test_folder_with_data_is_not_overwritten(self) -> None:
        """Guards against a restore into the folder of a replica that still has its state."""
        self.run_command("backup", str(self.file))
        self.assertEqual(self.restore().code, ExitCode.OK)
        self.assertEqual(self.restore().code, ExitCode.FINDINGS)

    def test_truncated_answer_is_not_written_as_a_backup(self) -> None:
        self.server.faults.extend([Fault.CUT_ANSWER] * 500)
        result = self.run_command("backup", str(self.file))
        self.assertEqual(result.code, ExitCode.UNREACHABLE)
        self.assertEqual(list(self.folder.iterdir()), [])

    def test_damaged_backup_is_not_restored(self) -> None:
        """Guards against a truncated or altered copy that becomes the state of the fleet."""
        self.run_command("backup", str(self.file))
        complete = self.file.read_bytes()
        for content in (complete[:-1], b"", complete.replace(b"s", b"x", 1)):
            with self.subTest(content=content[:9]):
                self.file.write_bytes(content)
                self.assertEqual(self.restore().code, ExitCode.FINDINGS)
        self.file.with_name("b.bin.sha256").unlink()
        self.assertEqual(self.restore().code, ExitCode.FINDINGS)
        self.assertFalse(self.data_folder.exists())


class LocalTest(CliCase):
    def test_config_check(self) -> None:
        self.assertEqual(self.run_command("config", "check", str(SAMPLE)).code, ExitCode.OK)
        bad = self.write("bad.toml", SAMPLE.read_text() + "[limit]\n[stopp]\n")
        result = self.run_command("config", "check", bad)
        self.assertEqual(result.code, ExitCode.FINDINGS)
        self.assertIn("did you mean 'limits'?", result.err)
        result = self.run_command("config", "check", bad, "-o", "json")
        self.assertEqual(len(json.loads(result.out)["findings"]), 2)

    def test_keys(self) -> None:
        made = json.loads(self.run_command("key", "make", "-o", "json").out)
        self.assertEqual(made["hash"], hash_key(made["key"]))
        key = make_key()
        table = [
            (f"{key}\n", ExitCode.OK),
            ("barrier\n", ExitCode.FINDINGS),
            ("", ExitCode.FINDINGS),
        ]
        for text, code in table:
            with self.subTest(text=text), mock.patch("sys.stdin", io.StringIO(text)):
                self.assertEqual(self.run_command("key", "hash").code, code)

    def test_usage(self) -> None:
        table = [
            (("--version",), 0, "chivetrack 0."),
            (("--help",), 0, "Exit codes:"),
            (("apply",), 2, "Missing option"),
            (("nonsense",), 2, "No such command"),
            (("get", "x", "-o", "yaml"), 2, "'table', 'json'"),
            (("key", "make", "extra"), 2, "unexpected extra argument"),
        ]
        for arguments, code, text in table:
            with self.subTest(arguments=arguments):
                result = self.run_command(*arguments)
                self.assertEqual(result.code, code)
                self.assertIn(text, result.out + result.err)

    def test_completion_is_offered(self) -> None:
        environment = {**self.environment, "_CHIVETRACK_COMPLETE": "complete_bash"}
        environment |= {"COMP_WORDS": "chivetrack ", "COMP_CWORD": "1"}
        self.environment = environment
        self.assertIn("describe", self.run_command().out)


class ProfileTest(CliCase):
    def setUp(self) -> None:
        super().setUp()
        self.profiles = Path(self.environment["CHIVETRACK_PROFILE_FILE"])

    def write_profiles(self, text: str) -> None:
        self.profiles.write_text(text)
        os.chmod(self.profiles, 0o600)

    def find_key(self, *flags: str) -> str | None:
        self.server.keys.clear()
        result = self.run_command(*flags, "get", "workspace")
        self.assertEqual(result.code, ExitCode.OK, result)
        return self.server.keys[0]

    def test_precedence_of_flags_environment_and_profile(self) -> None:
        del self.environment["CHIVETRACK_SERVER"]
        self.write_profiles(
            f'[default]\nserver = "{self.server.url}"\nkey = "a"\n'
            f'[other]\nserver = "{self.server.url}"\nkey = "d"\n'
        )
        self.assertEqual(self.find_key(), "Bearer a")
        self.assertEqual(self.find_key("--profile", "other"), "Bearer d")
        self.environment["CHIVETRACK_KEY"] = "b"
        self.assertEqual(self.find_key(), "Bearer b")
        self.assertEqual(self.find_key("--key", "c"), "Bearer c")
        self.environment["CHIVETRACK_KEY"] = "from-a-file\n"
        self.assertEqual(self.find_key(), "Bearer from-a-file")

    def test_key_that_cannot_be_sent_is_a_usage_error(self) -> None:
        for key in ("a\r\nX-Other: b", "schlüssel"):
            self.environment["CHIVETRACK_KEY"] = key
            result = self.run_command("get", "workspace")
            self.assertEqual(result.code, ExitCode.USAGE)
            self.assertNotIn(key, result.err)

    def test_faults_are_reported_together(self) -> None:
        table = [
            ("[default]\nsrver = 'x'\nkey = 3\n", (), ("'server'", "must be a text")),
            ("[default]\n", ("--profile", "dflt"), ("is not a profile",)),
            ("[default\n", (), ("cannot be read",)),
        ]
        for text, flags, parts in table:
            with self.subTest(text=text):
                self.write_profiles(text)
                result = self.run_command(*flags, "get", "workspace")
                self.assertEqual(result.code, ExitCode.USAGE)
                for part in parts:
                    self.assertIn(part, result.err)

    def test_profile_with_a_key_readable_by_others_is_refused(self) -> None:
        self.write_profiles('[default]\nkey = "secret"\n')
        os.chmod(self.profiles, 0o644)
        result = self.run_command("get", "workspace")
        self.assertEqual(result.code, ExitCode.USAGE)
        self.assertIn("chmod 600", result.err)
        self.assertNotIn("secret", result.err)

    def test_missing_or_incomplete_server_is_a_usage_error(self) -> None:
        for server in ("", "10.0.0.1:8081"):
            self.environment["CHIVETRACK_SERVER"] = server
            self.assertEqual(self.run_command("get", "workspace").code, ExitCode.USAGE)
