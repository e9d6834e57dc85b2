"""The owner is turned away by the store during a wave of upkeeps; see
claim.txt."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import Broken, TROUBLE, run  # noqa: E402
from machines import Machines  # noqa: E402

TURNED_AWAY_S = 7.0
WORK_S = 25.0


def play(rig):
    cloud = Machines(rig, 10)
    rig.host_control = f"127.0.0.1:{cloud.port}"
    rig.publish(["key-a"])
    rig.add_daemons(3)
    rig.wait("a daemon owns the pool", 10.0, rig.owner)
    time.sleep(2.0)
    cloud.ask(1, 1, 60.0)
    rig.wait("the first upkeep begins", 10.0,
             lambda: any(m.wave for m in cloud.machines.values()))
    stale = rig.owner()
    if TROUBLE:
        rig.note(f"the store gives {stale.name}, the owner, no response for "
                 f"{TURNED_AWAY_S} s")
        stale.proxy.mode = "silent"
        cut_at = time.monotonic()
        rig.wait("another daemon owns the pool", 8.0,
                 lambda: rig.owner() not in (None, stale))
        rig.note(f"the store lists {rig.owner().name} as the owner")
    other = next(d for d in rig.daemons if d is not stale)
    job = "00000000000000a1"
    rig.work[job] = (WORK_S, 0, 8)
    status, _ = other.call("POST", f"/urgent/{job}", {
        "specification": "work", "steps": [
            {"count": 3, "cpu": 32000, "memoryLimitMb": 1024, "gpu": 8,
             "estimatedMs": int(WORK_S * 1000), "requirements": "r0"}]})
    rig.note(f"client: POST /urgent/{job}, 3 tasks, at {other.name}: {status}")
    if TROUBLE:
        time.sleep(max(0.0, cut_at + TURNED_AWAY_S - time.monotonic()))
        stale.proxy.mode = "pass"
        time.sleep(3.0)
    else:
        time.sleep(TURNED_AWAY_S + 3.0)
    for name, holder, down in cloud.over_cap:
        raise Broken(f"LIMIT: an upkeep of {name}, by {holder}, began while "
                     f"{down} was down for its own; the cap is 1")


run(__file__, play)
