"""Telemetry: rendered metrics, bounded memory, and a stalled collector."""

import subprocess
import sys
import unittest
from pathlib import Path

from chivetrack.helpers.telemetry import const, open_telemetry
from chivetrack.helpers.telemetry.instruments import INSTRUMENTS, Direction

HANG_TIMEOUT_S = 60
ROOT = Path(__file__).resolve().parents[3]


class MetricsTest(unittest.TestCase):
    def test_every_instrument_is_rendered(self) -> None:
        with open_telemetry(instance_id="r1") as telemetry:
            record = telemetry.instruments
            record.record_request(service="chat", code="ok", duration_s=0.1)
            record.record_first_chunk(service="chat", duration_s=0.05)
            record.record_chunks(service="chat", count=7)
            record.change_in_flight(1)
            record.record_retry(reason="connect")
            record.record_refusal(code="deadline_past", ran="no")
            record.record_control_bytes(direction=Direction.SENT, kind="load", count=12)
            record.set_config_revision(41)
            record.set_leader(True)
            record.set_applied_lag(3)
            text = telemetry.render_metrics().decode()
        for name in INSTRUMENTS:
            self.assertIn(name.replace(".", "_"), text)
        self.assertIn('chivetrack_refused_total{code="deadline_past",ran="no"} 1.0', text)
        self.assertIn("chivetrack_config_revision 41.0", text)
        self.assertIn('service_instance_id="r1"', text)
        self.assertIn("process_resident_memory_bytes", text)

    def test_unlimited_attribute_values_take_bounded_memory(self) -> None:
        """Guards against memory that grows with the number of attribute values.

        Some code keeps passing new names as an attribute. Each would stay in memory until
        the process ends; beyond the limit, names are counted in one overflow entry.
        """
        with open_telemetry(instance_id="r1") as telemetry:
            for number in range(10 * const.MAX_SERIES_PER_INSTRUMENT):
                telemetry.instruments.record_chunks(service=f"s{number}", count=1)
            text = telemetry.render_metrics().decode()
        lines = [line for line in text.splitlines() if line.startswith("chivetrack_chunks_total")]
        self.assertLessEqual(len(lines), const.MAX_SERIES_PER_INSTRUMENT + 1)
        self.assertTrue(any("overflow" in line for line in lines))

    def test_collector_client_is_not_loaded_without_a_collector(self) -> None:
        program = (
            "import sys\n"
            "from chivetrack.helpers.telemetry import open_telemetry\n"
            "with open_telemetry(instance_id='r1'): pass\n"
            "sys.exit(any('otlp' in name or name == 'requests' for name in sys.modules))"
        )
        self.assertEqual(_run("-c", program).returncode, 0)


class StalledCollectorTest(unittest.TestCase):
    def test_stalled_collector_blocks_neither_requests_nor_the_stop(self) -> None:
        """Guards against a collector that accepts connections, never answers and blocks requests.

        Both exporters connect and wait. Requests go on and end four times as many spans as
        the queue holds; then the instance stops while the collector still does not answer.
        Under gevent's patched library one blocking call would halt all requests at once.
        """
        result = _run("-m", "tests.helpers.telemetry.stalled_collector")
        self.assertIn("survived", result.stdout, result.stderr)
        self.assertEqual(result.returncode, 0, result.stderr)


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        check=False,
        cwd=ROOT,
    )
