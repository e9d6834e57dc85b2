"""Stand-ins of the platform's store, of executors and of clients, and a
launcher of the daemon, for the scripts of review/11 to review/15.

They follow PROTOCOL.md. All of them run in one process and listen on loopback.
"""
import base64
import heapq
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import socketserver
import struct
import subprocess
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
KEY = "key-of-tenant-a"
VALUE_BYTES = 1048576
MAX_HOLD_S = 6.0
STOP_S = 0.3
# A script ends by itself within 120 s.
LIMIT_S = 112
SAVE_S = 2.0
# Starts and ends that record.txt lists one by one.
LISTED_RUNS = 200
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


class Server:
    """An HTTP/1.1 server on one address that can go away and come back."""

    def __init__(self, answer):
        self.answer = answer
        self.port = 0
        self.server = None
        self.connections = set()
        self.start()

    def start(self):
        outer = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                outer.connections.add(self.request)

            def finish(self):
                outer.connections.discard(self.request)
                try:
                    super().finish()
                except OSError:
                    pass

            def handle(self):
                try:
                    while self.exchange():
                        pass
                except (OSError, ValueError):
                    pass

            def exchange(self):
                line = self.rfile.readline(65536).split()
                if len(line) < 2:
                    return False
                headers = {}
                while (row := self.rfile.readline(65536).strip()):
                    name, _, value = row.partition(b":")
                    headers[name.decode().lower()] = value.strip().decode()
                size = int(headers.get("content-length", 0))
                body = self.rfile.read(size) if size else b""
                parts = urlsplit(line[1].decode())
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                reply = outer.answer(line[0].decode(), parts.path, query,
                                     headers, json.loads(body) if body else {})
                if reply is None:
                    return False
                data = json.dumps(reply[1]).encode()
                self.wfile.write(
                    f"HTTP/1.1 {reply[0]} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                return True

        class Tcp(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self.server = Tcp(("127.0.0.1", self.port), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, args=(0.02,),
                         daemon=True).start()

    def stop(self):
        """Ends as a process does: the port is closed, connections are reset."""
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass
        self.connections.clear()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.items, self.history, self.leases = {}, [], {}
        self.revision = 1
        self.last_lease = 0
        self.refused_values = 0
        threading.Thread(target=self._expire, daemon=True).start()
        self.server = Server(self._answer)

    def _write(self, key, value, lease=0):
        if value is None:
            if self.items.pop(key, None) is None:
                return
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            old = self.items.get(key)
            event = {"key": key, "value": value, "revision": self.revision,
                     "created": old["created"] if old else self.revision,
                     "lease": lease}
            self.items[key] = event
        self.history.append(event)

    def put(self, key, value):
        """A write of the operator or of an executor; None removes the key."""
        with self.lock:
            self.revision += 1
            self._write(key, None if value is None else base64.b64encode(
                json.dumps(value).encode()).decode())
            self.lock.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [i for i, (_, end) in self.leases.items()
                              if end < now]:
                    self._end(lease)

    def _end(self, lease):
        if self.leases.pop(lease, None) is None:
            return 404, {}
        self.revision += 1
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._write(key, None)
        self.lock.notify_all()
        return 200, {}

    def _transact(self, body):
        rows = body.get("expectedRevision", [])
        puts, remove = body.get("puts", []), body.get("remove", [])
        if len(rows) + len(puts) + len(remove) > 32:
            return 400, {"error": "more than 32 entries"}
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > VALUE_BYTES:
                self.refused_values += 1
                if self.refused_values <= 5:
                    self.record.write(f"store: refuses a value of {size} bytes "
                                      f"for {put['key']}")
                return 400, {"error": "value is longer than valueBytes"}
        with self.lock:
            current = [self.items.get(row["key"]) for row in rows]
            for row, item in zip(rows, current):
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [i for i in current if i]}
            if any(put.get("lease") and put["lease"] not in self.leases
                   for put in puts):
                return 404, {}
            self.revision += 1
            for put in puts:
                self._write(put["key"], put["value"], put.get("lease", 0))
            for key in remove:
                self._write(key, None)
            self.lock.notify_all()
            return 200, {"revision": self.revision}

    def _watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                events = []
                for event in reversed(self.history):
                    if event["revision"] <= after:
                        break
                    if event["key"].startswith(prefix):
                        events.append(event)
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events[::-1],
                                 "atRevision": self.revision}
                self.lock.wait(left)

    def _list(self, prefix, after):
        with self.lock:
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1000000:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "hasMore": len(page) < len(keys),
                         "atRevision": self.revision}

    def _answer(self, verb, path, query, headers, body):
        last = path.rsplit("/", 1)[1]
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-watch":
            return self._watch(query["prefix"], int(query["after"]),
                               int(query["waitMs"]) / 1000)
        if path == "/kv-range":
            return self._list(query["prefix"], query.get("after", ""))
        with self.lock:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200 if item else 404), dict(item or {},
                                                    atRevision=self.revision)
            if path == "/kv-lease":
                self.last_lease += 1
                ttl = max(1.0, body["ttlMs"] / 1000)
                self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
                return 200, {"lease": self.last_lease, "ttlMs": int(ttl * 1000)}
            if path.startswith("/kv-keep/"):
                if int(last) not in self.leases:
                    return 404, {}
                ttl = self.leases[int(last)][0]
                self.leases[int(last)] = (ttl, time.monotonic() + ttl)
                return 200, {"ttlMs": int(ttl * 1000)}
            if path.startswith("/kv-lease-end/"):
                return self._end(int(last))
        return 404, {}


class Run:
    def __init__(self, work_s):
        self.begun_at = time.monotonic()
        self.ends_at = self.begun_at + work_s
        self.stop_at = None


class Executor:
    """One place with an address, on which executors live one after another."""

    # Guards the state of all executors, and tells holds of ends.
    lock = threading.Condition()
    # Called with (executor, task, run, body) at each start.
    on_start = staticmethod(lambda *arguments: None)
    # The network before the executors. Called with (executor, path, headers,
    # body); True keeps the request, which does not arrive and gets no answer.
    keeps = staticmethod(lambda *arguments: False)
    # Whether a task saves its progress every SAVE_S.
    saves = staticmethod(lambda task: False)
    everyone = []
    listed_runs = 0

    def __init__(self, store, record, name, zone, rack, kind="a", work_s=2.0,
                 cpu=64000, gpu=8):
        self.store, self.record = store, record
        self.name, self.zone, self.rack, self.kind = name, zone, rack, kind
        self.cpu, self.gpu, self.work_s = cpu, gpu, work_s
        self.alive = False
        self.server = Server(self._answer)
        self.begin_life()
        Executor.everyone.append(self)
        if len(Executor.everyone) == 1:
            threading.Thread(target=Executor._tick_all, daemon=True).start()

    def begin_life(self, name=None, kind=None):
        """Starts at this address: again, or as another executor."""
        with Executor.lock:
            self.name, self.kind = name or self.name, kind or self.kind
            self.born = int(time.time() * 1000)
            self.begun_at = time.monotonic()
            self.token = self.ends = 0
            self.lease_end = self.begun_at
            self.runs, self.barred, self.pending = {}, {}, []
            self.due = []
            if not self.server.server:
                self.server.start()
            self.alive = True
        self.beat()
        self.record.write(f"executor {self.name} is up, kind {self.kind}, "
                          f"port {self.server.port}")

    def beat(self, listed=True):
        self.next_beat = time.monotonic() + 1.5
        self.store.put(f"servers/{self.name}", {
            "service": "service", "address": f"127.0.0.1:{self.server.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "labels": [self.kind, self.rack],
            "capacity": {"cpu": self.cpu, "memoryLimitMb": 131072,
                         "gpu": self.gpu},
            "clockMs": self.clock(), "born": self.born,
            "sequence": int(time.monotonic() * 1000)} if listed else None)

    def crash(self):
        with Executor.lock:
            self.alive = False
            lost = [f"{t} run {n}" for t, n in self.runs]
            self.runs = {}
            Executor.lock.notify_all()
        self.gone_at = time.monotonic()
        self.server.stop()
        self.server.server = None
        self.record.write(f"executor {self.name} crashes; it ran: "
                          f"{', '.join(lost) or 'nothing'}")

    def clock(self):
        return int((time.monotonic() - self.begun_at) * 1000) + 1

    def deliver(self, path, headers, body):
        """Sends a request that the network has kept; returns the answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port,
                                                timeout=4)
        connection.request("POST", path, json.dumps(body), {
            "Expected-Instance": headers["expected-instance"]})
        response = connection.getresponse()
        answer = response.status, response.read().decode()
        connection.close()
        return answer

    @staticmethod
    def _tick_all():
        while True:
            time.sleep(0.01)
            for executor in Executor.everyone:
                if executor.alive and time.monotonic() >= executor.next_beat:
                    executor.beat()
            with Executor.lock:
                for executor in Executor.everyone:
                    executor._tick()

    def _tick(self):
        now = time.monotonic()
        if self.runs and now >= self.lease_end:
            for task, number in list(self.runs):
                self._end(task, number, "lapsed")
        while self.due and self.due[0][0] <= now:
            _, task, number = heapq.heappop(self.due)
            run = self.runs.get((task, number))
            if run:
                self._end(task, number, "stopped" if run.stop_at and
                          now >= run.stop_at else "done")

    def _list_run(self, text):
        Executor.listed_runs += 1
        if Executor.listed_runs <= LISTED_RUNS:
            self.record.write(f"{self.name}: {text}")
        elif Executor.listed_runs == LISTED_RUNS + 1:
            self.record.write("further starts and ends are not listed")

    def _saved(self, task, run, now):
        if not Executor.saves(task):
            return ""
        return f"{int((now - run.begun_at) / SAVE_S):016x}"

    def _end(self, task, number, how):
        run = self.runs.pop((task, number))
        self.barred[task] = max(self.barred.get(task, 0), number)
        self.ends += 1
        self.pending.append([self.ends, task, number, how, "" if how == "done"
                             else self._saved(task, run, time.monotonic())])
        self._list_run(f"{task} run {number} ends {how}")
        Executor.lock.notify_all()

    def _answer(self, verb, path, query, headers, body):
        if Executor.keeps(self, path, headers, body):
            return None
        with Executor.lock:
            if not self.alive:
                return None
            if headers.get("expected-instance") != self.name:
                return 421, {}
            return self.carry_out(path, body)

    def carry_out(self, path, body):
        """Carries out an order; the caller holds the lock."""
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return self._hold(body)
        return 200, {"clockMs": self.clock()}

    def _extend(self, deadline_ms):
        until = self.begun_at + deadline_ms / 1000
        self.lease_end = max(self.lease_end,
                             min(until, time.monotonic() + MAX_HOLD_S))

    def _start(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock()}
        if body["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self._extend(body["deadlineMs"])
        if number <= self.barred.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        run = self.runs[task, number] = Run(self.work_s)
        heapq.heappush(self.due, (run.ends_at, task, number))
        self._list_run(f"starts {task} run {number}")
        Executor.on_start(self, task, number, body)
        return 200, {"clockMs": self.clock()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get((task, number))
        if run and not run.stop_at:
            run.stop_at = time.monotonic() + STOP_S
            heapq.heappush(self.due, (run.stop_at, task, number))
        self._list_run(f"is told to stop {task} run {number}")
        return 200, {"clockMs": self.clock()}

    def _hold(self, body):
        life = self.born
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self.pending = [e for e in self.pending if e[0] > body["ackCursor"]]
        until = time.monotonic() + min(2.0, body.get("waitMs", 0) / 1000)
        while (not self.pending and self.alive and self.born == life and
               (left := until - time.monotonic()) > 0):
            Executor.lock.wait(left)
        if not self.alive or self.born != life:
            return None
        now = time.monotonic()
        running = [[t, n, self._saved(t, r, now), min(100, int(100 * (now - r.begun_at) /
                                           (r.ends_at - r.begun_at))), 0]
                   for (t, n), r in self.runs.items()]
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "finished": self.pending[:500]}


class Path:
    """The network between a daemon and a server; holds bytes while it is cut."""

    def __init__(self, port):
        self.target = port
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            far = socket.create_connection(("127.0.0.1", self.target))
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._forward, args=(source, sink),
                                 daemon=True).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(65536):
                self.open.wait()
                sink.sendall(data)
        except OSError:
            pass
        self.open.wait()
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
                end.close()
            except OSError:
                pass


def free_ports(count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Daemon:
    """The daemon, with the command and the template of the deploy file."""

    VALUES = {"limits.cpuShare": "0.25", "limits.memoryMb": "260",
              "limits.fileDescriptors": "4100", "bounds.gracePeriodS": "6",
              "bounds.maxHoldMs": "6000", "bounds.stopTimeoutMs": "400",
              "bounds.checkpointIntervalS": "2", "bounds.restoreMs": "250",
              "bounds.gangTimeoutMs": "3000", "bounds.revocationMs": "5000",
              "bounds.configurationApplyMs": "2000", "bounds.status_s": "120"}

    def __init__(self, number, zone, store, folder, ports):
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.command = re.search(r'^run *= *"(.*)"', deploy, re.M).group(1)
        template = (ROOT / re.search(r'^template *= *"(.*)"', deploy,
                                     re.M).group(1)).read_text()
        self.name, self.port = f"frontend-{zone}-{number}", ports[0]
        self.store_path = Path(store.server.port)
        values = dict(self.VALUES, **{
            "nodeName": self.name, "zone": zone, "ipAddress": "127.0.0.1",
            "listenAddresses.frontendAddress": f"127.0.0.1:{ports[0]}",
            "listenAddresses.ready": f"127.0.0.1:{ports[1]}",
            "internalPortRange.0": str(ports[2]),
            "platform.address": f"127.0.0.1:{self.store_path.port}",
            "advice": f"127.0.0.1:{ports[3]}",
            "cloudApi.address": f"127.0.0.1:{ports[3]}"})
        self.settings = pathlib.Path(folder) / f"{self.name}.conf"
        self.settings.write_text(re.sub(
            r"{{([^}]*)}}", lambda m: values.get(m.group(1), ""), template))
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            self.command.split(), cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"],
                 "BANYANWORKS_SETTINGS": str(self.settings)})

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    pass


class Deployment:
    """A store and daemons; a context manager that ends all processes."""

    def __init__(self, folder, daemons=3):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.scratch = tempfile.TemporaryDirectory()
        ports = free_ports(4 * daemons)
        zones = ["z1", "z2", "z3"]
        self.daemons = [Daemon(n, zones[n % 3], self.store, self.scratch.name,
                               ports[4 * n:4 * n + 4])
                        for n in range(daemons)]
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for daemon in self.daemons:
            daemon.end()
        if keep := os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.scratch.name, keep], check=False)
        self.scratch.cleanup()

    def configure(self):
        self.version += 1
        route = {"host": HOST, "kind": "unsafe", "timeoutMs": 3000,
                 "service": "service", "maxAttempts": 4, "public": False}
        self.store.put("op/config", {
            "version": self.version,
            "routes": [
                dict(route, name="urgent", prefix="/urgent/", priority=0,
                     targetLatencyMs=250, stretch=1.5),
                dict(route, name="batch", prefix="/batch/", priority=2,
                     targetLatencyMs=3000, stretch=3.0)],
            "services": [{"name": "service", "admissionCheck": False,
                          "spareCapacity": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [{"name": "a", "apiKeys": [KEY],
                         "guaranteed": {"gpu": 72}},
                        {"name": "b", "apiKeys": [KEY + "-b"],
                         "guaranteed": {"gpu": 72}}]})

    def start(self):
        self.configure()
        for daemon in self.daemons:
            daemon.start()
        end = time.monotonic() + 15
        while time.monotonic() < end:
            time.sleep(0.2)
            answers = [self.call("GET", "/batch/", daemon=d, quiet=True)
                       for d in self.daemons]
            if all(a[0] == 200 for a in answers):
                time.sleep(3.5)  # in touch: contactTimeoutMs after the start
                return
        raise CannotRun("the daemons don't serve")

    def call(self, verb, path, body=None, daemon=None, key=KEY, quiet=False,
             patience_s=4):
        """Returns (status, answer); status 0 if there was no answer."""
        target = daemon or self.daemons[0]
        connection = http.client.HTTPConnection("127.0.0.1", target.port,
                                                timeout=patience_s)
        status, text = 0, b""
        try:
            connection.request(verb, path, json.dumps(body) if body else None, {
                "Host": HOST, "Api-Key": key,
                "Content-Type": "application/json",
                "Deadline-Milliseconds": "3000"})
            response = connection.getresponse()
            status, text = response.status, response.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        if not quiet:
            sent = json.dumps(body)[:160] if body else ""
            self.record.write(f"client: {verb} {path} {sent} at {target.name}"
                              f" -> {status} {text[:120].decode()}")
        return status, text

    def owner(self):
        """The name of the daemon that wrote last under a condition."""
        item = self.store.items.get("banyanworks/shared/owner")
        return base64.b64decode(item["value"]).decode() if item else ""

    def submit(self, path, body, key=KEY):
        """Sends a job as a client does; returns the last status."""
        status = 0
        for attempt in range(5):
            status, _ = self.call("POST", path, body, key=key, daemon=
                                  self.daemons[attempt % len(self.daemons)])
            if status // 100 == 2:
                break
            time.sleep(1)
        return status

    def state(self, path, key=KEY, quiet=True):
        status, text = self.call("GET", path, key=key, quiet=quiet)
        if status != 200:
            return f"status {status}"
        return json.loads(text)["state"]


def main(folder, case):
    """Runs \p case(deployment); exits with 1, 0 or 2 as the issue asks."""
    folder = pathlib.Path(folder).resolve().parent

    def give_up(number, frame):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LIMIT_S)
    if not (ROOT / "target/banyanworks-node").exists():
        print("target/banyanworks-node is not built")
        os._exit(2)
    code = 2
    try:
        with Deployment(folder) as deployment:
            deployment.record.write(f"TROUBLE={1 if TROUBLE else 0}")
            broken = case(deployment)
            code = 1 if broken else 0
            deployment.record.write(f"broken: {broken}" if broken
                                    else "the rule held")
            print(broken or "the rule held", flush=True)
    except Exception as error:  # The exit code 1 is for a broken rule.
        print(f"could not run: {error!r}", flush=True)
        code = 2
    os._exit(code)
