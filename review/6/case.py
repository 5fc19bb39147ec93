"""Two disks are lost just after a core machine was replaced; see claim.txt."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stage_2 import BOUNDS, Fleet, Record, make_config, make_route, open_fleet, run_case, wait_for

ROUTES = [make_route("quotes", "/quotes/", "portal")]


def read_back(fleet: Fleet, record: Record, ends_at: float) -> int:
    """Read the desired state until it comes, as the operator does at the end of a day."""
    while record.now() < ends_at:
        version = fleet.read_config()
        if version:
            return version
        time.sleep(1.0)
    return 0


def play(record: Record, has_trouble: bool) -> bool:
    with open_fleet(record, replicas=5, routers=1) as fleet:
        fleet.start_all()
        fleet.put_config(make_config(1, ROUTES, ["portal"]))
        # Planned: the new machine comes first, at a new address and with an empty disk.
        fleet.start("c6")
        wait_for(lambda: fleet.read_config(["c6"]) == 1, "the new machine does not serve")
        time.sleep(BOUNDS["catchUpS"] + 1.0)
        began = record.now()
        fleet.stop("c5")
        fleet.names.remove("c5")
        # The successor has had its time since its start, and once more since the removal.
        time.sleep(max(0.0, began + BOUNDS["catchUpS"] + 0.3 - record.now()))
        acknowledging = fleet.put_config(make_config(2, ROUTES, ["portal"]))
        if has_trouble:
            other = next(one for one in ("c1", "c2", "c3", "c4") if one != acknowledging)
            lost = [acknowledging if acknowledging != "c6" else "c4", other]
            record.write(f"{record.now() - began:.2f} s after the removal: {lost} lose their disks")
            for name in lost:
                fleet.kill(name)
            for name in lost:
                fleet.wipe(name)
            time.sleep(1.0)
            for name in lost:
                fleet.start(name)
        # The machines are back; the bound for the recovery, and as much again.
        version = read_back(fleet, record, record.now() + 2 * BOUNDS["recoverS"])
        record.write(f"acknowledged: version 2; read back: {version or 'nothing'}")
        if has_trouble:
            for name in fleet.replicas:
                changes = [one for one in fleet.events(name) if one.get("event") == "member_change"]
                for one in changes:
                    record.write(f"log of {name}: {one['kind']} {one['replica']} {one['outcome']}")
        return version == 2


sys.exit(run_case(Path(__file__).resolve().parent / "record.txt", play))
