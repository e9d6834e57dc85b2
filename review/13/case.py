"""One accepted job of many tasks stops all other jobs."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from standins import KEY, TROUBLE, Executor, main  # noqa: E402

LARGE = "00000000000000cc"
TASKS = 30000 if TROUBLE else 300
WORK_S = 15.0


def case(deployment):
    record = deployment.record
    Executor.saves = lambda task: task.startswith(LARGE)
    executors = [Executor(deployment.store, record, f"i-{n:010x}",
                          f"z{n % 3 + 1}", f"r{n // 8}", work_s=WORK_S)
                 for n in range(8)]
    deployment.start()
    if deployment.submit(f"/batch/{LARGE}", job(TASKS, 0, WORK_S)) != 200:
        return None
    end = time.monotonic() + 20
    while (running := sum(len(e.runs) for e in executors)) < TASKS and (
            time.monotonic() < end):
        time.sleep(0.5)
    record.write(f"runs on executors: {running}")
    time.sleep(WORK_S)
    for executor in executors:
        executor.work_s = 1.0
    others = {}
    for number in range(1, 9):
        path = f"/urgent/{0xc0 + number:016x}"
        if deployment.submit(path, job(1, 2, 1.0), KEY + "-b") == 200:
            others[path] = "queued"
        time.sleep(0.3)
    end = time.monotonic() + 25
    while time.monotonic() < end and any(
            s != "completed" for s in others.values()):
        time.sleep(1)
        for path in others:
            others[path] = deployment.state(path, KEY + "-b")
    record.write(f"jobs of the other tenant: {others}")
    record.write(f"values that the store refused: "
                 f"{deployment.store.refused_values}")
    record.write(f"runs on executors: {sum(len(e.runs) for e in executors)}")
    waiting = [p for p, s in others.items() if s != "completed"]
    if waiting:
        return (f"LOST: {len(waiting)} of {len(others)} accepted jobs of "
                f"another tenant haven't run 25 s after the last was accepted,"
                f" though the executors are idle: {others}")
    return None


def job(count, gpu, work_s):
    return {"specification": "text", "steps": [
        {"count": count, "cpu": 8, "memoryLimitMb": 10, "gpu": gpu,
         "estimatedMs": int(work_s * 1000), "checkpointing": True}]}


main(__file__, case)
