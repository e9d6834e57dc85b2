"""Demonstrates the system on a real deployment and checks its behaviour."""
import argparse
import json
import sys
import threading
import time

from deployment import Deployment, http_call, wait_until

SERVICE = """
[service]
name = "planner"
workspace = "orders"

[method.quote]
repeatable = true
deadline = "5s"

[method.order]
repeatable = false
deadline = "5s"

[job.plan]
max_members = 8
cores = 8
memory = "16GiB"
accelerators = 8
adjacency = "rack"
adjacency_required = true
expected_run_time = "2s"
checkpointable = true
"""
GANG = 4
RUN_TIME_MS = 4000


class Checker:
    """Prints the progress and collects the checks that failed."""

    def __init__(self):
        self.begin = time.monotonic()
        self.failed = []

    def log(self, text):
        print(f"[{time.monotonic() - self.begin:5.1f} s] {text}", flush=True)

    def check(self, text, passed, detail=""):
        self.log(f"  {'ok    ' if passed else 'FAILED'} {text}"
                 + (f" ({detail})" if detail else ""))
        if not passed:
            self.failed.append(text)
        return passed


def write_job_file(deployment, name, domain=None):
    """Writes the job file of a gang and returns its path."""
    path = deployment.folder / f"{name}.toml"
    lines = ['service = "planner"', 'kind = "plan"', f"members = {GANG}"]
    if domain:
        lines.append(f'domain = "{domain}"')
    path.write_text("\n".join(lines) + "\n")
    return path


def running_members(deployment, domain, job):
    """Returns the number of members of a job that are running."""
    return sum(1 for task in deployment.tasks(domain)
               if task["job"] == job and task["running"])


def publish(deployment, checker):
    checker.log("Publishing declarations of the operators and one service.")
    folder = deployment.write_declarations(SERVICE)
    code, shown = deployment.cli_json("publish", folder, "--author", "demo")
    checker.check("the configuration is in force on all six daemons",
                  code == 0 and shown.get("in_force") is True
                  and len(shown.get("confirmed", [])) == 6,
                  f"version {shown.get('version')}, exit code {code}")
    code, out, _ = deployment.cli("publish", folder)
    checker.check("publishing the same declarations again changes nothing",
                  code == 0 and "0 change(s)" in out)


def run_gang(deployment, checker):
    checker.log(f"Submitting a gang of {GANG} whole workers of one rack.")
    domain = deployment.domains[0]
    seen = {"most": 0, "partial_s": 0.0}
    done = threading.Event()

    def sample():
        while not done.is_set():
            tasks = [t for t in deployment.tasks(domain) if t["running"]]
            seen["most"] = max(seen["most"], len(tasks))
            time.sleep(0.05)

    watcher = threading.Thread(target=sample)
    watcher.start()
    code, job = deployment.cli_json(
        "job", "submit", write_job_file(deployment, "gang", domain), "--key",
        "first", "--wait", timeout=40)
    done.set()
    watcher.join()
    checker.check("the gang ran on all of its workers and succeeded",
                  code == 0 and job.get("phase") == "succeeded"
                  and seen["most"] == GANG,
                  f"{seen['most']} members at once, "
                  f"{job.get('phase')}")
    code, again = deployment.cli_json(
        "job", "submit", write_job_file(deployment, "gang", domain), "--key",
        "first")
    checker.check("a repeated key returns the same job and runs nothing",
                  code == 0 and again.get("id") == job.get("id")
                  and again.get("phase") == "succeeded")


def send_requests(deployment, checker):
    checker.log("Sending a request through each daemon.")
    body = deployment.folder / "quote.json"
    body.write_text('{"slates": 1200}')
    complete = 0
    for daemon in deployment.daemons:
        code, answer = deployment.cli_json(
            "call", "planner", "quote", "--data", body,
            servers=[daemon.listen])
        complete += code == 0 and answer.get("echo") == body.read_text()
    checker.check("each daemon returns a complete answer", complete == 6,
                  f"{complete} of 6")


def run_order_once(deployment, checker):
    checker.log("Sending a non-repeatable order through all daemons at the "
                "same time.")
    body = deployment.folder / "order.json"
    body.write_text('{"slates": 600}')
    codes = []

    def send(daemon):
        codes.append(deployment.cli(
            "call", "planner", "order", "--key", "order-17", "--data", body,
            servers=[daemon.listen])[0])

    threads = [threading.Thread(target=send, args=(daemon,))
               for daemon in deployment.daemons]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    counts = [json.loads(http_call(address, "/admin/counts")[1])
              for each in deployment.endpoints.values() for address in each]
    keys = sum(count["keys"] for count in counts)
    repeated_keys = sum(count["keys_run_twice"] for count in counts)
    checker.check("the order runs once",
                  keys == 1 and repeated_keys == 0 and 0 in codes,
                  f"run by {keys} endpoint(s), exit codes {sorted(codes)}")
    code, _, _ = deployment.cli("call", "planner", "order", "--data", body)
    checker.check("an order without a key is refused and not run", code == 3,
                  f"exit code {code}")


def take_domain_out(deployment, checker):
    domain = deployment.domains[1]
    checker.log(f"Taking the failure domain {domain} out of service.")
    code, shown = deployment.cli_json("domain", "out", domain)
    checker.check("the domain is out of service on all daemons",
                  code == 0 and shown.get("in_force") is True)
    code, job = deployment.cli_json(
        "job", "submit", write_job_file(deployment, "moved", domain))
    started = wait_until(lambda: deployment.tasks(domain), 2)
    checker.check("no task starts in the domain",
                  code == 0 and started is None,
                  f"the job is {job.get('phase')}")
    _, explanation = deployment.cli_json("job", "explain", job.get("id", "0"))
    checker.log(f"  job explain says: {explanation.get('reason')}: "
                f"{explanation.get('needs') or explanation.get('message')}")
    checker.log(f"Bringing {domain} back into service.")
    code, _ = deployment.cli_json("domain", "in", domain)
    elapsed = wait_until(
        lambda: running_members(deployment, domain, job.get("id")) == GANG, 6)
    checker.check("the waiting job starts", code == 0 and elapsed is not None,
                  f"after {elapsed:.1f} s" if elapsed is not None else "")


def kill_owner(deployment, checker):
    domain = deployment.domains[2]
    code, job = deployment.cli_json(
        "job", "submit", write_job_file(deployment, "survivor", domain),
        "--key", "survivor")
    wait_until(
        lambda: running_members(deployment, domain, job.get("id")) == GANG, 5)
    before = {(t["run"], t["member"]) for t in deployment.tasks(domain)}
    owner = deployment.owner(domain)
    if not checker.check("a gang runs and the owner of its domain is known",
                         owner is not None and len(before) == GANG):
        return
    checker.log(f"Killing {owner.name}, the owner of {domain}.")
    owner.kill()
    begin = time.monotonic()
    others = [d.listen for d in deployment.daemons if d is not owner]
    _, second = deployment.cli_json(
        "job", "submit", write_job_file(deployment, "next", domain), "--key",
        "next", servers=others)

    def placed():
        nonlocal second
        if "id" not in second:
            _, second = deployment.cli_json(
                "job", "submit", write_job_file(deployment, "next", domain),
                "--key", "next", servers=others)
        return "id" in second and running_members(deployment, domain,
                                                  second["id"])

    elapsed = wait_until(placed, 12)
    waited = time.monotonic() - begin
    after = {(t["run"], t["member"]) for t in deployment.tasks(domain)
             if t["job"] == job.get("id")}
    checker.check("the other daemon becomes the owner and starts tasks",
                  elapsed is not None, f"after {waited:.1f} s")
    checker.check("the running gang continues and no member is restarted",
                  not after or after == before)
    ended = wait_until(
        lambda: deployment.cli_json("job", "show", job["id"],
                                    servers=others)[1].get("phase")
        == "succeeded", 15, 0.3)
    checker.check("the gang succeeds under the new owner", ended is not None)
    owner.start()


def drain_daemon(deployment, checker):
    daemon = deployment.daemons[0]
    checker.log(f"Stopping {daemon.name} with requests in flight.")
    for addresses in deployment.endpoints.values():
        for address in addresses:
            http_call(address, "/admin/settings", "POST",
                      '{"service_time_us": 300000}')
    codes = []

    def send():
        codes.append(http_call(daemon.listen,
                               "/v1/services/planner/methods/quote",
                               "POST", "{}")[0])

    threads = [threading.Thread(target=send) for _ in range(20)]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    code = daemon.terminate()
    for thread in threads:
        thread.join()
    checker.check("the daemon exits after it has answered all requests",
                  code == 0 and codes == [200] * 20,
                  f"exit code {code}, {codes.count(200)} of 20 answered")


def run_demo(deployment, checker):
    publish(deployment, checker)
    for domain in deployment.domains:
        wait_until(lambda d=domain: deployment.owner(d) is not None, 10)
    checker.check(
        "each failure domain has an owner with all workers registered",
        wait_until(lambda: sum(
            each.get("workers", 0) for each in deployment.cli_json("status")[1]
            .get("domains", [])) == 24, 10, 0.2) is not None)
    run_gang(deployment, checker)
    send_requests(deployment, checker)
    run_order_once(deployment, checker)
    take_domain_out(deployment, checker)
    kill_owner(deployment, checker)
    drain_daemon(deployment, checker)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true",
                        help="leave the processes running")
    arguments = parser.parse_args()
    checker = Checker()
    checker.log("Starting a store, three failure domains with two daemons, "
                "eight workers and two endpoints each.")
    deployment = Deployment(run_time_ms=RUN_TIME_MS)
    try:
        run_demo(deployment, checker)
        print(deployment.cli("status")[1])
    finally:
        if arguments.keep:
            print(f"\nProcesses left running; logs in {deployment.folder}.")
            for process in deployment.processes:
                address = getattr(process, "listen", "")
                print(f"  {process.pid:>8}  {process.name:<18} {address}")
            servers = ",".join(d.listen for d in deployment.daemons)
            print(f"export BANYANWORKS_SERVERS={servers}")
        else:
            deployment.stop()
    if checker.failed:
        print(f"{len(checker.failed)} check(s) failed; logs in "
              f"{deployment.folder}")
        return 1
    checker.log("All checks passed.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
