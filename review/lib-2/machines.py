"""Stand-in for the platform's interface to the machines of executors.

One executor lives on each machine. An upkeep ends it and all that it runs; a
new executor joins after MAINTENANCE_S. Fences are checked for each machine.
"""
import json
import random
import threading
import time

from executor_standin import Executor
from store_standin import JsonHandler, serve

MAINTENANCE_S = 2.0


class Machine:
    def __init__(self, cloud, number):
        self.cloud, self.name = cloud, f"m{number:02d}"
        self.zone, self.rack = f"z{number % 3}", f"r{number // 4}"
        self.state, self.token, self.done = "up", 0, set()
        self.wave = None
        self.join()

    def join(self):
        self.executor = Executor(self.cloud.rig.pool,
                                 f"x{random.getrandbits(40):010x}",
                                 self.zone, self.rack)
        self.executor.publish()
        self.state, self.wave = "up", None

    def row(self):
        return {"machine": self.name, "pool": "service", "state": self.state,
                "zone": self.zone, "labels": ["a", self.rack],
                "capacity": {"cpu": 32000, "memoryLimitMb": 131072, "gpu": 8},
                "identifier": self.executor.name}


class Machines:
    def __init__(self, rig, count):
        self.rig, self.lock = rig, threading.RLock()
        self.caps, self.over_cap = {}, []
        # Delay of the next upkeep call, which gets no answer; None: no delay.
        self.late_s, self.late_holder = None, None
        self.machines = {}
        for number in range(count):
            machine = Machine(self, number)
            self.machines[machine.name] = machine
        cloud = self

        class Handler(JsonHandler):
            def answer(self, verb, path, query, body):
                with cloud.lock:
                    if path == "/machines":
                        return 200, {"machines": [m.row() for m in
                                                  cloud.machines.values()]}
                    if path != "/machine-upkeep":
                        return 404, {}
                    order = (body, self.headers.get("Duty-Holder"),
                             int(self.headers["Fencing-Token"]))
                    if cloud.late_s is None:
                        return cloud.upkeep(*order)
                    delay, cloud.late_s = cloud.late_s, None
                cloud.rig.note(f"machines: upkeep of {body['machine']} by "
                               f"{order[1]} with token {order[2]}: no answer, "
                               f"carried out {delay} s later")
                cloud.late_holder = order[1]
                threading.Timer(delay, cloud.upkeep_late, order).start()
                time.sleep(5.0)
                return 503, {}

        _, self.port = serve(Handler)

    def upkeep_late(self, *order):
        with self.lock:
            status, _ = self.upkeep(*order)
            self.rig.note(f"machines: the late order is carried out: {status}")

    def upkeep(self, body, holder, token):
        machine, wave = self.machines.get(body["machine"]), body["wave"]
        if machine is None:
            return 400, {}
        if token < machine.token:
            self.rig.note(f"machines: upkeep of {machine.name} by {holder} "
                          f"with token {token}: fence")
            return 409, {"reason": "fence"}
        machine.token = token
        if wave in machine.done and machine.wave is None:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        down = [m.name for m in self.machines.values() if m.wave == wave]
        running = sorted(task for task, _ in machine.executor.runs)
        self.rig.note(f"machines: upkeep of {machine.name} for wave {wave} by "
                      f"{holder} with token {token} begins; down for theirs: "
                      f"{down}; ends {running}")
        if len(down) >= self.caps[wave]:
            self.over_cap.append((machine.name, holder, down))
        machine.state, machine.wave = "upkeep", wave
        machine.done.add(wave)
        machine.executor.crash()
        machine.executor.publish(listed=False)
        threading.Timer(MAINTENANCE_S, self.back, (machine,)).start()
        return 200, {}

    def back(self, machine):
        with self.lock:
            machine.join()
            self.rig.note(f"machines: {machine.name} is back as "
                          f"{machine.executor.name}")

    def ask(self, wave, cap, duration_s):
        self.caps[wave] = cap
        self.rig.store.put(f"op/wave/{wave}", json.dumps(
            {"wave": wave, "machines": sorted(self.machines),
             "durationS": duration_s, "cap": cap}))
        self.rig.note(f"operator: wave {wave} over {sorted(self.machines)}, "
                      f"cap {cap}, in {duration_s} s")
