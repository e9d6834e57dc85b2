"""Starts daemons and stand-ins on loopback for the scripts of review/6 to 10.

The store and the executors are the project's own stand-ins of test/soak. Each
daemon reaches the store through a proxy of its own. The settings are those that
deploy/node.conf.template gives on a small deployment (hanbit-ops).
"""
import base64
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "soak"))
from executor_standin import Executor, ExecutorPool  # noqa: E402
from soak import free_ports  # noqa: E402
from store_standin import Store, serve_store  # noqa: E402
from tcp_proxy import Proxy  # noqa: E402

HOST = "jobs.example"
PROGRAM = "target/banyanworks-node"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Broken(Exception):
    """The rule was broken."""


class Unusable(Exception):
    """The case could not run."""


class Daemon:
    def __init__(self, rig, number, ports):
        self.rig, self.name = rig, f"frontend-{number}"
        self.proxy = Proxy(rig.store_port)
        self.listen, self.ready, self.metrics = ports
        self.log = rig.folder / f"{self.name}.log"
        self.settings = rig.folder / f"{self.name}.conf"
        self.settings.write_text(
            f'node="{self.name}"\nfailure-domain="z{number % 3}"\n'
            f'listen="127.0.0.1:{self.listen}"\n'
            f'ready-listen="127.0.0.1:{self.ready}"\n'
            f'metrics-listen="127.0.0.1:{self.metrics}"\n'
            f'store="127.0.0.1:{self.proxy.port}"\n'
            f'adviser="{rig.adviser}"\n'
            f'host-control="{rig.host_control}"\n'
            "descriptors=4100\ncpu-share=0.25\n"
            "grace-period-s=6\nlongest-lease-ms=6000\nstop-time-ms=900\n"
            'checkpoint-interval-s="0.5"\nrestore-ms="100"\n'
            "gang-wait-ms=3000\nrevocation-limit-ms=5000\n"
            f'configuration-limit-ms="2000"\nkeep-final-s={rig.keep_final_s}\n'
            'cap-overage=""\n')
        self.process = None
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                [PROGRAM], cwd=ROOT, stdout=out, stderr=out,
                stdin=subprocess.DEVNULL,
                env={"BANYANWORKS_SETTINGS": str(self.settings),
                     "PATH": os.environ["PATH"]})

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def call(self, verb, path, body=None, key="key-a", timeout=4.0):
        """Returns (status, text); (0, reason) without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.listen,
                                                timeout=timeout)
        try:
            connection.request(verb, path,
                               None if body is None else json.dumps(body),
                               {"Host": HOST, "Api-Key": key,
                                "Content-Type": "application/json",
                                "Deadline-Milliseconds": "3000"})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__
        finally:
            connection.close()

    def is_ready(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.ready,
                                                timeout=1.0)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Rig:
    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="banyanworks-"))
        self.record_file = open(case / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.store = Store()
        server, self.store_port = serve_store(self.store)
        self.handler = server.RequestHandlerClass
        self.work = {}
        self.pool = ExecutorPool(self.store, self.task_plan)
        self.daemons = []
        self.version = 0
        self.host_control, self.adviser, self.keep_final_s = "", "", 120

    def task_plan(self, task):
        return self.work[task.split(".")[0]]

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            self.record_file.write(f"{self.now():8.3f} {text}\n")
            self.record_file.flush()

    def add_executors(self, count):
        for number in range(count):
            Executor(self.pool, f"x{random.getrandbits(32):08x}",
                     f"z{number % 3}", f"r{number // 4}").publish()

    def add_daemons(self, count):
        ports = free_ports(3 * count)
        self.daemons = [Daemon(self, number, ports[3 * number:3 * number + 3])
                        for number in range(count)]
        self.wait("all daemons are ready", 15.0,
                  lambda: all(d.is_ready() for d in self.daemons))

    def publish(self, keys, **queue):
        """Writes a configuration, whose queue has the fields of queue too;
        returns the time of its acknowledgement."""
        self.version += 1
        route = {"host": HOST, "kind": "unsafe", "timeoutMs": 3000,
                 "targetLatencyMs": 1000, "service": "service",
                 "maxAttempts": 3, "stretch": 3.0, "public": False, **queue}
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [dict(route, name="urgent", prefix="/urgent/",
                            priority=0)],
            "services": [{"name": "service", "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [{"name": "a", "apiKeys": keys,
                         "guaranteed": {"gpu": 32}}]}))
        self.note(f"operator: configuration {self.version} with keys {keys} "
                  "acknowledged")
        return self.now()

    def owner(self):
        """The daemon that the store lists as the owner; None without one."""
        item = self.store.items.get("banyanworks/shared/owner")
        name = base64.b64decode(item["value"]).decode() if item else ""
        return next((d for d in self.daemons if d.name == name), None)

    def wait(self, what, seconds, check):
        end = time.monotonic() + seconds
        while not check():
            if time.monotonic() > end:
                raise Unusable(f"not within {seconds} s: {what}")
            time.sleep(0.02)

    def sleep_until(self, at):
        time.sleep(max(0.0, at - self.now()))

    def close(self):
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case_file, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it
    could not be played."""
    rig = Rig(pathlib.Path(case_file).resolve().parent)
    code = 2
    try:
        play(rig)
        rig.note("the rule held")
        code = 0
    except Broken as broken:
        rig.note(f"RULE BROKEN: {broken}")
        print(broken)
        code = 1
    except Exception as error:  # pylint: disable=broad-except
        rig.note(f"the case could not be played: {error!r}")
        print(repr(error))
    finally:
        if os.environ.get("KEEP_LOGS"):
            for daemon in rig.daemons:
                shutil.copy(daemon.log, os.environ["KEEP_LOGS"])
        rig.close()
    sys.stdout.flush()
    os._exit(code)
