"""A wave is said to be completed, and a machine that was added to it waits."""
import base64
import json
import pathlib
import re
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from standins import TROUBLE, Executor, Server, main  # noqa: E402

UPKEEP_S = 2.0


class Cloud:
    """The platform's interface to machines: a machine for each executor."""

    def __init__(self):
        self.lock = threading.Lock()
        self.machines = {}

    def connect(self, deployment, executors):
        self.store, self.record = deployment.store, deployment.record
        # At the address that each daemon has in its settings.
        for daemon in deployment.daemons:
            address = re.search(r'host-control="127.0.0.1:(\d+)"',
                                daemon.settings.read_text())
            server = Server(self.answer)
            server.stop()
            server.port = int(address.group(1))
            server.start()
        for number, executor in enumerate(executors):
            self.machines[f"m-{number}"] = {
                "executor": executor, "state": "up", "token": 0, "done": []}

    def answer(self, verb, path, query, headers, body):
        with self.lock:
            if path == "/machines":
                return 200, {"machines": [
                    {"machine": name, "pool": "service", "state": m["state"],
                     "zone": m["executor"].zone,
                     "labels": [m["executor"].kind, m["executor"].rack],
                     "capacity": {"cpu": m["executor"].cpu, "gpu": 8,
                                  "memoryLimitMb": 131072},
                     "identifier": m["executor"].name}
                    for name, m in self.machines.items()],
                    "nextPageToken": None}
            if path != "/machine-upkeep":
                return 404, {}
            reply = self.upkeep(int(headers["fencing-token"]), body)
            self.record.write(f"platform: {headers['duty-holder']} orders "
                              f"upkeep {body} -> {reply}")
            return reply

    def upkeep(self, token, body):
        machine, wave = self.machines.get(body["machine"]), body["wave"]
        if machine is None:
            return 400, {}
        if token < machine["token"]:
            return 409, {"reason": "fence"}
        machine["token"] = token
        if wave in machine["done"]:
            return 200, {}
        item = self.store.items.get(f"op/wave/{wave}")
        if not item or body["machine"] not in json.loads(
                base64.b64decode(item["value"]))["machines"]:
            return 409, {"reason": "wave"}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        machine["state"] = "upkeep"
        machine["done"].append(wave)
        threading.Thread(target=self.restart, args=(machine,),
                         daemon=True).start()
        return 200, {}

    def restart(self, machine):
        executor = machine["executor"]
        executor.crash()
        self.store.put(f"servers/{executor.name}", None)
        time.sleep(UPKEEP_S)
        executor.begin_life(executor.name + "x")
        machine["state"] = "up"


CLOUD = Cloud()


def case(deployment):
    record, store = deployment.record, deployment.store
    executors = [Executor(store, record, f"i-{n:08x}", f"z{n % 3 + 1}",
                          f"r{n // 8}") for n in range(8)]
    CLOUD.connect(deployment, executors)
    deployment.start()

    def ask(wave, machines):
        value = {"wave": wave, "machines": machines, "durationS": 20, "cap": 1}
        record.write(f"operator: puts op/wave/{wave}: {value}")
        store.put(f"op/wave/{wave}", value)

    def said(wave):
        item = store.items.get(f"status/wave/{wave}")
        return json.loads(base64.b64decode(item["value"]))[
            "state"] if item else "nothing"

    ask(1, ["m-0", "m-1"])
    end = time.monotonic() + 25
    while said(1) != "completed" and time.monotonic() < end:
        time.sleep(0.2)
    record.write(f"status/wave/1: {said(1)}")
    if said(1) != "completed":
        return None
    time.sleep(2)
    wave = 1 if TROUBLE else 2
    ask(wave, ["m-0", "m-1", "m-2"] if TROUBLE else ["m-2"])
    # Its durationS, and half as much again.
    end = time.monotonic() + 30
    while time.monotonic() < end and wave not in CLOUD.machines["m-2"]["done"]:
        time.sleep(0.2)
    state, begun = said(wave), wave in CLOUD.machines["m-2"]["done"]
    record.write(f"status/wave/{wave}: {state}; m-2 has begun: {begun}")
    if state == "completed" and not begun:
        return (f"MIXED: wave {wave} is said to be completed, and m-2, which "
                f"is one of its machines and up, hasn't begun its upkeep 30 s "
                f"after the operator asked for it within 20 s")
    return None


main(__file__, case)
