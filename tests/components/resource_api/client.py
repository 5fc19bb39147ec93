"""Calls the application without a server and checks answers against the OpenAPI document."""

import io
import json
from dataclasses import dataclass
from typing import Any

import bottle

from chivetrack.components.resource_api.openapi import make_openapi

DOCUMENT = make_openapi()
TOKEN = "operator-token-0000000000"


@dataclass(frozen=True)
class Response:
    status: int
    headers: dict[str, str]
    body: Any
    lines: Any = None

    @property
    def code(self) -> str:
        return self.body["error"]["code"]


class Client:
    """A WSGI client with an operator's token."""

    def __init__(self, app: bottle.Bottle) -> None:
        self._app = app

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        stream: bool = False,
        headers: dict[str, str] | None = None,
        token: str = TOKEN,
        documented: bool = True,
    ) -> Response:
        data = body if isinstance(body, bytes) else b"" if body is None else encode(body)
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "SERVER_NAME": "localhost",
            "SERVER_PORT": "80",
            "wsgi.url_scheme": "http",
            "wsgi.input": io.BytesIO(data),
            "wsgi.errors": io.StringIO(),
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "CONTENT_LENGTH": str(len(data)),
        }
        for name, value in (headers or {}).items():
            environ[f"HTTP_{name.upper().replace('-', '_')}"] = value
        if environ.get("HTTP_TRANSFER_ENCODING"):
            del environ["CONTENT_LENGTH"]
        started: list[Any] = []
        chunks = self._app(environ, lambda *args: started.extend(args[:2]))
        status = int(started[0].split()[0])
        if stream and status == 200:
            return Response(status, dict(started[1]), None, chunks)
        content = json.loads(b"".join(chunks))
        if documented:
            check_documented(method, path, status, content)
        return Response(status, dict(started[1]), content)


def encode(body: Any) -> bytes:
    return json.dumps(body).encode()


def check_documented(method: str, path: str, status: int, body: Any) -> None:
    """Fail unless the OpenAPI document allows this status with this body."""
    parts = path.split("/")
    if len(parts) > 4:
        parts[4] = "{name}"
    operation = DOCUMENT["paths"].get("/".join(parts), {}).get(method.lower())
    if operation is None:
        assert status >= 400 or path.endswith("openapi.json"), f"{method} {path} is undocumented"
        return
    response = operation["responses"].get(str(status))
    assert response is not None, f"{method} {path}: {status} is undocumented: {body}"
    deleted = isinstance(body, dict) and body.get("deleted")
    if not deleted:
        check_schema(response["content"]["application/json"]["schema"], body, path)


TYPES = {
    "object": dict,
    "array": list,
    "string": str,
    "integer": int,
    "number": (int, float),
    "null": type(None),
    "boolean": bool,
}


def check_schema(schema: Any, value: Any, place: str) -> None:
    """Check the parts of JSON schema that the document uses, except ``anyOf``."""
    if "$ref" in schema:
        schema = DOCUMENT["components"]["schemas"][schema["$ref"].rsplit("/", 1)[-1]]
    if "type" in schema:
        names = schema["type"] if isinstance(schema["type"], list) else [schema["type"]]
        assert any(isinstance(value, TYPES[name]) for name in names), (place, names, value)
    assert value == schema.get("const", value), (place, value)
    assert value in schema.get("enum", [value]), (place, value)
    if isinstance(value, dict):
        check_object(schema, value, place)
    if isinstance(value, list) and "items" in schema:
        for entry in value:
            check_schema(schema["items"], entry, f"{place}[]")


def check_object(schema: Any, value: Any, place: str) -> None:
    missing = [key for key in schema.get("required", ()) if key not in value]
    assert not missing, (place, missing)
    known = schema.get("properties", {})
    if schema.get("additionalProperties") is False:
        assert set(value) <= set(known), (place, set(value) - set(known))
    for key, entry in value.items():
        if key in known:
            check_schema(known[key], entry, f"{place}.{key}")
