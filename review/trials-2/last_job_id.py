"""A trial, not a case: a job with the highest id, on a queue with advice, ends
the owner's process when the job's record is removed.

It shortens the time for which ended jobs are kept (120 s on the users'
deployments) to 6 s. Run as python3 review/trials-2/last_job_id.py.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import Broken, run  # noqa: E402
from store_standin import JsonHandler, serve  # noqa: E402

IDS = {"0000000000000001": 30.0, "ffffffffffffffff": 1.0}


class Adviser(JsonHandler):
    def answer(self, verb, path, query, body):
        return 200, {"allowed": [[worker, "t"] for worker in body["workers"]],
                     "validityMs": 60000}


def play(rig):
    _, port = serve(Adviser)
    rig.adviser, rig.keep_final_s = f"127.0.0.1:{port}", 6
    rig.add_executors(4)
    rig.publish(["key-a"], advice={"decisionMs": 10, "perWorkerMs": 1,
                                   "validityMs": 60000})
    rig.add_daemons(2)
    rig.wait("a daemon owns the pool", 10.0, rig.owner)
    time.sleep(1.0)
    for job, seconds in IDS.items():
        rig.work[job] = (seconds, 0, 1)
        status, _ = rig.daemons[0].call("POST", f"/urgent/{job}", {
            "specification": "work", "steps": [
                {"count": 1, "cpu": 1000, "memoryLimitMb": 100, "gpu": 1,
                 "estimatedMs": 1000}]})
        rig.note(f"client: POST /urgent/{job}: {status}")
    time.sleep(18.0)
    for daemon in rig.daemons:
        if daemon.process.poll() is not None:
            raise Broken(f"{daemon.name} has ended by itself with "
                         f"{daemon.process.returncode}")


run(__file__, play)
