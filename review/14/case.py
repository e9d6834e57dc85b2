"""A job runs on after its cancelling was acknowledged."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from standins import TROUBLE, Executor, main  # noqa: E402

JOB = "00000000000000dd"
# cancel_ms, stopTimeoutMs, and contactTimeoutMs, so that no disruption is near.
BOUND_S = 3.0 + 0.4 + 3.0


def case(deployment):
    record = deployment.record
    for n in range(8):
        Executor(deployment.store, record, f"i-{n:08x}", f"z{n % 3 + 1}",
                 f"r{n // 8}", work_s=10.0)
    deployment.start()
    cut, other = [d for d in deployment.daemons
                  if d.name != deployment.owner()][:2]
    if TROUBLE:
        record.write(f"network: {cut.name} is cut from the store for 1 s")
        cut.store_path.cut()
        threading.Timer(1.0, cut.store_path.heal).start()
    time.sleep(0.1)
    # The client leaves before its deadline and cancels.
    deployment.call("POST", f"/urgent/{JOB}", {
        "specification": "cancelled", "steps": [
            {"count": 1, "cpu": 1000, "memoryLimitMb": 512, "gpu": 1,
             "estimatedMs": 10000}]}, cut, patience_s=0.5)
    end = time.monotonic() + 4
    status = 0
    while status not in (200, 410) and time.monotonic() < end:
        status, _ = deployment.call("DELETE", f"/urgent/{JOB}", daemon=other)
    acknowledged_at = time.monotonic()
    if status not in (200, 410):
        return None
    record.write(f"the cancelling is acknowledged with {status}")
    broken = None
    while time.monotonic() < acknowledged_at + 12:
        time.sleep(0.1)
        since = time.monotonic() - acknowledged_at
        with Executor.lock:
            runs = [f"{t} run {n} on {e.name}" for e in Executor.everyone
                    for t, n in e.runs]
        if runs and since > BOUND_S and not broken:
            broken = (f"UNASKED: {runs[0]} works {since:.1f} s after the "
                      f"cancelling of its job was acknowledged ({status})")
            record.write(broken)
    deployment.call("GET", f"/urgent/{JOB}", daemon=other)
    return broken


main(__file__, case)
