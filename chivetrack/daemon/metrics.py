"""Application of the telemetry listener: metrics in the Prometheus text format."""

from bottle import Bottle, HTTPResponse

from chivetrack.helpers.telemetry import Telemetry
from chivetrack.helpers.telemetry.provider import METRICS_CONTENT_TYPE


def build_metrics_app(*, telemetry: Telemetry) -> Bottle:
    """Return the application that answers ``/metrics``."""
    app = Bottle()

    def show_metrics() -> HTTPResponse:
        headers = {"Content-Type": METRICS_CONTENT_TYPE}
        return HTTPResponse(body=telemetry.render_metrics(), status=200, headers=headers)

    app.route("/metrics", "GET", show_metrics)
    return app
