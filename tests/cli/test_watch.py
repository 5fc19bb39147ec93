"""The watch command: no change is missed or printed twice across lost connections."""

import json

from chivetrack.cli.const import ExitCode
from tests.cli.case import CliCase
from tests.cli.stand_in import Fault, write_error


def write_event(revision: int, kind: str = "replaced") -> bytes:
    resource = {"kind": "workspace", "metadata": {"name": f"w{revision}"}}
    event = {"type": kind, "revision": revision, "resource": resource}
    return json.dumps(event).encode() + b"\n"


BOOKMARK = b'{"type": "bookmark", "revision": 20}\n'


class WatchTest(CliCase):
    def watch(self, count: int, *arguments: str) -> list[int]:
        result = self.run_command("watch", "workspace", "--count", str(count), *arguments)
        self.assertEqual((result.code, result.err), (ExitCode.OK, ""))
        return [int(line.split()[0]) for line in result.out.splitlines()]

    def list_starts(self) -> list[str]:
        return [query["revision"] for query in self.server.queries if "watch" in query]

    def test_begins_now_or_after_a_revision(self) -> None:
        self.server.streams.extend([[write_event(11)], [write_event(6)]])
        self.assertEqual(self.watch(1), [11])
        self.assertEqual(self.watch(1, "--revision", "5"), [6])
        self.assertEqual(self.list_starts(), ["10", "5"])

    def test_resumes_after_the_last_complete_line(self) -> None:
        """Guards against changes that a script misses or sees twice after a lost connection.

        The first stream ends within a line. The second repeats earlier changes before new
        ones, and its bookmark moves the revision from which the third stream begins.
        """
        self.server.streams.extend(
            [
                [write_event(11), write_event(12)[:-9]],
                [write_event(11), write_event(12), BOOKMARK],
                [write_event(21)],
            ]
        )
        self.assertEqual(self.watch(3), [11, 12, 21])
        self.assertEqual(self.list_starts(), ["10", "11", "20"])

    def test_line_received_in_several_pieces_is_one_event(self) -> None:
        line = write_event(11)
        self.server.streams.append([line[:5], line[5:50], line[50:] + write_event(12)])
        self.assertEqual(self.watch(2), [11, 12])
        self.assertEqual(self.list_starts(), ["10"])

    def test_lost_connections_are_opened_again(self) -> None:
        self.server.streams.extend([[write_event(11)]])
        self.server.faults.extend(
            (Fault.LOSE_REQUEST, (503, write_error("no_leader", "no leader")), Fault.NONE)
        )
        result = self.run_command("watch", "workspace", "--revision", "10", "--count", "1")
        self.assertEqual(result.out, "11  replaced  workspace/w11\n")
        self.assertIn("no leader", result.err)

    def test_missed_changes_are_reported(self) -> None:
        self.server.streams.extend([[write_event(12)]])
        self.server.faults.append((410, write_error("compacted", "no longer kept")))
        result = self.run_command("watch", "workspace", "--revision", "3", "--count", "1")
        self.assertIn("after revision 3 are no longer kept", result.err)
        self.assertEqual(self.list_starts(), ["3", "10"])

    def test_refusal_ends_the_watch(self) -> None:
        self.server.faults.append((403, write_error("forbidden", "not yours")))
        result = self.run_command("watch", "workspace", "--revision", "3")
        self.assertEqual(result.code, ExitCode.REFUSED)

    def test_line_that_is_not_an_event_reopens_the_watch(self) -> None:
        self.server.streams.extend([[b"<html>\n", write_event(11)], [write_event(12)]])
        result = self.run_command("watch", "workspace", "--revision", "10", "--count", "1")
        self.assertEqual(result.out, "12  replaced  workspace/w12\n")
        self.assertIn("not an event", result.err)
