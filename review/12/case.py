"""A late copy of a start order runs a task beside its next run."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from standins import TROUBLE, Executor, main  # noqa: E402

JOB = "00000000000000bb"
LATE_S = 6.0  # an order without an answer is carried out 2 to 12 s later


def case(deployment):
    record = deployment.record
    broken = []
    late = []

    def keeps(executor, path, headers, body):
        if not TROUBLE or path != "/run-start" or late:
            return False
        late.append((executor, headers, body))
        record.write(f"network: keeps the start of {body['task']} run "
                     f"{body['run']} for {executor.name}; no answer")
        threading.Timer(LATE_S, deliver_late).start()
        threading.Timer(3.0, crash_and_return, (executor,)).start()
        time.sleep(1.0)
        return True

    def crash_and_return(executor):
        executor.crash()
        time.sleep(1.0)
        executor.begin_life()  # under the same identifier

    def deliver_late():
        executor, headers, body = late[0]
        record.write(f"network: delivers the start of {body['task']} run "
                     f"{body['run']} to {executor.name}, {LATE_S} s after it "
                     f"was sent")
        answer = executor.deliver("/run-start", headers, body)
        record.write(f"{executor.name}: answers {answer}")

    def on_start(executor, task, number, body):
        others = [(e.name, n) for e in Executor.everyone if e.alive
                  for t, n in e.runs
                  if t == task and (e, n) != (executor, number)]
        if others:
            broken.append(f"TWICE: run {number} of {task} on {executor.name} "
                          f"beside {others}")
            record.write(broken[-1])

    Executor.keeps, Executor.on_start = keeps, on_start
    for n in range(8):
        Executor(deployment.store, record, f"i-{n:02}", f"z{n % 3 + 1}",
                 f"r{n // 4}", work_s=8.0)
    deployment.start()
    if deployment.submit(f"/urgent/{JOB}", {
            "specification": "once", "steps": [
                {"count": 1, "cpu": 1000, "memoryLimitMb": 512, "gpu": 2,
                 "estimatedMs": 8000}]}) != 200:
        return None
    end = time.monotonic() + 30
    shown = ""
    while time.monotonic() < end and shown not in ("completed", "failed"):
        time.sleep(0.3)
        now = deployment.state(f"/urgent/{JOB}")
        if now != shown:
            record.write(f"client: the job is shown as {now}")
        shown = now
    return broken[0] if broken else None


main(__file__, case)
