"""The thin resource API: create only, until the whole one is here."""

import time

import msgspec
from bottle import Bottle, HTTPResponse, request

from chivetrack.components.caller_api.errors import make_error_response
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.store.commands import Create, Stamp
from chivetrack.components.store.outcomes import Refused
from chivetrack.daemon.submissions import Submissions
from chivetrack.helpers.codec import pack, unpack


def build_thin_resources(submissions: Submissions) -> Bottle:
    """Return the application."""
    app = Bottle()

    def create(kind: str) -> HTTPResponse:
        document = msgspec.json.decode(request.body.read())
        spec = KINDS[kind].spec.model_validate(document["spec"])
        command = Create(
            stamp=Stamp(time_ms=time.time_ns() // 1_000_000),
            kind=kind,
            name=document["metadata"]["name"],
            spec=msgspec.msgpack.encode(spec.model_dump(mode="json", exclude_defaults=True)),
        )
        result = submissions.submit(pack(command), timeout_s=5.0)
        if result.is_error():
            return make_error_response(result.error)
        status = 409 if isinstance(unpack(result.ok), Refused) else 201
        return HTTPResponse(body=b"{}", status=status)

    app.route("/api/v1/<kind>", "POST", create)
    return app
