"""Starts and stops a complete deployment of real processes on loopback.

Used by the demonstration and by the measurements. Only processes that were
started here are signalled, by their ids.
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20


def build_folder():
    """Returns the build folder; BANYANWORKS_BUILD selects another preset."""
    return ROOT / "build" / os.environ.get("BANYANWORKS_BUILD", "release")


def free_ports(count):
    """Returns distinct ports that are currently unused."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def http_call(address, path, verb="GET", body=None, headers=None, timeout=10):
    """Calls a server; returns (status, body), or (0, error message)."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=verb,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, ValueError) as error:
        return 0, str(error)


def wait_until(check, timeout_s, interval_s=0.05):
    """Polls until check() is true; returns the seconds elapsed, or None."""
    begin = time.monotonic()
    while time.monotonic() - begin < timeout_s:
        if check():
            return time.monotonic() - begin
        time.sleep(interval_s)
    return None


class Process:
    """A process of the deployment with its log file."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = [str(argument) for argument in command]
        self.log = folder / f"{name}.log"
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, start_new_session=True)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            os.kill(self.child.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self, timeout_s=40):
        """Sends SIGTERM; returns the exit code, or None after the timeout."""
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None


class Daemon(Process):
    """A banyanworksd process and its addresses."""

    def __init__(self, name, domain, listen, internal, command, folder):
        self.domain = domain
        self.listen = listen
        self.internal = internal
        super().__init__(name, command, folder)


class Deployment:
    """Store, workers, endpoints and daemons of several failure domains."""

    def __init__(self, domains=("north", "middle", "south"),
                 daemons_per_domain=2, workers_per_domain=8,
                 endpoints_per_domain=2, run_time_ms=1500,
                 service_time_us=2000, slots=8, daemon_flags=()):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="banyanworks-"))
        self.domains = list(domains)
        self.processes = []
        self.daemons = []
        self.endpoints = {}
        self.workers = {}
        self.slots = slots
        self.options = dict(
            workers=workers_per_domain, endpoints=endpoints_per_domain,
            run_time=run_time_ms, service_time=service_time_us)
        bin_folder = build_folder()
        self.daemon_program = bin_folder / "banyanworksd"
        self.standin = bin_folder / "banyanworks-standin"
        self.cli_program = bin_folder / "banyanworks"
        self.start_store()
        self.start_daemons(daemons_per_domain, daemon_flags)
        for domain in self.domains:
            self.start_domain(domain)

    def add_process(self, process):
        self.processes.append(process)
        return process

    def start_store(self):
        port, = free_ports(1)
        self.store = f"127.0.0.1:{port}"
        self.add_process(Process(
            "store", [self.standin, "store", "--listen", self.store],
            self.folder))
        self.wait_for_server(self.store, "/admin/counters")

    def start_daemons(self, per_domain, flags):
        if isinstance(per_domain, int):
            per_domain = [per_domain] * len(self.domains)
        names = [(f"{domain}-{index + 1}", domain)
                 for domain, count in zip(self.domains, per_domain)
                 for index in range(count)]
        ports = free_ports(2 * len(names))
        internals = [f"127.0.0.1:{port}" for port in ports[::2]]
        plan = [(*names[index], f"127.0.0.1:{ports[2 * index + 1]}", internal)
                for index, internal in enumerate(internals)]
        for name, domain, listen, internal in plan:
            command = [self.daemon_program, "--listen", listen,
                       "--internal-listen", internal, "--domain", domain,
                       "--store", self.store, *flags]
            for peer in internals:
                if peer != internal:
                    command += ["--peer", peer]
            self.daemons.append(self.add_process(Daemon(
                name, domain, listen, internal, command, self.folder)))
        for daemon in self.daemons:
            self.wait_for_server(daemon.listen, "/healthz")

    def start_domain(self, domain):
        ports = free_ports(1 + self.options["endpoints"])
        entries = []
        for daemon in self.daemons:
            if daemon.domain == domain:
                entries += ["--entry", daemon.internal]
        self.workers[domain] = f"127.0.0.1:{ports[0]}"
        self.add_process(Process(
            f"{domain}-workers",
            [self.standin, "worker", "--listen", self.workers[domain],
             "--domain", domain, "--count", self.options["workers"],
             "--run-time-ms", self.options["run_time"], *entries],
            self.folder))
        self.endpoints[domain] = [f"127.0.0.1:{p}" for p in ports[1:]]
        command = [self.standin, "endpoint", "--slots", self.slots,
                   "--service-time-us", self.options["service_time"]]
        for address in self.endpoints[domain]:
            command += ["--listen", address]
        if self.endpoints[domain]:
            self.add_process(
                Process(f"{domain}-endpoints", command, self.folder))

    def wait_for_server(self, address, path):
        if wait_until(lambda: http_call(address, path, timeout=1)[0] == 200,
                      START_TIMEOUT_S) is None:
            raise RuntimeError(f"{address}{path} does not answer; logs "
                               f"in {self.folder}")

    def write_declarations(self, service):
        """Writes the declarations of the operators and of one service.

        Returns the folder.
        """
        folder = self.folder / "declarations"
        (folder / "service").mkdir(parents=True, exist_ok=True)
        lines = []
        for domain in self.domains:
            lines += [f"[domain.{domain}]", 'region = "demo"', ""]
        lines += ["[workspace.orders]", "share_weight = 2.0", "",
                  "[[workspace.orders.guarantee]]", 'level = "worker"',
                  "count = 2", f'domain = "{self.domains[0]}"', "",
                  "[workspace.research]", "share_weight = 1.0", "",
                  "[endpoints.planner]", f"slots = {self.slots}",
                  "connections = 64", "", "[endpoints.planner.addresses]"]
        for domain in self.domains:
            if self.endpoints[domain]:
                lines.append(
                    f"{domain} = {json.dumps(self.endpoints[domain])}")
        (folder / "banyanworks.toml").write_text("\n".join(lines) + "\n")
        (folder / "service" / "banyanworks.toml").write_text(service)
        return folder

    def cli(self, *arguments, servers=None, timeout=60):
        """Runs the command line; returns (exit code, stdout, stderr).

        The exit code is None if the program exceeded the timeout.
        """
        command = [self.cli_program]
        for server in servers or [d.listen for d in self.daemons]:
            command += ["--server", server]
        try:
            done = subprocess.run(
                [str(argument) for argument in [*command, *arguments]],
                capture_output=True, text=True, timeout=timeout,
                stdin=subprocess.DEVNULL)
        except subprocess.TimeoutExpired:
            return None, "", f"did not exit within {timeout} s"
        return done.returncode, done.stdout.strip(), done.stderr.strip()

    def cli_json(self, *arguments, **options):
        """Runs the command line; returns the exit code and the JSON output."""
        code, out, _ = self.cli("--output", "json", *arguments, **options)
        try:
            return code, json.loads(out)
        except ValueError:
            return code, {}

    def tasks(self, domain):
        """Returns the tasks that the workers of a domain hold or run."""
        status, body = http_call(self.workers[domain], "/admin/tasks")
        return json.loads(body) if status == 200 else []

    def owner(self, domain):
        """Returns the daemon that owns a failure domain; None if unknown."""
        _, status = self.cli_json("status")
        for each in status.get("domains", []):
            if each.get("id") != domain:
                continue
            for daemon in self.daemons:
                if daemon.internal == each.get("owner"):
                    return daemon
        return None

    def stop(self):
        """Stops all processes of the deployment."""
        for process in reversed(self.processes):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.child.wait(8)
            except subprocess.TimeoutExpired:
                process.kill()
