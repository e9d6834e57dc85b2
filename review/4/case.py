"""LOST: a task whose only remaining executor is in the reserve for urgent work
never runs, in an idle pool."""
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import TROUBLE, CouldNotRun, main  # noqa: E402

JOB = "d94b36f85c0e7a21"
FINISH_S = 14
WORK_S = 5.0


def labels(number):
    """Eight executors in two racks; one of each rack is of kind b."""
    return ("b" if number in (0, 4) else "a"), f"r{number // 4}"


def case(make):
    world = make(executors=8, labels=labels, work=lambda task: WORK_S)
    step = {"count": 1, "cpu": 1000, "memoryLimitMb": 1024, "gpu": 1,
            "estimatedMs": 5000, "requirements": "b"}
    time.sleep(2)
    if not world.wait(world.owner, 10) or not world.submit(
            world.nodes[0], JOB, [step]):
        raise CouldNotRun("the job was not accepted")
    if not world.wait(lambda: world.starts, 10):
        raise CouldNotRun("the task did not start")
    time.sleep(2)
    holder = next(e for e in world.executors if e.name == world.starts[0][3])
    if TROUBLE:
        holder.crash()
    # The traffic has ended. finish_s later, the job has nothing running for
    # 3 s though there is capacity for it and the pool is idle.
    time.sleep(FINISH_S)
    idle = 0.0
    state = None
    end = time.monotonic() + 30
    last = time.monotonic()
    while time.monotonic() < end:
        status, body = world.call(world.nodes[1], "GET", JOB)
        state = json.loads(body).get("state") if status == 200 else status
        with world.lock:
            running = any(world.running.values())
        now = time.monotonic()
        idle = 0.0 if running else idle + now - last
        last = now
        if state == "completed":
            return None
        time.sleep(0.5)
    free = [e.name for e in world.executors
            if e.alive and "b" in e.labels and not e.runs]
    world.record.write(f"state {state}, nothing runs for {idle:.1f} s; idle "
                       f"executors that have the label: {free}")
    if idle > 3 and free:
        return (f"LOST: {FINISH_S} s after the end of the traffic the accepted "
                f"job is shown as {state} and has nothing running for "
                f"{idle:.1f} s, while {free}, which has the label, is idle and "
                f"nothing else runs")
    return None


main(FOLDER, case)
