"""LIMIT: an upkeep order of a former owner takes effect beside the orders of
its successor."""
import json
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import (BOUNDS, TROUBLE, CouldNotRun, JsonHandler,  # noqa: E402
                     main, serve)

JOB = "94b36f85c0e7a21d"
WAVE, CAP = 1, 1
MAINTENANCE_S = 2.0
# A late order is carried out 2 to 12 s after it was sent.
LATE_S = 2.3
WORK_S = 6.0


class Cloud:
    """The machines' interface: keeps the highest fencing token of each machine
    and takes a machine down for MAINTENANCE_S."""

    def __init__(self, world):
        self.world, self.lock = world, threading.Lock()
        self.tokens, self.down, self.done = {}, {}, set()
        self.late = False
        self.first_order = threading.Event()
        self.broken = None

    def state(self, machine):
        return "upkeep" if self.down.get(machine, 0) > time.monotonic() else "up"

    def list(self):
        with self.lock:
            return 200, {"machines": [
                {"machine": e.machine, "pool": "slate-orders",
                 "state": self.state(e.machine), "zone": e.zone,
                 "labels": e.labels, "capacity": e.capacity,
                 "identifier": e.name} for e in self.world.executors]}

    def carry_out(self, machine, wave, holder, token):
        with self.lock:
            if token < self.tokens.get(machine, 0):
                return 409, {"reason": "fence"}
            self.tokens[machine] = token
            if (machine, wave) in self.done:
                return 200, {}
            if self.state(machine) != "up":
                return 409, {"reason": "busy"}
            down = [m for m in self.down if self.state(m) == "upkeep"]
            self.world.record.write(
                f"platform: upkeep of {machine} begins, ordered by {holder} "
                f"with token {token}; down for the wave: {down}")
            if len(down) >= CAP:
                self.broken = (f"LIMIT: the upkeep of {machine}, ordered by "
                               f"{holder}, begins while {down} are down, "
                               f"cap {CAP}")
            self.done.add((machine, wave))
            self.down[machine] = time.monotonic() + MAINTENANCE_S
        executor = next(e for e in self.world.executors
                        if e.machine == machine)
        with executor.lock:
            for key in list(executor.runs):
                executor._end(key, "lost with its machine")
        return 200, {}

    def upkeep(self, headers, body):
        holder = headers.get("Duty-Holder")
        token = int(headers.get("Fencing-Token") or 0)
        self.world.record.write(f"{holder} orders the upkeep of "
                                f"{body['machine']} with token {token}")
        first = not self.first_order.is_set()
        self.first_order.set()
        arguments = body["machine"], body["wave"], holder, token
        if first and self.late:
            threading.Timer(LATE_S, self.carry_out, arguments).start()
            time.sleep(LATE_S + 2)
            return None
        return self.carry_out(*arguments)

    def serve(self):
        cloud = self

        class Handler(JsonHandler):
            wbufsize = -1
            disable_nagle_algorithm = True

            def answer(self, verb, path, query, body):
                if path == "/machines":
                    return cloud.list()
                if path == "/machine-upkeep":
                    answer = cloud.upkeep(self.headers, body)
                    if answer is not None:
                        return answer
                    # No answer: the caller has given the call up.
                    self.close_connection = True
                return 404, {}

        return serve(Handler)[1]


def case(make):
    clouds = []

    def cloud(world):
        clouds.append(Cloud(world))
        return clouds[0].serve()

    world = make(work=lambda task: WORK_S, cloud=cloud)
    platform = clouds[0]
    platform.late = TROUBLE
    # The task keeps m-0 busy until the first order of the wave is out.
    if not world.wait(world.owner, 10) or not world.submit(
            world.nodes[0], JOB, [{"count": 1, "cpu": 4000, "gpu": 4,
                                   "memoryLimitMb": 1024, "estimatedMs": 6000,
                                   "requirements": "r2"}]):
        raise CouldNotRun("the job was not accepted")
    if not world.wait(lambda: world.starts, 10):
        raise CouldNotRun("the task did not start")
    began = time.monotonic()
    time.sleep(WORK_S - 0.8)
    world.store.put(f"op/wave/{WAVE}", json.dumps(
        {"wave": WAVE, "machines": ["m-0", "m-1"], "durationS": 30,
         "cap": CAP}))
    world.record.write("operator: a wave over m-0 and m-1, one at a time")
    if not platform.first_order.wait(8):
        raise CouldNotRun("no upkeep was ordered")
    if TROUBLE:
        owner = world.owner()
        owner.signal(signal.SIGTERM)
        world.wait(lambda: not owner.alive(), BOUNDS["gracePeriodS"] + 1)
        if owner.alive():
            owner.process.kill()
        owner.process.wait()
        time.sleep(2)
        owner.start()
    world.wait(lambda: len(platform.done) == 2, 20)
    time.sleep(1)
    if len(platform.done) < 2:
        raise CouldNotRun("the wave did not end")
    return platform.broken


main(FOLDER, case)
