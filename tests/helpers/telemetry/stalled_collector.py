"""Test program: requests while the collector accepts connections but never answers.

It runs in its own process, since it patches the standard library for gevent. It prints
``survived`` if all requests and the close finished although no export was answered.
"""

import gevent.monkey

gevent.monkey.patch_all()

import gc  # noqa: E402
import socket  # noqa: E402
import threading  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402
from opentelemetry.sdk.trace import ReadableSpan  # noqa: E402

from chivetrack.helpers.telemetry import const, open_telemetry  # noqa: E402

REQUESTS = 4 * const.MAX_QUEUED_SPANS
HANG_TIMEOUT_S = 20.0


def accept_without_answer(listener: socket.socket, open_connections: list[socket.socket]) -> None:
    """Accept connections, keep them open and never answer."""
    while True:
        connection, _ = listener.accept()
        open_connections.append(connection)


def main() -> None:
    """Record many sampled requests while the collector is stalled."""
    listener = socket.create_server(("127.0.0.1", 0))
    open_connections: list[socket.socket] = []
    threading.Thread(
        target=accept_without_answer, args=(listener, open_connections), daemon=True
    ).start()
    endpoint = f"http://127.0.0.1:{listener.getsockname()[1]}"
    with (
        gevent.Timeout(HANG_TIMEOUT_S),
        mock.patch.object(const, "EXPORT_TIMEOUT_S", 10 * HANG_TIMEOUT_S),
        mock.patch.object(const, "SPAN_EXPORT_INTERVAL_S", 0.001),
        mock.patch.object(const, "METRIC_EXPORT_INTERVAL_S", 0.001),
        open_telemetry(
            instance_id="r1", otlp_endpoint=endpoint, sample_ratio=1.0, close_within_s=0.1
        ) as telemetry,
    ):
        while len(open_connections) < 2:
            telemetry.instruments.record_retry(reason="connect")
            with telemetry.tracer.open_hop("before"):
                gevent.sleep(0.001)
        for _ in range(REQUESTS):
            with telemetry.tracer.open_hop("request"):
                telemetry.instruments.record_chunks(service="chat", count=1)
        text = telemetry.render_metrics().decode()
        span_count = sum(isinstance(item, ReadableSpan) for item in gc.get_objects())
    assert span_count <= const.MAX_QUEUED_SPANS + const.MAX_SPANS_PER_EXPORT, span_count
    assert f'chivetrack_chunks_total{{service="chat"}} {REQUESTS}' in text, text
    print("survived")


if __name__ == "__main__":
    main()
