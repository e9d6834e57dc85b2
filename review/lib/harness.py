"""A small deployment on loopback for the cases of the review.

Daemons run as separate processes with the command and the settings template of
deploy/system.toml. The store is the stand-in of test/soak; executors,
clients and the proxies before executors are in this file.
"""
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "soak"))
from store_standin import JsonHandler, Store, serve, serve_store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "nony24.example"
KEY = "key-a"
PREFIX = "/lohu930/"
SERVICE = "slate-orders"

# Bounds of the small deployment adeyemi-split.
BOUNDS = {"gracePeriodS": 6, "maxHoldMs": 6000, "stopTimeoutMs": 400,
          "gangTimeoutMs": 3000, "revocationMs": 5000,
          "configurationApplyMs": 2000, "status_s": 120,
          "checkpointIntervalS": 2, "restoreMs": 250,
          "contactTimeoutMs": 3000, "cancel_ms": 3000}
HEARTBEAT_S = 1.5


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(folder / "record.txt", "w")
        self.zero = time.monotonic()

    def now(self):
        return time.monotonic() - self.zero

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


class Cut:
    """A TCP proxy whose path can be cut: open connections are reset and new
    ones refused while it is cut, so that no order arrives after the cut."""

    def __init__(self, target):
        self.target, self.closed = target, False
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, closed):
        with self.lock:
            self.closed = closed
            pairs = list(self.pairs) if closed else []
        for pair in pairs:
            self._drop(pair)

    def _drop(self, ends):
        with self.lock:
            self.pairs.discard(ends)
        for end in ends:
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            try:
                end.close()
            except OSError:
                pass

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.closed:
                self._drop((client,))
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                self._drop((client,))
                continue
            for end in (client, server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (client, server)
            with self.lock:
                self.pairs.add(pair)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, daemon=True,
                                 args=(pair, source, sink)).start()

    def _forward(self, pair, source, sink):
        try:
            while data := source.recv(65536):
                if self.closed:
                    break
                sink.sendall(data)
        except OSError:
            pass
        self._drop(pair)


class Executor:
    """An executor as PROTOCOL.md describes it, for tasks without gangs.

    work(task) gives the seconds that a task works; None for one that lasts.
    """

    def __init__(self, world, name, machine, zone, kind, rack, capacity, work):
        self.world, self.name, self.machine = world, name, machine
        self.zone, self.labels, self.capacity = zone, [kind, rack], capacity
        self.work = work
        self.crashes_at_start = lambda executor, task: False
        self.lock = threading.Condition()
        self.alive = True
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = self.ends = self.sequence = 0
        self.lease_end = 0.0
        self.runs, self.highest, self.finished = {}, {}, []
        self.server, self.port = serve(self._handler())
        self.cut = Cut(self.port)
        self.log("joins")
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def log(self, text):
        self.world.record.write(f"executor {self.name}: {text}")

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000) + 1

    def publish(self):
        self.sequence += 1
        entry = {"service": SERVICE, "address": f"127.0.0.1:{self.cut.port}",
                 "zone": self.zone, "version": "v1", "slots": 8,
                 "state": "ready", "coldRemainingMs": 0,
                 "capacity": self.capacity, "labels": self.labels,
                 "machine": self.machine, "clockMs": self.clock(),
                 "born": self.born, "sequence": self.sequence}
        self.world.store.put(f"servers/{self.name}", json.dumps(entry))

    def _beat(self):
        while self.alive:
            self.publish()
            time.sleep(HEARTBEAT_S)

    def _lose_all(self):
        """Ends this life of the executor; the caller holds the lock."""
        self.alive = False
        lost = list(self.runs)
        self.runs = {}
        self.lock.notify_all()
        for task, run in lost:
            self.world.ended(task, run, self.name, "lost with its executor")
        self.log(f"crashes with {len(lost)} runs")

    def restart_after(self, seconds):
        """Starts again under the same identifier, knowing nothing of before."""
        self.cut.set(True)
        time.sleep(seconds)
        with self.lock:
            self.born = int(time.time() * 1000)
            self.zero = time.monotonic()
            self.fence = self.ends = self.sequence = 0
            self.lease_end = 0.0
            self.runs, self.highest, self.finished = {}, {}, []
            self.alive = True
        self.cut.set(False)
        self.log("is back under its identifier")
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def crash(self):
        """The executor is gone for good; its entry lapses after three beats."""
        with self.lock:
            self._lose_all()
        self.cut.set(True)
        threading.Timer(3 * HEARTBEAT_S, lambda: self.world.store.put(
            f"servers/{self.name}", None)).start()

    def _end(self, key, how):
        self.runs.pop(key)
        task, run = key
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ends += 1
        self.finished.append([self.ends, task, run, how, "",
                              time.monotonic()])
        self.world.ended(task, run, self.name, how)
        self.lock.notify_all()

    def _tick(self):
        while self.alive:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                for key, state in list(self.runs.items()):
                    seconds = self.work(key[0])
                    if now > self.lease_end:
                        self._end(key, "lapsed")
                    elif state["stop"] and now >= state["stop"]:
                        self._end(key, "stopped")
                    elif seconds is not None and now - state["since"] >= seconds:
                        self._end(key, "done")

    def _extend(self, body):
        if "deadlineMs" in body:
            until = self.zero + body["deadlineMs"] / 1000
            limit = time.monotonic() + BOUNDS["maxHoldMs"] / 1000
            self.lease_end = max(self.lease_end, min(until, limit))

    def _fenced(self, body):
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        return None

    def start(self, body):
        if refusal := self._fenced(body):
            return refusal
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            return 200, {"clockMs": self.clock()}
        if run <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if self.zero + body["deadlineMs"] / 1000 <= time.monotonic():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self._extend(body)
        self.runs[(task, run)] = {"since": time.monotonic(), "stop": None}
        self.world.started(task, run, self.name, body)
        if self.crashes_at_start(self, task):
            self._lose_all()
            raise ConnectionResetError("the executor crashes")
        return 200, {"clockMs": self.clock()}

    def stop(self, body):
        if refusal := self._fenced(body):
            return refusal
        task, run = body["task"], body["run"]
        self.log(f"told to stop {task} run {run}, token {body['fencingToken']}")
        self.highest[task] = max(self.highest.get(task, 0), run)
        state = self.runs.get((task, run))
        if state and not state["stop"]:
            state["stop"] = time.monotonic() + 0.1
        return 200, {"clockMs": self.clock()}

    def hold(self, body):
        if refusal := self._fenced(body):
            return refusal
        lapsed_at = self.lease_end
        self._extend(body)
        now = time.monotonic()
        for end in [e for e in self.finished if e[0] <= body["ackCursor"]]:
            self.finished.remove(end)
            # Not taken note of if the lease lapsed between the two.
            if not end[5] < lapsed_at < now:
                self.world.noted(end[1], end[2], self.name, end[3])
        until = now + min(2.0, body.get("waitMs", 0) / 1000)
        while self.alive and not self.finished and time.monotonic() < until:
            self.lock.wait(min(0.05, until - time.monotonic() + 0.001))
        rows = []
        for (task, run), state in self.runs.items():
            seconds = self.work(task)
            age = time.monotonic() - state["since"]
            percent = 100 if seconds is None else min(99, int(
                100 * age / seconds))
            rows.append([task, run, "", percent, 0])
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": rows,
                     "finished": [e[:5] for e in self.finished[:500]]}

    def _handler(self):
        executor = self
        calls = {"/run-start": self.start, "/run-stop": self.stop,
                 "/hold": self.hold}

        class Handler(JsonHandler):
            # One segment an answer, so that Nagle's algorithm delays nothing.
            wbufsize = -1
            disable_nagle_algorithm = True

            def answer(self, verb, path, query, body):
                with executor.lock:
                    if not executor.alive:
                        self.close_connection = True
                        return 503, {}
                    if self.headers.get("Expected-Instance") != executor.name:
                        return 421, {}
                    if path not in calls:
                        return 404, {}
                    return calls[path](body)

        return Handler


def rack_labels(number):
    """The kind and the rack of an executor: each has a rack of its own."""
    return "a", f"r{number}"


def free_ports(count):
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Node:
    """A daemon process."""

    def __init__(self, world, number, zone, store_port, cloud_port):
        self.world, self.name = world, f"frontend-{zone}-{number}"
        ports = free_ports(3)
        self.port = ports[0]
        fields = {
            "nodeName": self.name, "zone": zone, "ipAddress": "127.0.0.1",
            "listenAddresses.frontendAddress": f"127.0.0.1:{ports[0]}",
            "listenAddresses.ready": f"127.0.0.1:{ports[1]}",
            "internalPortRange.0": str(ports[2]),
            "platform.address": f"127.0.0.1:{store_port}", "advice": "",
            "cloudApi.address": f"127.0.0.1:{cloud_port}" if cloud_port else "",
            "limits.fileDescriptors": "4100", "limits.cpuShare": "0.25",
            "bounds.quotaOverage": ""}
        fields.update({f"bounds.{k}": str(v) for k, v in BOUNDS.items()})
        text = (ROOT / world.role["template"]).read_text()
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", value)
        assert "{{" not in text, text
        self.command = [str(ROOT / word) if number == 0 else word
                        for number, word in enumerate(world.role["run"].split())]
        self.settings = world.temporary / f"{self.name}.conf"
        self.settings.write_text(text)
        self.log_file = world.temporary / f"{self.name}.log"
        self.process = None
        self.start()

    def start(self):
        with open(self.log_file, "ab") as out:
            self.process = subprocess.Popen(
                self.command, stdout=out, stderr=out, stdin=subprocess.DEVNULL,
                cwd=ROOT, env={"BANYANWORKS_SETTINGS": str(self.settings),
                               "PATH": os.environ["PATH"]})
        self.world.record.write(f"{self.name} starts")

    def signal(self, number):
        self.world.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None


def role_settings():
    """The command and the template of the role in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    section = text[text.index("[roles.node]"):]
    return {name: re.search(rf'^{name} = "(.*)"$', section, re.M).group(1)
            for name in ("run", "template")}


class World:
    def __init__(self, folder, capacity=None, executors=3, nodes=3, work=None,
                 cloud=None, labels=None):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder)
        self.role = role_settings()
        self._temporary = tempfile.TemporaryDirectory()
        self.temporary = pathlib.Path(self._temporary.name)
        self.lock = threading.Lock()
        self.running = {}
        self.starts, self.notes, self.endings = [], [], []
        self.store = Store()
        self.version = 0
        self.configure()
        store_server, store_port = serve_store(self.store)
        store_server.RequestHandlerClass.wbufsize = -1
        store_server.RequestHandlerClass.disable_nagle_algorithm = True
        zones = ["abeokuta", "ifo", "sagamu"]
        capacity = capacity or {"cpu": 64000, "memoryLimitMb": 131072, "gpu": 8}
        work = work or (lambda task: None)
        self.executors = [
            Executor(self, f"i-{number:08x}", f"m-{(number + 1) % executors}",
                     zones[number % 3], *(labels or rack_labels)(number),
                     capacity, work)
            for number in range(executors)]
        cloud_port = cloud(self) if cloud else 0
        self.nodes = [Node(self, number, zones[number % 3], store_port,
                           cloud_port) for number in range(nodes)]

    def configure(self):
        self.version += 1
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [{"name": "batch", "host": HOST, "prefix": PREFIX,
                        "kind": "unsafe", "timeoutMs": 3000,
                        "targetLatencyMs": 3000, "service": SERVICE,
                        "priority": 2, "maxAttempts": 4, "stretch": 3.0,
                        "public": False}],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [{"name": "a", "apiKeys": [KEY],
                         "guaranteed": {"gpu": 8}}]}))

    # What executors see.

    def started(self, task, run, executor, body):
        with self.lock:
            now = self.record.now()
            others = list(self.running.get(task, {}))
            self.running.setdefault(task, {})[(executor, run)] = now
            self.starts.append((now, task, run, executor, others))
        self.record.write(f"executor {executor}: starts {task} run {run}, "
                          f"token {body.get('fencingToken', 0)}")

    def ended(self, task, run, executor, how):
        with self.lock:
            self.running.get(task, {}).pop((executor, run), None)
            self.endings.append((self.record.now(), task, run, executor, how))
        self.record.write(f"executor {executor}: {task} run {run} ends {how}")

    def noted(self, task, run, executor, how):
        with self.lock:
            self.notes.append((self.record.now(), task, run, executor, how))
        self.record.write(f"executor {executor}: end '{how}' of {task} run "
                          f"{run} is taken note of")

    # What clients and the operator do.

    def call(self, node, verb, path, body=None, timeout=3.0, key=KEY):
        """Sends one request on a connection of its own; (status, body)."""
        import http.client
        connection = http.client.HTTPConnection("127.0.0.1", node.port,
                                                timeout=timeout)
        sent = self.record.now()
        try:
            connection.request(
                verb, PREFIX + path, json.dumps(body) if body else None,
                {"Host": HOST, "Api-Key": key, "Content-Type":
                 "application/json", "Deadline-Milliseconds":
                 str(int(timeout * 1000))})
            response = connection.getresponse()
            answer = response.status, response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            answer = None, repr(error)
        finally:
            connection.close()
        self.record.write(f"client: {verb} {PREFIX}{path} to {node.name} sent "
                          f"at {sent:.3f}, answer {answer[0]} {answer[1]}")
        return answer

    def submit(self, node, job, steps, tries=8):
        for _ in range(tries):
            status, _ = self.call(node, "POST", job,
                                  {"specification": job, "steps": steps})
            if status == 200:
                return True
            time.sleep(0.5)
        return False

    def owner(self):
        """The node that last gave an order: the one named in the store."""
        import base64
        with self.store.lock:
            names = [base64.b64decode(item["value"]).decode()
                     for item in self.store.items.values()]
        for node in self.nodes:
            if node.name in names and node.alive():
                return node
        return None

    def wait(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def close(self):
        for node in self.nodes:
            if node.alive():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            for node in self.nodes:
                shutil.copy(node.log_file, keep)
        self._temporary.cleanup()


def main(folder, case):
    """Runs case(world factory); exits with 1 if it returns a broken rule."""
    worlds = []
    # A script that is ended early ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def make(**options):
        worlds.append(World(folder, **options))
        return worlds[-1]

    code, text = 2, "the case could not run"
    try:
        broken = case(make)
        code, text = (1, f"BROKEN: {broken}") if broken else (0, "the rule held")
    except CouldNotRun as error:
        text = f"the case could not run: {error}"
    except Exception as error:
        text = f"the case could not run: {error!r}"
    finally:
        for world in worlds:
            world.record.write(text)
            world.close()
    print(text)
    sys.stdout.flush()
    os._exit(code)


class CouldNotRun(Exception):
    pass
