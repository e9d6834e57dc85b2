"""A job is shown as failed that no executor has ever started."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from standins import TROUBLE, Executor, main  # noqa: E402

JOB = "00000000000000aa"


def case(deployment):
    starts = []
    Executor.on_start = lambda e, task, run, body: starts.append((task, e.name))
    # Three of 20 executors crash, 15%. Kind b: those three and two others.
    executors = [Executor(deployment.store, deployment.record, f"i-{n:02}",
                          f"z{n % 3 + 1}", f"r{n // 8}",
                          "b" if n < 5 else "a") for n in range(20)]
    deployment.start()
    record = deployment.record

    def crash_and_replace(executor, number):
        executor.crash()
        time.sleep(2.0)
        # The next executor at this address.
        deployment.store.put(f"servers/{executor.name}", None)
        executor.begin_life(f"i-n{number}")

    if TROUBLE:
        for number in range(3):
            threading.Timer(1.5 * number, crash_and_replace,
                            (executors[number], number)).start()
    time.sleep(0.4)
    accepted = deployment.submit(f"/urgent/{JOB}", {
        "specification": "innocent", "steps": [
            {"count": 1, "cpu": 1000, "memoryLimitMb": 512, "gpu": 2,
             "estimatedMs": 2000, "requirements": "b"}]})
    if accepted != 200:
        return None
    end = time.monotonic() + 30
    shown = ""
    while time.monotonic() < end and shown not in ("completed", "failed"):
        time.sleep(0.3)
        now = deployment.state(f"/urgent/{JOB}")
        if now != shown:
            record.write(f"client: the job is shown as {now}")
        shown = now
    record.write(f"starts of the job's task on executors: {starts}")
    free = [e.name for e in executors if e.alive and e.kind == "b"
            and not e.runs]
    record.write(f"idle executors of kind b: {free}")
    if shown == "failed":
        return (f"LOST: job {JOB} was accepted and is shown as failed; it was "
                f"started {len(starts)} times, no run ended failed, and no "
                f"executor crashed while it ran")
    if shown != "completed":
        return f"LOST: job {JOB} is shown as {shown} after 30 s"
    return None


main(__file__, case)
