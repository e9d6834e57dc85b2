"""UNASKED: tasks of a cancelled job are adopted by the next owner."""
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import BOUNDS, TROUBLE, CouldNotRun, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
CUT_S = 5.0


def case(make):
    world = make(executors=6)
    step = {"count": 2, "cpu": 4000, "memoryLimitMb": 1024, "gpu": 4,
            "estimatedMs": 5000, "longRunning": True, "antiAffinity": 1}
    if not world.wait(world.owner, 10) or not world.submit(
            world.nodes[0], JOB, [step]):
        raise CouldNotRun("the job was not accepted")
    if not world.wait(lambda: len(world.starts) >= 2, 10):
        raise CouldNotRun("the tasks did not start")
    time.sleep(2)
    holder = world.starts[0][3]
    executor = next(e for e in world.executors if e.name == holder)
    if TROUBLE:
        world.record.write(f"{holder} is cut off from all machines")
        executor.cut.set(True)
    cut_at = time.monotonic()
    time.sleep(1)
    if world.call(world.nodes[0], "DELETE", JOB)[0] not in (200, 410):
        raise CouldNotRun("the cancel was not acknowledged")
    time.sleep(1)
    if TROUBLE:
        owner = world.owner()
        owner.signal(signal.SIGTERM)
        world.wait(lambda: not owner.alive(), BOUNDS["gracePeriodS"] + 1)
        if owner.alive():
            owner.process.kill()
        owner.process.wait()
        time.sleep(1)
        owner.start()
    time.sleep(max(0, cut_at + CUT_S - time.monotonic()))
    if TROUBLE:
        executor.cut.set(False)
        world.record.write(f"{holder} is reached again")
    # The last disruption has ended. Machines are in touch contactTimeoutMs
    # later; the tasks have to be gone after cancel_ms + stopTimeoutMs more.
    time.sleep((BOUNDS["contactTimeoutMs"] + BOUNDS["cancel_ms"] +
                BOUNDS["stopTimeoutMs"]) / 1000 + 1)
    with world.lock:
        left = {t: list(r) for t, r in world.running.items() if r}
    world.call(world.nodes[0], "GET", JOB)
    time.sleep(10)
    with world.lock:
        later = {t: list(r) for t, r in world.running.items() if r}
    world.record.write(f"at work at the end of the calm stretch: {left}; "
                       f"10 s later: {later}")
    if left:
        return (f"UNASKED: tasks of the cancelled job run on: {left}; "
                f"10 s later: {later}")
    return None


main(FOLDER, case)
