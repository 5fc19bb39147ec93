"""The play of the cases on RECOVER: traffic, entries of another writer, the final fault."""

import random
import signal
import threading
import time

from harness import (
    BOUNDS,
    HEARTBEAT_S,
    PLAIN_ROUTES,
    PLAIN_SERVICES,
    TROUBLE,
    CannotRunError,
    Consumer,
    Server,
    make_config,
)

ENTRY_AT_S = 6.0
FAULT_AT_S = 8.0
DOWN_S = 0.7
MEASURED_S = 10.0
CONSUMERS = 20


def play(fleet, record, entries, *, routers_later_s=0.0):
    """Return whether RECOVER is broken; ``entries`` are (id, body) of the other writer.

    After the final fault the routers start ``routers_later_s`` after the replicas.
    """
    fleet.start_all()
    servers = [Server(fleet, number, service="portal", slots=6) for number in range(1, 4)]
    if not fleet.put_config(make_config(3, PLAIN_ROUTES, PLAIN_SERVICES)):
        raise CannotRunError("no desired state was acknowledged")
    fleet.wait_ready()
    time.sleep(1.5)
    record.began = time.monotonic()
    ends = threading.Event()
    results = []

    def consume(number):
        consumer = Consumer(fleet, number)
        while not ends.wait(random.uniform(0.2, 0.6)):
            sent_at = record.now()
            is_post = random.random() < 0.7
            kind = "non_idempotent" if is_post else "idempotent"
            status = consumer.send(
                "POST" if is_post else "GET",
                "/post/x" if is_post else "/get/x",
                kind=kind,
                limit_s=1.5,
                body=b"b" * 600 if is_post else b"",
            )
            results.append((sent_at, status))

    def write_entry(entry_id, body, number):
        sequence = body["sequence"]
        while not ends.is_set():
            sequence += 1
            status, name = fleet.call_control(
                "PUT", f"/instances/{entry_id}", {**body, "sequence": sequence}, first=number
            )
            record.write("other_writer", entry=entry_id, status=status, by=name)
            number += 1
            ends.wait(HEARTBEAT_S)

    threads = [threading.Thread(target=consume, args=(one,)) for one in range(CONSUMERS)]
    for thread in threads:
        thread.start()
    time.sleep(ENTRY_AT_S)
    if TROUBLE:
        for number, (entry_id, body) in enumerate(entries):
            thread = threading.Thread(target=write_entry, args=(entry_id, body, number))
            threads.append(thread)
            thread.start()
    time.sleep(max(0.0, FAULT_AT_S - record.now()))
    fleet.put_config(make_config(9, PLAIN_ROUTES, PLAIN_SERVICES), timeout_s=4.0)
    fault_at = record.now()
    names = [*fleet.replicas, *fleet.routers]
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    for name in names:
        fleet.processes[name].wait()
    time.sleep(DOWN_S)
    fleet.is_first_start = False
    for name in fleet.replicas:
        fleet.start(name)
    time.sleep(routers_later_s)
    for name in fleet.routers:
        fleet.start(name)
    back_at = record.now()
    measured_from = back_at + BOUNDS["recoverS"]
    while record.now() < measured_from + MEASURED_S:
        time.sleep(0.1)
    ends.set()
    for thread in threads:
        thread.join(timeout=5.0)
    for server in servers:
        server.close()
    before = [status for at, status in results if at < fault_at - 1.5]
    after = [status for at, status in results if at > measured_from]
    if not before or not after:
        raise CannotRunError("no requests were sent")
    shares = [sum(200 <= one < 300 for one in some) / len(some) for some in (before, after)]
    text = (
        f"served before the final fault: {shares[0]:.3f} of {len(before)}; sent later than"
        f" recoverS after the machines were back: {shares[1]:.3f} of {len(after)}; statuses then:"
        f" { {one: after.count(one) for one in sorted(set(after))} }"
    )
    return shares[0] >= 0.25 and shares[1] < 0.25, text
