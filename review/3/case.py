"""LOST: after a takeover, the tasks of an executor that is gone wait 16 s."""
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import BOUNDS, TROUBLE, CouldNotRun, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"


def case(make):
    world = make(executors=8)
    step = {"count": 1, "cpu": 4000, "memoryLimitMb": 1024, "gpu": 1,
            "estimatedMs": 5000, "longRunning": True}
    time.sleep(1)
    if not world.wait(world.owner, 10) or not world.submit(
            world.nodes[0], JOB, [step]):
        raise CouldNotRun("the job was not accepted")
    if not world.wait(lambda: world.starts, 10):
        raise CouldNotRun("the task did not start")
    time.sleep(2)
    holder = next(e for e in world.executors if e.name == world.starts[0][3])
    if TROUBLE:
        holder.crash()
        time.sleep(0.75)
        owner = world.owner()
        owner.signal(signal.SIGKILL)
        owner.process.wait()
        time.sleep(0.5)
        owner.start()
    calm_from = world.record.now() + BOUNDS["contactTimeoutMs"] / 1000
    lost_at = world.endings[0][0] if world.endings else None
    world.wait(lambda: len(world.starts) > 1, 30 if TROUBLE else 10)
    again = world.starts[1][0] if len(world.starts) > 1 else None
    world.record.write(f"last run ended at {lost_at}, calm from "
                       f"{calm_from:.3f}, next start at {again}")
    if lost_at is None:
        return None
    # For 3 s, with the 4 s before them calm, from 6 s after the last run.
    begins = max(lost_at + 6, calm_from + 4)
    until = again if again is not None else world.record.now()
    if until >= begins + 3:
        return (f"LOST: the task that lasts has no run from {lost_at:.1f} s to "
                f"{until:.1f} s, {until - begins:.1f} s of it calm and later "
                f"than 6 s after its last run, with seven idle executors")
    return None


main(FOLDER, case)
