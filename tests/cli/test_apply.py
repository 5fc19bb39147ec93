"""Writes by the command line: accepted, refused or unknown, and never applied twice."""

import json
import ssl
from unittest import mock

import urllib3

from chivetrack.cli.const import ExitCode
from tests.cli.case import CliCase
from tests.cli.stand_in import Fault, write_error

WORKSPACE = {"kind": "workspace", "metadata": {"name": "w1"}, "spec": {"weight": 1}}


class ApplyTest(CliCase):
    def setUp(self) -> None:
        super().setUp()
        self.file = self.write("w1.json", WORKSPACE)

    def test_creates_then_reports_unchanged_then_replaces(self) -> None:
        self.assertIn(
            "accepted: created, revision 11", self.run_command("apply", "-f", self.file).out
        )
        self.assertIn("accepted: unchanged", self.run_command("apply", "-f", self.file).out)
        toml = 'kind = "workspace"\nmetadata = {name = "w1"}\n[spec]\nweight = 2\n'
        result = self.run_command("apply", "-f", self.write("w1.toml", toml))
        self.assertIn("accepted: replaced, revision 12", result.out)
        self.assertEqual(self.server.resources["workspace", "w1"]["spec"], {"weight": 2})

    def test_status_is_not_sent(self) -> None:
        file = self.write("x.json", {**WORKSPACE, "status": {"inForce": 9}})
        for _ in range(2):
            self.assertEqual(self.run_command("apply", "-f", file).code, ExitCode.OK)
            self.assertNotIn("status", self.server.resources["workspace", "w1"])
            self.server.resources["workspace", "w1"]["spec"] = {}

    def test_named_revision_is_the_precondition(self) -> None:
        self.server.store(WORKSPACE)
        for revision, code in ((10, ExitCode.CONFLICT), (11, ExitCode.OK)):
            document = {**WORKSPACE, "metadata": {"name": "w1", "revision": revision}}
            with self.subTest(revision=revision):
                result = self.run_command("apply", "-f", self.write("x.json", document))
                self.assertEqual(result.code, code, result)

    def test_lost_answer_is_retried_with_the_same_request_id(self) -> None:
        """Guards against a change that is made twice or reported as a conflict with itself.

        The connection is lost before the server handles the request, before its answer or
        during its answer. The command sends the request again. With a new request id the
        server would make a second change, or refuse the repetition as a conflict.
        """
        for fault in (Fault.LOSE_REQUEST, Fault.LOSE_ANSWER, Fault.CUT_ANSWER):
            with self.subTest(fault=fault):
                self.server.resources.clear()
                self.server.requests.clear()
                self.server.faults.extend((Fault.NONE, fault))
                before = self.server.revision
                result = self.run_command("apply", "-f", self.file)
                self.assertEqual((result.code, result.err), (ExitCode.OK, ""))
                writes = [entry for entry in self.server.requests if entry[0] == "POST"]
                self.assertEqual(len(writes), 2)
                self.assertEqual(len({request_id for _, _, request_id in writes}), 1)
                self.assertEqual(self.server.revision, before + 1)

    def test_outcome_stays_unknown_after_a_lost_answer(self) -> None:
        """Guards against reporting a change that was made as refused or unreachable.

        "Refused" and "unreachable" mean that nothing happened. The first attempt makes the
        change and its answer is lost; the second is refused before the request is examined.
        If the command reported that refusal, the operator would believe that the change was
        not made.
        """
        table = [
            (401, write_error("bad_key", "unknown key")),
            (429, write_error("busy", "too many")),
            (503, write_error("no_leader", "no leader")),
            (503, write_error("no_leader", "no leader", retry_after_s=100)),
            (502, "bad gateway"),
        ]
        for answer in table:
            with self.subTest(answer=answer):
                self.server.resources.clear()
                self.server.faults.clear()
                self.server.faults.extend((Fault.NONE, Fault.LOSE_ANSWER, *[answer] * 500))
                result = self.run_command("apply", "-f", self.file)
                self.assertEqual(result.code, ExitCode.UNKNOWN, result)
                self.assertIn("w1 unknown", result.out)
                self.assertIn("request id", result.err)

    def test_final_answer_after_a_lost_answer_is_reported(self) -> None:
        self.server.faults.extend(
            (Fault.NONE, Fault.LOSE_REQUEST, (409, write_error("conflict", "came first")))
        )
        self.assertEqual(self.run_command("apply", "-f", self.file).code, ExitCode.CONFLICT)

    def test_exit_codes_of_answers(self) -> None:
        finding = {"place": "spec.weight", "message": "must be positive", "hint": "1 or more"}
        table = [
            (422, write_error("invalid", "bad", findings=[finding]), ExitCode.FINDINGS, "refused"),
            (403, write_error("forbidden", "not yours"), ExitCode.REFUSED, "refused"),
            (409, write_error("conflict", "came first"), ExitCode.CONFLICT, "refused"),
            (500, write_error("broken", "disk", ran="maybe"), ExitCode.UNKNOWN, "unknown"),
            (502, "<html>bad gateway</html>", ExitCode.UNKNOWN, "unknown"),
            (408, "timeout", ExitCode.UNKNOWN, "unknown"),
            (405, "not allowed", ExitCode.REFUSED, "refused"),
            (301, "moved", ExitCode.REFUSED, "refused"),
            (200, "<html>a login page</html>", ExitCode.UNKNOWN, "unknown"),
        ]
        for status, body, code, outcome_name in table:
            with self.subTest(status=status, body=body):
                self.server.faults.clear()
                self.server.faults.extend((Fault.NONE, *[(status, body)] * 500))
                result = self.run_command("apply", "-f", self.file, "-o", "json")
                self.assertEqual(result.code, code, result)
                (outcome,) = json.loads(result.out)["outcomes"]
                self.assertEqual(outcome["outcome"], outcome_name)
        self.assertEqual(self.server.resources, {})

    def test_exit_code_is_that_of_the_worst_outcome(self) -> None:
        documents = [{**WORKSPACE, "metadata": {"name": f"w{n}"}} for n in range(3)]
        self.server.faults.extend(
            (Fault.NONE, Fault.NONE, Fault.NONE, (403, write_error("forbidden", "no")))
        )
        result = self.run_command("apply", "-f", self.write("x.json", {"items": documents}))
        self.assertEqual(result.code, ExitCode.REFUSED)
        self.assertEqual(result.out.count("accepted: created"), 2)
        self.assertIn("workspace/w1 refused", result.out)

    def test_closed_output_does_not_end_the_command(self) -> None:
        """Guards against changes that are skipped because the output cannot be written.

        The output goes to a program that ends after the first line (``| head -1``), so the
        next line cannot be written. A command that ended there would not make the remaining
        changes and would exit with the code of a refusal.
        """
        documents = [{**WORKSPACE, "metadata": {"name": f"w{n}"}} for n in range(3)]
        file = self.write("x.json", {"items": documents})
        with mock.patch("typer.echo", side_effect=BrokenPipeError):
            result = self.run_command("apply", "-f", file)
        self.assertEqual(result.code, ExitCode.OK)
        self.assertEqual(len(self.server.resources), 3)

    def test_nothing_is_sent_while_a_file_has_findings(self) -> None:
        bad = self.write("bad.json", [{"knd": "w", "metadata": {}}, {"kind": "w", "spec": 3}, 7])
        result = self.run_command("apply", "-f", self.file, "-f", bad, "-f", "/nonexistent")
        self.assertEqual(result.code, ExitCode.FINDINGS)
        for part in ("resource 1 knd", "'kind'", "resource 2 spec", "resource 3", "/nonexistent"):
            self.assertIn(part, result.err)
        self.assertEqual(self.server.requests, [])

    def test_refusal_with_retry_after_is_retried(self) -> None:
        busy = (503, write_error("no_leader", "no leader", retry_after_s=0.5))
        self.server.faults.extend((Fault.NONE, busy, busy))
        self.assertEqual(self.run_command("apply", "-f", self.file).code, ExitCode.OK)

    def test_server_crash_under_tls_leaves_the_outcome_unknown(self) -> None:
        """Guards against reading a TLS error during an answer as "nothing happened".

        An instance is killed after it received the request, which causes a TLS error. An
        untrusted certificate causes an error of the same class, but always before the
        request is sent.
        """
        table = [
            (ssl.SSLEOFError("EOF"), ExitCode.UNKNOWN),
            (ssl.SSLCertVerificationError("self-signed"), ExitCode.UNREACHABLE),
        ]
        document = {**WORKSPACE, "metadata": {"name": "w1", "revision": 3}}
        file = self.write("x.json", document)
        for error, code in table:
            failure = urllib3.exceptions.SSLError(error)
            with (
                self.subTest(error=error),
                mock.patch.object(urllib3.PoolManager, "request", side_effect=failure),
            ):
                result = self.run_command("apply", "-f", file)
                self.assertEqual(result.code, code, result)


class UnreachableTest(CliCase):
    def test_server_that_does_not_listen(self) -> None:
        file = self.write("w1.json", WORKSPACE)
        self.environment["CHIVETRACK_SERVER"] = "http://127.0.0.1:1"
        for arguments in (("apply", "-f", file), ("get", "workspace"), ("delete", "w", "x")):
            with self.subTest(arguments=arguments):
                result = self.run_command(*arguments)
                self.assertEqual(result.code, ExitCode.UNREACHABLE, result)
                self.assertIn("cannot be reached", result.err)

    def test_sleep_that_ends_after_the_deadline(self) -> None:
        """Guards against a negative timeout for an attempt after a late wake-up.

        On a busy machine a sleep ends after the deadline, so no time is left for the next
        attempt. The HTTP library raises an error for a negative timeout, and the command
        would exit with 70 although the server is known to be unreachable.
        """
        self.environment["CHIVETRACK_SERVER"] = "http://127.0.0.1:1"
        self.clock.wake_delay_s = 60.0
        self.assertEqual(self.run_command("get", "workspace").code, ExitCode.UNREACHABLE)

    def test_long_wait_is_explained_once(self) -> None:
        self.environment["CHIVETRACK_SERVER"] = "http://127.0.0.1:1"
        result = self.run_command("--timeout", "9", "get", "workspace")
        self.assertEqual(result.err.count("trying for up to 9 s"), 1)
        self.assertLess(self.clock.now, 9)

    def test_uncaught_exception_is_not_a_refusal(self) -> None:
        with mock.patch("chivetrack.cli.client.Client.read", side_effect=RuntimeError):
            self.assertEqual(self.run_command("get", "workspace").code, ExitCode.FAULT)
