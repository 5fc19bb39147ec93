"""The demonstration: sends requests through a local fleet and prints where each was placed."""

import json
import time
from dataclasses import dataclass
from typing import Annotated, Any

import typer

from chivetrack.components.resources.keys import hash_key
from standins.fleet import RESOURCE_PORT, ZONES, Fleet, FleetError, Member, open_fleet

CALLER_KEY = "ck_caller-key-of-the-local-fleet-not-for-real-"
WORKSPACE = "hakata"
MODEL = "appraiser"
ENGINE_SERVICE = "valuation"
PLAIN_SERVICE = "claims"
CHAT_PATH = "/v1/chat/completions"
ROUTED_TIMEOUT_S = 15.0
POLL_S = 0.05
# Time between two requests of a chat, as from a human user. It is longer than the delay with
# which routers learn of each other's load counts.
CHAT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def text(self) -> str:
        """Return the content of a chat answer, whether or not it was streamed."""
        if not self.headers.get("content-type", "").startswith("text/event-stream"):
            return str(json.loads(self.body)["choices"][0]["message"]["content"])
        lines = [line[6:] for line in self.body.decode().splitlines() if line.startswith("data: ")]
        events = [json.loads(line) for line in lines if line != "[DONE]"]
        return "".join(event["choices"][0]["delta"]["content"] for event in events)

    @property
    def served_by(self) -> str:
        """Return the endpoint that answered."""
        return self.headers.get("x-served-by", "")

    @property
    def cached(self) -> bool:
        """Return whether the engine had the chat's context cached."""
        return b'"cached":true' in self.body

    @property
    def error(self) -> dict[str, Any]:
        """Return the error object of a refused request."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error


def call(
    fleet: Fleet,
    member: Member,
    method: str,
    path: str,
    value: Any = None,
    *,
    key: str = CALLER_KEY,
    **headers: str,
) -> Reply:
    """Send a request as a caller; underscores in header names stand for dashes."""
    given = {name.replace("_", "-"): text for name, text in headers.items()}
    given["Authorization"] = f"Bearer {key}"
    body = None if value is None else json.dumps(value)
    response = fleet.request(method, member, path, body=body, headers=given)
    received = {name.lower(): text for name, text in response.headers.items()}
    return Reply(status=response.status, headers=received, body=response.data)


def chat(
    fleet: Fleet,
    member: Member,
    text: str,
    *,
    stream: bool = True,
    chat_id: str = "",
    **headers: str,
) -> Reply:
    """Send a chat request."""
    messages = [{"role": "user", "content": text}]
    value = {"model": MODEL, "messages": messages, "stream": stream}
    if chat_id:
        headers["X_Chat_Id"] = chat_id
    return call(fleet, member, "POST", CHAT_PATH, value, **headers)


def make_workspace() -> dict[str, Any]:
    """Return the workspace of the demonstration."""
    return {
        "kind": "workspace",
        "metadata": {"name": WORKSPACE},
        "spec": {
            "keys": [hash_key(CALLER_KEY)],
            "services": [ENGINE_SERVICE, PLAIN_SERVICE],
            "models": [MODEL],
        },
    }


def apply_workspace(fleet: Fleet) -> None:
    """Create the workspace through the resource API, retrying until a leader accepts it."""
    deadline = time.monotonic() + ROUTED_TIMEOUT_S
    member = fleet.members[fleet.plans[0].name]
    while time.monotonic() < deadline:
        response = fleet.manage("POST", member, "/api/v1/workspace", make_workspace())
        if response.status in (200, 201, 409):
            return
        time.sleep(POLL_S)
    raise FleetError(f"the workspace was not accepted: {response.status} {response.data!r}")


def wait_routed(fleet: Fleet, *, engines: int = 1) -> None:
    """Wait until every router answers a chat with status 200."""
    deadline = time.monotonic() + ROUTED_TIMEOUT_S
    for plan in fleet.plans:
        member = fleet.members[plan.name]
        while (reply := chat(fleet, member, "warm up")).status != 200:
            if time.monotonic() > deadline:
                raise FleetError(f"{plan.name} does not serve: {reply.body!r}\n{member.read_log()}")
            time.sleep(POLL_S)


def find_reason(fleet: Fleet, member: Member, reply: Reply) -> str:
    """Return the reason that the router gives for the placement of a request."""
    request_id = reply.headers.get("x-request-id", "")
    response = fleet.manage("GET", member, f"/api/v1/explain/request/{request_id}")
    return str(response.json()["placement"]["reason"]) if response.status == 200 else ""


def show(title: str, reply: Reply, reason: str = "") -> None:
    """Print one line with an answer and the reason for its placement."""
    if reply.status != 200:
        print(f"{title:<30} {reply.status} {reply.error['code']}, ran: {reply.error['ran']}")
        return
    cached = "context reused" if reply.cached else "new context"
    print(f"{title:<30} {reply.status} from {reply.served_by:<9} {cached:<15} {reason}")


def send_chats(fleet: Fleet) -> bool:
    """Send each chat through every router; return whether one engine served all its requests."""
    same = True
    for chat_id in ("dossier-1", "dossier-2", "dossier-3"):
        served: set[str] = set()
        for plan in fleet.plans:
            member = fleet.members[plan.name]
            reply = chat(fleet, member, "appraise this", chat_id=chat_id)
            show(f"{chat_id} via {plan.name}", reply, find_reason(fleet, member, reply))
            time.sleep(CHAT_INTERVAL_S)
            served.add(reply.served_by)
        same = same and len(served) == 1
    return same


def send_refusals(fleet: Fleet) -> None:
    """Send invalid requests and print how they are refused."""
    member = fleet.members[fleet.plans[0].name]
    show("wrong key", call(fleet, member, "POST", CHAT_PATH, {}, key="wrong"))
    show("unknown workspace", chat(fleet, member, "x", X_Workspace="nobody"))
    show("deadline already past", chat(fleet, member, "x", X_Request_Timeout_Ms="0"))
    show("malformed body", call(fleet, member, "POST", CHAT_PATH, {"model": 3}))
    show("unknown path", call(fleet, member, "GET", "/nothing/here"))


def send_plain(fleet: Fleet) -> None:
    """Send a call with one idempotency key to the plain service twice."""
    first, second = (fleet.members[plan.name] for plan in fleet.plans[:2])
    path = f"/services/{PLAIN_SERVICE}/quotes"
    for title, member in (("quote", first), ("the same quote again", second)):
        reply = call(fleet, member, "POST", path, {"item": "vase"}, Idempotency_Key="quote-1")
        run = json.loads(reply.body).get("run")
        print(f"{title + ' via ' + member.name:<30} {reply.status} run number {run}")


def explain(fleet: Fleet, request_id: str) -> None:
    """Print the explanation of a request's placement."""
    member = fleet.members[fleet.plans[0].name]
    response = fleet.manage("GET", member, f"/api/v1/explain/request/{request_id}")
    if response.status == 200:
        print(json.dumps(response.json(), indent=2))


def run(*, keep: bool, instances: int) -> int:
    """Run the demonstration.

    Returns 0 if every chat stayed at its engine and every process exited with 0.
    """
    with open_fleet() as fleet:
        fleet.plan_instances(instances)
        fleet.start_instances()
        for number, zone in enumerate(ZONES[:2], start=1):
            fleet.start_endpoint(f"engine-{number}", "--model", MODEL, zone=zone)
        fleet.start_endpoint("claims-1", "--kind", "service", "--service", PLAIN_SERVICE)
        apply_workspace(fleet)
        wait_routed(fleet)
        time.sleep(1.0)
        same = send_chats(fleet)
        send_plain(fleet)
        send_refusals(fleet)
        last = chat(fleet, fleet.members[fleet.plans[0].name], "why here?", chat_id="dossier-1")
        explain(fleet, last.headers.get("x-request-id", ""))
        if keep:
            _keep(fleet)
        codes = fleet.stop()
    print(f"exit codes: {codes}")
    clean = all(code == 0 for code in codes.values())
    print("every chat came back to its engine" if same else "a chat moved between engines")
    return 0 if clean and same else 1


def _keep(fleet: Fleet) -> None:
    plan = fleet.plans[0]
    print(f"callers:   http://{fleet.members[plan.name].address} with key {CALLER_KEY}")
    print(f"operators: http://{plan.host}:{RESOURCE_PORT} with key {fleet.operator_key}")
    print("Press Ctrl-C to stop.")
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print()


def main(
    keep: Annotated[bool, typer.Option(help="Keep the fleet running until Ctrl-C.")] = False,
    instances: Annotated[int, typer.Option(help="Instances to start, 3 or more.")] = 3,
) -> None:
    """Start a local fleet, send requests through it and stop it."""
    raise typer.Exit(run(keep=keep, instances=instances))


if __name__ == "__main__":
    typer.run(main)
