"""TWICE: ends beyond the first 500 that an executor lists count as lost runs."""
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import TROUBLE, CouldNotRun, main  # noqa: E402

JOB = "b36f85c0e7a21d94"
TASKS = 620
CUT_S = 5.0
LISTED_ENDS = 500


def work_s(task):
    """Tasks work from 14 to 18 s; the later ones of the step are shorter."""
    return 18.0 - 4.0 * int(task.rsplit(".", 1)[1]) / TASKS


def best_cut(world, executor):
    """The start of the CUT_S in which most tasks of the executor end, and how
    many of them do."""
    ends = sorted(at + work_s(task) for at, task, _, name, _ in world.starts
                  if name == executor.name)
    earliest = world.record.now() + 0.2
    return max(((sum(at <= end < at + CUT_S - 0.3 for end in ends), at)
                for at in (max(end - 0.1, earliest) for end in ends)),
               default=(0, 0.0))


def case(make):
    world = make(executors=6, work=work_s)
    step = {"count": TASKS, "cpu": 100, "memoryLimitMb": 64,
            "estimatedMs": 16000}
    time.sleep(1)
    if not world.wait(world.owner, 10) or not world.submit(
            world.nodes[0], JOB, [step]):
        raise CouldNotRun("the job was not accepted")
    if not world.wait(lambda: len(world.starts) >= TASKS, 13):
        raise CouldNotRun(f"{len(world.starts)} tasks have started in 13 s")
    (ends, at), holder = max(
        ((best_cut(world, executor), executor)
         for executor in world.executors), key=lambda item: item[0])
    if ends <= LISTED_ENDS + 20:
        raise CouldNotRun(f"only {ends} tasks of an executor end in {CUT_S} s")
    time.sleep(max(0, at - world.record.now()))
    world.record.write(f"executor {holder.name} has {len(holder.runs)} runs")
    if TROUBLE:
        world.record.write(f"{holder.name} is cut off from all machines")
        holder.cut.set(True)
    time.sleep(CUT_S)
    if TROUBLE:
        holder.cut.set(False)
        world.record.write(f"{holder.name} is reached again")
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        status, body = world.call(world.nodes[1], "GET", JOB)
        if status == 200 and json.loads(body)["state"] == "completed":
            break
        time.sleep(1)
    time.sleep(2)
    # A start after a run has ended `done`, if that end is taken note of then
    # or later.
    with world.lock:
        done = {(t, r): at for at, t, r, e, how in world.endings
                if how == "done"}
        noted = {(t, r) for at, t, r, e, how in world.notes if how == "done"}
        again = [(t, run) for at, t, run, e, _ in world.starts
                 if any(key in noted and key[0] == t and done[key] < at
                        for key in [(t, r) for r in range(1, run)]
                        if key in done)]
    world.record.write(f"starts after an end that is taken note of: "
                       f"{len(again)}, the first: {again[:5]}")
    if again:
        return (f"TWICE: {len(again)} of {TASKS} tasks are started again after "
                f"a run that ended done and was taken note of; the first: "
                f"{again[:3]}")
    return None


main(FOLDER, case)
