#!/usr/bin/env python3
"""Runs the real daemons as processes on loopback and injects faults.

Usage: soak.py --program FILE [--seed N] [--runs N] [--seconds S] [--nodes N]

Checks, as observed by callers and executors, that an accepted job completes and
runs once, a refused job never runs, no executor exceeds its capacity, no task
runs twice, and a daemon that stops gracefully answers the requests that it has
read. Exits with 1 on a violation. Signals only processes that it started.
"""
import argparse
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from executor_standin import Executor, ExecutorPool  # noqa: E402
from store_standin import Store, serve_store  # noqa: E402
from tcp_proxy import Proxy  # noqa: E402

GRACE_PERIOD_S = 4.0
HOST = "jobs.example"
API_KEY = "key-a"


def free_ports(count):
    """Returns distinct ports: all probes stay bound until the last one."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Node:
    """A daemon process with a proxy of its own to the store."""

    def __init__(self, number, program, folder, store_port, ports):
        self.name, self.program = f"node-{number}", program
        self.proxy = Proxy(store_port)
        self.ports = ports
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.conf"
        self.settings.write_text(
            f'node="{self.name}"\nfailure-domain="z{number % 3}"\n'
            f'listen="127.0.0.1:{self.ports[0]}"\n'
            f'ready-listen="127.0.0.1:{self.ports[1]}"\n'
            f'metrics-listen="127.0.0.1:{self.ports[2]}"\n'
            f'store="127.0.0.1:{self.proxy.port}"\n'
            f"grace-period-s={GRACE_PERIOD_S}\nstop-time-ms=400\n")
        self.process = None
        self.stopping_since = None
        self.start()

    def start(self):
        self.stopping_since = None
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                [self.program], stdout=out, stderr=out, stdin=subprocess.DEVNULL,
                env={"BANYANWORKS_SETTINGS": str(self.settings),
                     "PATH": os.environ["PATH"]})

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)


class Soak:
    def __init__(self, arguments, seed, folder):
        self.random = random.Random(seed)
        self.seconds = arguments.seconds
        self.violations = []
        self.jobs = {}
        self.lock = threading.Lock()
        self.store = Store()
        self.pool = ExecutorPool(self.store, self.task_plan)
        _, port = serve_store(self.store)
        self.proxies = {}
        for number in range(8):
            executor = Executor(self.pool, f"i-{seed}-{number}",
                                f"z{number % 3}", f"r{number // 4}")
            proxy = Proxy(executor.port)
            executor.advertised_port = proxy.port
            self.proxies[executor.name] = proxy
            executor.publish()
        self.version = 0
        self.publish_configuration()
        ports = free_ports(3 * arguments.nodes)
        self.nodes = [Node(n, arguments.program, folder, port,
                           ports[3 * n:3 * n + 3])
                      for n in range(arguments.nodes)]
        self.end = None

    def task_plan(self, task):
        job = self.jobs[task.split(".")[0]]
        return job["work"], job["count"] if job["gang"] else 0, job["gpu"]

    def publish_configuration(self):
        self.version += 1
        route = {"host": HOST, "kind": "unsafe", "timeoutMs": 3000,
                 "targetLatencyMs": 1000, "service": "service",
                 "maxAttempts": 3, "stretch": 3.0, "public": False}
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [dict(route, name="urgent", prefix="/urgent/", priority=0),
                       dict(route, name="batch", prefix="/batch/", priority=2)],
            "services": [{"name": "service", "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [{"name": "a", "apiKeys": [API_KEY],
                         "guaranteed": {"gpu": 32}}]}))

    def report_violation(self, text):
        with self.lock:
            self.violations.append(text)

    # Callers.

    def call(self, connections, node, verb, path, body=None):
        """Returns (status, body), or None on a connection error.

        Connections are kept open and reused.
        """
        new_connection = node.name not in connections
        connection = connections.setdefault(
            node.name, http.client.HTTPConnection(
                "127.0.0.1", node.ports[0], timeout=4))
        stopping = node.stopping_since
        sent_at = None
        try:
            connection.request(verb, path, body, {
                "Host": HOST, "Api-Key": API_KEY, "Content-Type":
                "application/json", "Deadline-Milliseconds": "3000"})
            sent_at = time.monotonic()
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            connections.pop(node.name).close()
            # A graceful stop may close a connection while a request arrives,
            # but must not cut a request that was sent over 0.2 s ago.
            request_received = sent_at and time.monotonic() - sent_at > 0.2
            if (request_received and stopping and
                    node.stopping_since == stopping and
                    not isinstance(error, TimeoutError) and
                    time.monotonic() - stopping < GRACE_PERIOD_S):
                self.report_violation(
                    f"{node.name} cut {verb} {path} while stopping, "
                    f"{'new' if new_connection else 'kept'} connection")
            return None

    def run_caller(self, number, seed):
        rng = random.Random(seed)
        connections = {}
        while time.monotonic() < self.end:
            time.sleep(rng.uniform(0.1, 0.8))
            name = f"{rng.getrandbits(64):016x}"
            queue = "urgent" if rng.random() < 0.3 else "batch"
            job = {"work": rng.uniform(0.2, 3.0),
                   "count": rng.randint(1, 4),
                   "gpu": rng.choice([1, 2, 4, 8]),
                   "gang": rng.random() < 0.5, "path": f"/{queue}/{name}",
                   "accepted": False, "refused_only": True}
            self.jobs[name] = job
            step = {"count": job["count"], "cpu": 1000, "memoryLimitMb": 512,
                    "gpu": job["gpu"], "estimatedMs": int(job["work"] * 1000)}
            if job["gang"]:
                step["gangScheduled"] = True
            body = json.dumps({"specification": name, "steps": [step]})
            for _ in range(4):
                answer = self.call(connections, rng.choice(self.nodes),
                                   "POST", job["path"], body)
                if answer is None or answer[0] == 504:
                    job["refused_only"] = False
                elif answer[0] // 100 == 2:
                    job["accepted"], job["refused_only"] = True, False
                    break
                elif answer[0] not in (429, 503):
                    self.report_violation(
                        f"unexpected answer {answer} to a submission")
                time.sleep(rng.uniform(0.2, 1.5))
            if rng.random() < 0.5:
                self.call(connections, rng.choice(self.nodes), "GET",
                          job["path"])

    # Faults.

    def schedule(self, seconds, work):
        threading.Timer(seconds, work).start()

    def inject_fault(self):
        node = self.random.choice(self.nodes)
        duration = self.random.uniform(0.5, 5.0)
        executor = self.random.choice(list(self.pool.executors.values()))
        kind = self.random.choice(
            ["term", "kill", "pause", "store", "store_all", "reset", "worker",
             "crash", "config", "domain", "compact", "hup"])

        def restore(proxy):
            proxy.mode = "pass"

        def restart():
            if node.alive():
                node.process.kill()
            node.process.wait()
            node.start()

        if kind == "term":
            node.stopping_since = time.monotonic()
            node.signal(signal.SIGTERM)
            self.schedule(GRACE_PERIOD_S + 1, restart)
        elif kind == "kill":
            # Requests that the kill cuts are not failures of a graceful stop.
            node.stopping_since = None
            node.signal(signal.SIGKILL)
            self.schedule(duration, restart)
        elif kind == "pause":
            node.signal(signal.SIGSTOP)
            self.schedule(duration, lambda: node.signal(signal.SIGCONT))
        elif kind == "store":
            node.proxy.mode = self.random.choice(
                ["silent", "oneway", "refuse", "delay"])
            self.schedule(duration, lambda: restore(node.proxy))
        elif kind == "store_all":
            mode = self.random.choice(["silent", "refuse", "delay"])
            for other in self.nodes:
                other.proxy.mode = mode
                self.schedule(duration,
                              lambda proxy=other.proxy: restore(proxy))
        elif kind == "reset":
            node.proxy.reset(0.7)
        elif kind == "worker":
            proxy = self.proxies[executor.name]
            proxy.mode = self.random.choice(["silent", "oneway", "refuse"])
            self.schedule(duration, lambda: restore(proxy))
        elif kind == "crash" and executor.alive:
            executor.crash()
            self.schedule(duration, executor.restart)
        elif kind == "config":
            self.publish_configuration()
        elif kind == "domain":
            key = f"op/evacuate/z{self.random.randrange(3)}"
            self.store.put(key, "{}")
            self.schedule(duration, lambda: self.store.put(key, None))
        elif kind == "compact":
            self.store.compact()
        elif kind == "hup":
            node.signal(signal.SIGHUP)

    def run(self):
        time.sleep(1.5)
        self.end = time.monotonic() + self.seconds
        callers = [threading.Thread(target=self.run_caller,
                                    args=(n, self.random.random()))
                   for n in range(4)]
        for thread in callers:
            thread.start()
        while time.monotonic() < self.end:
            time.sleep(self.random.uniform(0.3, 1.5))
            self.inject_fault()
        for thread in callers:
            thread.join()
        # Waits until all scheduled restarts and restorations have run.
        time.sleep(GRACE_PERIOD_S + 2.5)
        self.check_jobs()
        return self.violations

    def check_jobs(self):
        """Waits for the accepted jobs to end and collects the violations."""
        connections = {}
        waiting = {n for n, job in self.jobs.items() if job["accepted"]}
        # Long enough for jobs on a worker that no daemon could reach.
        end = time.monotonic() + 45
        while waiting and time.monotonic() < end:
            for name in list(waiting):
                answer = self.call(connections, self.random.choice(self.nodes),
                                   "GET", self.jobs[name]["path"])
                if answer is None or answer[0] != 200:
                    continue
                state = json.loads(answer[1])["state"]
                if state == "completed":
                    waiting.discard(name)
                elif state in ("failed", "cancelled"):
                    self.report_violation(f"{name} ended as {state}")
                    waiting.discard(name)
            time.sleep(0.2)
        for name in waiting:
            self.report_violation(f"{name} was accepted but did not complete")
        with self.pool.lock:
            for text in self.pool.violations:
                self.report_violation(text)
            for name, job in self.jobs.items():
                if job["refused_only"] and name in self.pool.started:
                    self.report_violation(f"{name} was refused but ran")

    def close(self):
        for node in self.nodes:
            if node.alive():
                node.signal(signal.SIGCONT)
                node.process.kill()
            node.process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--keep",
                        help="copy the logs of failed runs to this folder")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        with tempfile.TemporaryDirectory() as name:
            soak = Soak(arguments, seed, pathlib.Path(name))
            try:
                violations = soak.run()
            finally:
                soak.close()
            accepted = sum(job["accepted"] for job in soak.jobs.values())
            print(f"seed {seed}: {len(soak.jobs)} jobs, {accepted} accepted, "
                  f"{len(violations)} violations", flush=True)
            for violation in violations:
                print(f"  {violation}", flush=True)
            failed += bool(violations)
            if violations and arguments.keep:
                shutil.copytree(name, pathlib.Path(arguments.keep) /
                                f"seed-{seed}", dirs_exist_ok=True)
    print(f"{arguments.runs - failed} passed, {failed} failed")
    # Timers have fired, and the stand-ins run in daemon threads, so nothing
    # keeps the process from exiting.
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
