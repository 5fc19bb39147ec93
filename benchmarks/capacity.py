"""Measure the cost of control in ``chivetrackd``: processor time, memory, bytes per second.

Run with: python -m benchmarks.capacity
It starts local fleets of real processes that are idle except for the varied quantity: the
number of instances, the number of endpoints, or the changes per minute. The deployed processes
are measured by the users' sweep, see docs/CAPACITY.md.
"""

import re
import threading
import time
from dataclasses import dataclass

import urllib3

from benchmarks.path import read_usage
from standins.fleet import CALLER_PORT, TELEMETRY_PORT, Fleet, open_fleet

SETTLE_S = 6.0
MEASURE_S = 10.0
CONTROL = re.compile(r"^chivetrack_control_bytes_total\{.*direction=\"sent\".*\} (\S+)", re.M)


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """Means and maxima over the instances of one fleet; rates are in bytes per second."""

    title: str
    cpu_percent: float
    cpu_worst: float
    resident_mb: float
    sent_per_s: float
    sent_worst: float

    def format(self) -> str:
        """Return the measurement as a row of the table."""
        return (
            f"| {self.title} | {self.cpu_percent:.1f} / {self.cpu_worst:.1f} "
            f"| {self.resident_mb:.0f} | {self.sent_per_s:.0f} / {self.sent_worst:.0f} |"
        )


def read_sent(fleet: Fleet, http: urllib3.PoolManager) -> list[float]:
    """Return the number of control bytes that each instance has sent since its start."""
    totals = []
    for plan in fleet.plans:
        url = f"http://{plan.host}:{TELEMETRY_PORT}/metrics"
        text = http.request("GET", url).data.decode()
        totals.append(sum(float(value) for value in CONTROL.findall(text)))
    return totals


def measure(fleet: Fleet, title: str) -> Measurement:
    """Measure the instances of a fleet for ``MEASURE_S`` seconds after ``SETTLE_S`` seconds."""
    http = urllib3.PoolManager()
    pids = [fleet.members[plan.name].process.pid for plan in fleet.plans]
    time.sleep(SETTLE_S)
    sent = read_sent(fleet, http)
    before = [read_usage(pid) for pid in pids]
    begin = time.monotonic()
    time.sleep(MEASURE_S)
    elapsed = time.monotonic() - begin
    after = [read_usage(pid) for pid in pids]
    rates = [(b - a) / elapsed for a, b in zip(sent, read_sent(fleet, http), strict=True)]
    shares = [(b.cpu_s - a.cpu_s) / elapsed * 100 for a, b in zip(before, after, strict=True)]
    return Measurement(
        title=title,
        cpu_percent=sum(shares) / len(shares),
        cpu_worst=max(shares),
        resident_mb=sum(usage.resident for usage in after) / len(after) / 1e6,
        sent_per_s=sum(rates) / len(rates),
        sent_worst=max(rates),
    )


def measure_instances(count: int) -> Measurement:
    """Measure an idle fleet of ``count`` instances, three of them replicas."""
    with open_fleet() as fleet:
        fleet.plan_instances(count)
        fleet.start_instances()
        return measure(fleet, f"{count} instances, idle")


def measure_endpoints(count: int) -> Measurement:
    """Measure three instances with ``count`` endpoints that renew their leases."""
    with open_fleet() as fleet:
        fleet.plan_instances(3)
        fleet.start_instances()
        command = ["-m", "standins", "crowd", "--count", str(count)]
        for plan in fleet.plans:
            command += ["--announce-to", f"http://{plan.host}:{CALLER_PORT}"]
        fleet.start_and_wait_ready("crowd", command)
        return measure(fleet, f"3 instances, {count} endpoints")


def measure_changes(per_minute: int) -> Measurement:
    """Measure three instances while ``per_minute`` workspaces are created per minute."""
    with open_fleet() as fleet:
        fleet.plan_instances(3)
        fleet.start_instances()
        stop = threading.Event()
        writer = threading.Thread(target=_write_changes, args=(fleet, per_minute, stop))
        writer.start()
        try:
            return measure(fleet, f"3 instances, {per_minute} changes a minute")
        finally:
            stop.set()
            writer.join()


def _write_changes(fleet: Fleet, per_minute: int, stop: threading.Event) -> None:
    member = fleet.members[fleet.plans[0].name]
    number = 0
    while not stop.wait(60.0 / per_minute):
        number += 1
        value = {"kind": "workspace", "metadata": {"name": f"w{number}"}, "spec": {}}
        fleet.manage("POST", member, "/api/v1/workspace", value)


def make_table(measurements: list[Measurement]) -> str:
    """Return the measurements as a Markdown table."""
    head = (
        "| fleet | % of a core, mean / worst | resident MB | bytes sent a second, mean / worst |\n"
        "| --- | --- | --- | --- |"
    )
    return "\n".join([head, *(measurement.format() for measurement in measurements)])


def main() -> None:
    """Run all measurements and print their table."""
    measurements = []
    for count in (3, 6, 9, 15):
        measurements.append(measure_instances(count))
    for count in (6, 60, 600):
        measurements.append(measure_endpoints(count))
    measurements.append(measure_changes(100))
    print(make_table(measurements))


if __name__ == "__main__":
    main()
