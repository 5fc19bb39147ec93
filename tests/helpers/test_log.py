"""Logs: prefix, format, one line for each record, and a closed stream."""

import io
import json
import logging
import unittest
from unittest import mock

from chivetrack.helpers.log import get_logger, open_logs


class _BrokenStream(io.StringIO):
    def write(self, text: str) -> int:
        raise BrokenPipeError


class LogTest(unittest.TestCase):
    def write(self, form: str, level: str = "info") -> list[str]:
        stream = io.StringIO()
        logger = get_logger("peers")
        with open_logs(level=level, form=form, stream=stream):
            logger.debug("Debug detail.")
            logger.info("Lease of {} ran out.", "r1")
            logger.warning("a\n[peers] fake\x1b[2J")
            logging.getLogger("urllib3.pool").warning("Slow.")
            try:
                raise ValueError("broken")
            except ValueError:
                logger.exception("It failed.")
        return stream.getvalue().splitlines()

    def test_text_lines_start_with_the_part(self) -> None:
        lines = self.write("text")
        self.assertRegex(
            lines[0], r"^\[peers\] \d{4}-\d\d-\d\dT[\d:.]+Z info: Lease of r1 ran out\.$"
        )
        self.assertTrue(lines[2].startswith("[urllib3] "), lines[2])
        for line in lines:
            self.assertRegex(line, r"^\[(peers|urllib3)\] ")
        self.assertIn("ValueError: broken", lines[-1])

    def test_record_stays_on_its_line(self) -> None:
        lines = self.write("text")
        self.assertTrue(lines[1].endswith(r"a\n[peers] fake\x1b[2J"), lines[1])

    def test_json_lines(self) -> None:
        records = [json.loads(line) for line in self.write("json")]
        self.assertEqual(records[0]["part"], "peers")
        self.assertEqual(records[0]["message"], "Lease of r1 ran out.")
        self.assertIn("ValueError: broken", records[-1]["exception"])

    def test_records_below_the_level_are_not_written(self) -> None:
        self.assertNotIn("Lease", "".join(self.write("text", level="warning")))
        self.assertIn("Debug detail", "".join(self.write("text", level="debug")))

    def test_stream_that_cannot_be_written(self) -> None:
        """Guards against a log call that fails the request that makes it.

        The collector that reads stderr ends, or stderr is closed, so the next line cannot be
        written. The log library would print a traceback to the same stderr, which raises an
        error in the caller when stderr is closed.
        """
        closed = io.StringIO()
        closed.close()
        for stream in (_BrokenStream(), closed):
            with self.subTest(stream=stream), mock.patch("sys.stderr", stream), open_logs():
                get_logger("peers").info("This line is lost.")
