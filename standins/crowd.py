"""Runs many endpoints that only announce themselves in one process."""

import signal
import time
from typing import Annotated

import gevent
import typer

from standins.announcer import Announcer
from standins.models import EndpointIdentity

ANNOUNCE_INTERVAL_S = 3.0
LEASE_S = 10.0
ZONES = ("fukuoka-hall", "kumamoto-hall", "kitakyushu-hall")


def make_announcer(number: int, targets: list[str]) -> Announcer:
    """Return the announcer of one endpoint that accepts no connections."""
    identity = EndpointIdentity(
        endpoint_id=f"crowd-{number}",
        incarnation=time.time_ns() // 1_000_000,
        kind="engine",
        service=f"service-{number % 9}",
        region="kyushu",
        zone=ZONES[number % len(ZONES)],
        capacity=16,
        models=[f"model-{number % 9}"],
    )

    def make_announcement(state: str) -> dict:
        address = f"127.0.0.1:{20000 + number % 10000}"
        return identity.make_announcement(address=address, state=state, lease_s=LEASE_S)

    first = number % len(targets)
    rotated = targets[first:] + targets[:first]
    return Announcer(
        targets=rotated, make_announcement=make_announcement, interval_s=ANNOUNCE_INTERVAL_S
    )


def main(
    count: Annotated[int, typer.Option(help="Endpoints.")],
    announce_to: Annotated[list[str], typer.Option("--announce-to", help="http://host:port")],
) -> None:
    """Announce many endpoints until SIGTERM."""
    loops = []
    for number in range(count):
        announcer = make_announcer(number, announce_to)
        delay_s = ANNOUNCE_INTERVAL_S * number / count
        loops.append(gevent.spawn_later(delay_s, announcer.run))
    gevent.signal_handler(signal.SIGTERM, gevent.killall, loops, block=False)
    print("ready crowd", flush=True)
    gevent.joinall(loops)
