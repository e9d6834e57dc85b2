#!/usr/bin/env python3
"""Measures real processes on loopback and prints one Markdown table.

Usage: dev/measure_processes.py [latency|restarts|versions|owner|control]...

Runs all measurements by default, which takes about four minutes. Needs the
release build (dev/build release).
"""
import http.client
import json
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from demo_walk import SERVICE, write_job_file, running_members  # noqa: E402
from deployment import Deployment, http_call as call, wait_until  # noqa: E402

SMALL_KIND = """
[job.small]
max_members = 128
cores = 1
memory = "1GiB"
expected_run_time = "1h"
"""
DAEMONS_PER_DOMAIN = (3, 3, 2)
QUOTE_PATH = "/v1/services/planner/methods/quote"


def percentile(values, share):
    """Returns the value at the quantile share, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def publish(deployment, service=SERVICE):
    """Publishes the declarations and waits until all domains have an owner."""
    code, shown = deployment.cli_json(
        "publish", deployment.write_declarations(service))
    assert code == 0 and shown.get("in_force"), (code, shown)
    for domain in deployment.domains:
        wait_until(lambda d=domain: deployment.owner(d), 15, 0.2)


def run_closed_loop(targets, path, seconds):
    """Runs a client with a persistent connection for each target.

    Returns the latencies in ms and the status codes of failed requests.
    """
    latencies, errors = [], []

    def drive(address):
        connection = http.client.HTTPConnection(address, timeout=10)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            begin = time.monotonic()
            connection.request("POST", path, "{}")
            answer = connection.getresponse()
            answer.read()
            if answer.status != 200:
                errors.append(answer.status)
            latencies.append((time.monotonic() - begin) * 1000)

    threads = [threading.Thread(target=drive, args=(t,)) for t in targets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies, errors


def measure_latency():
    """Measures the latency through a daemon and directly at the endpoint.

    Half of the slots are busy.
    """
    deployment = Deployment(slots=1, service_time_us=5000)
    try:
        publish(deployment)
        endpoints = [each[0] for each in deployment.endpoints.values()]
        daemons = [d.listen for d in deployment.daemons[::2]]
        run_closed_loop(daemons, QUOTE_PATH, 1)
        direct, _ = run_closed_loop(endpoints, "/call/planner/quote", 6)
        through, errors = run_closed_loop(daemons, QUOTE_PATH, 6)
        for name, share in (("p50", 0.5), ("p99", 0.99)):
            direct_ms = percentile(direct, share)
            through_ms = percentile(through, share)
            yield (f"latency {name}, 5 ms of work, direct / through a daemon",
                   f"{direct_ms:.2f} ms / {through_ms:.2f} ms, ratio "
                   f"{through_ms / direct_ms:.2f}, {len(through)} requests, "
                   f"{len(errors)} errors", "ratio of p50 at most 2")
    finally:
        deployment.stop()


def measure_restarts():
    """Counts failed requests while the daemons are restarted in turn."""
    deployment = Deployment(service_time_us=20000)
    ready, counts = set(), {"whole": 0, "cut": []}
    done = threading.Event()

    def poll_readiness():
        while not done.is_set():
            for daemon in deployment.daemons:
                if call(daemon.listen, "/readyz", timeout=1)[0] == 200:
                    ready.add(daemon.listen)
                else:
                    ready.discard(daemon.listen)
            time.sleep(0.1)

    def drive(index):
        number = index
        while not done.is_set():
            targets = sorted(ready)
            if not targets:
                time.sleep(0.05)
                continue
            number += 1
            status, body = call(targets[number % len(targets)], QUOTE_PATH,
                                "POST", "{}")
            if status == 200:
                counts["whole"] += 1
            else:
                counts["cut"].append((status, body[:80]))

    try:
        publish(deployment)
        threads = [threading.Thread(target=poll_readiness)]
        threads += [threading.Thread(target=drive, args=(i,))
                    for i in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        codes = []
        for daemon in deployment.daemons:
            codes.append(daemon.terminate())
            daemon.start()
            wait_until(lambda d=daemon: d.listen in ready, 10)
        time.sleep(1)
        done.set()
        for thread in threads:
            thread.join()
        yield ("six daemons restarted in turn under load",
               f"{len(counts['cut'])} of "
               f"{counts['whole'] + len(counts['cut'])} requests failed"
               f"{' ' + str(counts['cut'][:2]) if counts['cut'] else ''}; "
               f"exit codes {codes}", "0 failed")
    finally:
        done.set()
        deployment.stop()


def measure_versions(count=200):
    """Measures the time until a version is in force on eight daemons."""
    deployment = Deployment(daemons_per_domain=DAEMONS_PER_DOMAIN,
                            workers_per_domain=1, endpoints_per_domain=1)
    spans, not_in_force = [], 0
    try:
        publish(deployment)
        for number in range(count):
            if number == count // 3:
                deployment.daemons[5].kill()
                deployment.daemons[5].start()
            if number == 2 * count // 3:
                call(deployment.store, "/admin/faults", "POST", json.dumps(
                    {"fault": "stall", "delay_ms": 300, "for_ms": 3000}))
            begin = time.monotonic()
            while True:
                source = deployment.daemons[number % 8].listen
                status, text = call(source, "/v1/configuration")
                if status != 200:
                    time.sleep(0.05)
                    continue
                config = json.loads(text)
                config["comment"] = f"change {number}"
                begin = time.monotonic()
                status, text = call(source, "/v1/configuration", "POST",
                                    json.dumps(config))
                if status == 200:
                    break
                time.sleep(0.05)
            version = int(json.loads(text)["version"])

            def in_force():
                seen = [call(d.listen, "/v1/configuration", timeout=2)
                        for d in deployment.daemons]
                return all(s == 200 and int(json.loads(t)["version"])
                           >= version for s, t in seen)

            not_in_force += wait_until(in_force, 20, 0.02) is None
            spans.append(time.monotonic() - begin)
        yield (f"{count} versions until in force on 8 daemons, with one "
               "restart and one store stall of 3 s",
               f"p50 {percentile(spans, 0.5):.2f} s, p99 "
               f"{percentile(spans, 0.99):.2f} s, max {max(spans):.2f} s, "
               f"{not_in_force} timed out", "p99 5 s")
    finally:
        deployment.stop()


def time_to_place(deployment, domain, name, servers, begin):
    """Returns the seconds from begin until a new gang runs in the domain."""
    state = {}

    def placed():
        if "id" not in state:
            state.update(deployment.cli_json(
                "job", "submit", write_job_file(deployment, name, domain),
                "--key", name, servers=servers, timeout=10)[1])
        return "id" in state and running_members(deployment, domain,
                                                 state["id"])

    elapsed = wait_until(placed, 30)
    return None if elapsed is None else time.monotonic() - begin


def measure_owner():
    """Measures the time until a domain starts tasks again without its owner.

    The owner is killed or paused.
    """
    for kind, rounds in (("killed", 5), ("paused for 10 s", 2)):
        spans = []
        deployment = Deployment(run_time_ms=1000)
        try:
            publish(deployment)
            for number in range(rounds):
                domain = deployment.domains[number % 3]
                owner = deployment.owner(domain)
                others = [d.listen for d in deployment.daemons
                          if d is not owner]
                begin = time.monotonic()
                if kind == "killed":
                    owner.kill()
                else:
                    owner.signal(signal.SIGSTOP)
                spans.append(time_to_place(deployment, domain,
                                         f"round-{number}", others, begin))
                if kind == "killed":
                    owner.start()
                else:
                    time.sleep(max(0, begin + 10 - time.monotonic()))
                    owner.signal(signal.SIGCONT)
                time.sleep(3)
            shown = ", ".join("never" if s is None else f"{s:.2f} s"
                              for s in spans)
            yield (f"owner {kind} until its domain starts tasks again", shown,
                   "3 s")
        finally:
            deployment.stop()


def daemon_usage(daemon):
    """Returns control bytes, processor time and peak memory of a daemon."""
    values = {}
    for line in call(daemon.listen, "/metrics")[1].splitlines():
        if line.startswith("banyanworks_") and " " in line:
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    sent = values['banyanworks_control_bytes{of="sent"}']
    received = values['banyanworks_control_bytes{of="received"}']
    return (sent + received, values["banyanworks_cpu_seconds"],
            values["banyanworks_peak_memory_bytes"])


def measure_usage(deployment, daemon, seconds=20):
    """Measures the usage over some seconds and returns it as text."""
    first = daemon_usage(daemon)
    first_calls = json.loads(
        call(deployment.store, "/admin/counters")[1])["calls"]
    time.sleep(seconds)
    last = daemon_usage(daemon)
    last_calls = json.loads(
        call(deployment.store, "/admin/counters")[1])["calls"]
    return (f"{(last[0] - first[0]) / seconds / 1000:.1f} KB/s, "
            f"{(last[1] - first[1]) / seconds * 100:.2f}% of a core, "
            f"{last[2] / 1e6:.0f} MB; store calls of all daemons "
            f"{(last_calls - first_calls) / seconds:.1f}/s")


def measure_control():
    """Measures the control overhead of a daemon, idle and under load."""
    target = "15 KB/s, 2.5%, 256 MB"
    deployment = Deployment(daemons_per_domain=DAEMONS_PER_DOMAIN,
                            workers_per_domain=1, endpoints_per_domain=16)
    try:
        publish(deployment)
        yield ("an owner with one worker, 8 daemons, 48 endpoints, no load",
               measure_usage(deployment, deployment.owner("north")), target)
    finally:
        deployment.stop()
    deployment = Deployment(daemons_per_domain=DAEMONS_PER_DOMAIN,
                            workers_per_domain=110, endpoints_per_domain=16,
                            run_time_ms=3600000)
    try:
        publish(deployment, SERVICE + SMALL_KIND)
        path = deployment.folder / "small.toml"
        for number in range(27):
            path.write_text('service = "planner"\nkind = "small"\n'
                            'members = 100\ndomain = "north"\n')
            deployment.cli("job", "submit", path, "--key", f"small-{number}")
        wait_until(lambda: sum(t["running"] for t in
                               deployment.tasks("north")) >= 2700, 30, 0.5)
        tasks = sum(t["running"] for t in deployment.tasks("north"))
        yield (f"owner of 110 workers with {tasks} tasks, 8 daemons",
               measure_usage(deployment, deployment.owner("north")), target)
    finally:
        deployment.stop()


MEASUREMENTS = {"latency": measure_latency, "restarts": measure_restarts,
                "versions": measure_versions, "owner": measure_owner,
                "control": measure_control}


def main():
    print("| measure | measured | target |\n|---|---|---|", flush=True)
    for name in sys.argv[1:] or MEASUREMENTS:
        for row in MEASUREMENTS[name]():
            print("| " + " | ".join(row) + " |", flush=True)


if __name__ == "__main__":
    main()
