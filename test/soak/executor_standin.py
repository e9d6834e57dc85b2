"""Stand-ins for the executors of the platform, which run tasks under leases."""
import json
import threading
import time

from store_standin import JsonHandler, serve

MAX_LEASE_S = 6.0
STOP_TIME_S = 0.3
GANG_WAIT_S = 3.0


class ExecutorPool:
    """State shared by all executors: running tasks and violations."""

    def __init__(self, store, task_plan):
        self.lock = threading.Condition()
        self.store = store
        # Maps the name of a task to (run time in s, gang size or 0, gpu).
        self.task_plan = task_plan
        self.executors = {}
        self.gangs = {}
        self.recorded_done = set()
        self.violations = []
        self.started = set()
        threading.Thread(target=self._tick, daemon=True).start()

    def report_violation(self, text):
        self.violations.append(f"{time.monotonic():.3f} {text}")

    def _tick(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                for executor in self.executors.values():
                    executor.tick()
                self.lock.notify_all()


class Run:
    def __init__(self, task, number, now):
        self.task, self.number = task, number
        self.accepted_at, self.running_since, self.stop_at = now, None, None

    def gang_key(self):
        return self.task.rsplit(".", 1)[0], self.number


class Executor:
    def __init__(self, pool, name, zone, rack, capacity_gpu=8):
        self.pool, self.name, self.zone, self.rack = pool, name, zone, rack
        self.capacity_gpu = capacity_gpu
        self.alive = True
        self._reset()
        _, self.port = serve(self._handler())
        self.advertised_port = self.port
        pool.executors[name] = self

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.start_time = time.monotonic()
        self.fencing_token = self.end_count = 0
        self.lease_end = time.monotonic()
        self.runs, self.max_ended_run, self.pending_ends = {}, {}, []

    def publish(self, listed=True):
        entry = {"service": "service",
                 "address": f"127.0.0.1:{self.advertised_port}",
                 "zone": self.zone, "version": "v1", "slots": 8,
                 "state": "ready", "coldRemainingMs": 0,
                 "capacity": {"cpu": 32000, "memoryLimitMb": 131072,
                              "gpu": self.capacity_gpu},
                 "labels": ["a", self.rack], "clockMs": self.clock(),
                 "born": self.born, "sequence": 1}
        self.pool.store.put(f"servers/{self.name}",
                            json.dumps(entry) if listed else None)

    def clock(self):
        return int((time.monotonic() - self.start_time) * 1000) + 1

    def crash(self):
        with self.pool.lock:
            self.alive = False
            self.runs = {}

    def restart(self):
        with self.pool.lock:
            self._reset()
            self.alive = True
        self.publish()

    def end_run(self, run, outcome):
        self.runs.pop((run.task, run.number), None)
        self.max_ended_run[run.task] = max(
            self.max_ended_run.get(run.task, 0), run.number)
        self.end_count += 1
        self.pending_ends.append([self.end_count, run.task, run.number,
                                  outcome, "", time.monotonic()])

    def tick(self):
        if not self.alive:
            return
        now = time.monotonic()
        for run in list(self.runs.values()):
            seconds, size, _ = self.pool.task_plan(run.task)
            members = [r for e in self.pool.executors.values() if e.alive
                       for r in e.runs.values()
                       if size and r.gang_key() == run.gang_key()]
            if run.running_since is None and (
                    not size or len(members) == size):
                run.running_since = now
            if now > self.lease_end:
                self.end_run(run, "lapsed")
            elif run.stop_at and now >= run.stop_at:
                self.end_run(run, "stopped")
            elif run.running_since is None:
                if now - run.accepted_at > GANG_WAIT_S:
                    self.end_run(run, "alone")
            elif now - run.running_since >= seconds:
                self.end_run(run, "done")
            elif size and len(members) < size and now - run.running_since < (
                    seconds - 0.1):
                self.end_run(run, "broken")

    def start(self, body):
        now = time.monotonic()
        if body["fencingToken"] < self.fencing_token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fencing_token = body["fencingToken"]
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock()}
        if number <= self.max_ended_run.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        until = self.start_time + body["deadlineMs"] / 1000
        if until <= now:
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.lease_end = max(self.lease_end, min(until, now + MAX_LEASE_S))
        for other in self.pool.executors.values():
            if other.alive and any(t == task for t, _ in other.runs):
                self.pool.report_violation(
                    f"two runs at the same time: {task} {number}")
        if task in self.pool.recorded_done:
            self.pool.report_violation(
                f"run after its end was recorded: {task} {number}")
        self.runs[(task, number)] = Run(task, number, now)
        self.pool.started.add(task.split(".")[0])
        used = sum(self.pool.task_plan(t)[2] for t, _ in self.runs)
        if used > self.capacity_gpu:
            self.pool.report_violation(f"capacity exceeded: {self.name}")
        return 200, {"clockMs": self.clock()}

    def stop(self, body):
        if body["fencingToken"] < self.fencing_token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fencing_token = body["fencingToken"]
        task, number = body["task"], body["run"]
        self.max_ended_run[task] = max(self.max_ended_run.get(task, 0), number)
        run = self.runs.get((task, number))
        if run and not run.stop_at:
            run.stop_at = time.monotonic() + STOP_TIME_S
        return 200, {"clockMs": self.clock()}

    def hold(self, body):
        now = time.monotonic()
        if body["fencingToken"] < self.fencing_token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fencing_token = body["fencingToken"]
        previous_lease_end = self.lease_end
        if "deadlineMs" in body:
            until = self.start_time + body["deadlineMs"] / 1000
            self.lease_end = max(self.lease_end,
                                 min(until, now + MAX_LEASE_S))
        for end in [e for e in self.pending_ends if e[0] <= body["ackCursor"]]:
            # An end does not count as recorded if the lease expired between
            # the end and this acknowledgement.
            if end[3] == "done" and not end[5] < previous_lease_end < now:
                self.pool.recorded_done.add(end[1])
            self.pending_ends.remove(end)
        until = now + min(2.0, body.get("waitMs", 0) / 1000)
        while not self.pending_ends and time.monotonic() < until and self.alive:
            self.pool.lock.wait(0.05)
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": [[t, n, "", 0] for t, n in self.runs],
                     "finished": [e[:5] for e in self.pending_ends[:500]]}

    def _handler(self):
        executor = self
        calls = {"/run-start": self.start, "/run-stop": self.stop,
                 "/hold": self.hold}

        class Handler(JsonHandler):
            def answer(self, verb, path, query, body):
                with executor.pool.lock:
                    if not executor.alive:
                        self.close_connection = True
                        return 503, {}
                    if self.headers.get("Expected-Instance") != executor.name:
                        return 421, {}
                    return calls[path](body)

        return Handler
