"""CONFIG: a machine that was suspended accepts a key that was taken away."""
import json
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import (BOUNDS, HOST, KEY, PREFIX, SERVICE, TROUBLE,  # noqa: E402
                     CouldNotRun, main)

JOB = "7a21d94b36f85c0e"
SUSPENDED_S = 7.5
REVOKED_AFTER_S = 1.5


def publish(world, keys):
    world.version += 1
    world.store.put("op/config", json.dumps({
        "version": world.version,
        "routes": [{"name": "batch", "host": HOST, "prefix": PREFIX,
                    "kind": "unsafe", "timeoutMs": 3000,
                    "targetLatencyMs": 3000, "service": SERVICE,
                    "priority": 2, "maxAttempts": 4, "stretch": 3.0,
                    "public": False}],
        "services": [{"name": SERVICE, "admissionCheck": False}],
        "limits": {"maxBodyBytes": 262144},
        "tenants": [{"name": "a", "apiKeys": keys, "guaranteed": {"gpu": 8}}]}))
    world.record.write(f"operator: version {world.version} with the keys "
                       f"{keys} is acknowledged")


def case(make):
    world = make(work=lambda task: 1.0)
    if not world.wait(world.owner, 10) or not world.submit(
            world.nodes[0], "00000000000000aa",
            [{"count": 1, "cpu": 1000, "estimatedMs": 1000}]):
        raise CouldNotRun("the deployment does not accept jobs")
    publish(world, [KEY, "key-b"])
    time.sleep(3)
    node = next(n for n in world.nodes if n is not world.owner())
    # The client holds an open connection, as clients do; an open connection
    # stays with its daemon.
    client = socket.create_connection(("127.0.0.1", node.port))
    if TROUBLE:
        node.signal(signal.SIGSTOP)
    start = time.monotonic()
    time.sleep(REVOKED_AFTER_S)
    publish(world, [KEY])
    revoked = time.monotonic()
    # Sent later than revocationMs after the acknowledgement.
    time.sleep(BOUNDS["revocationMs"] / 1000 + 0.3)
    body = json.dumps({"specification": JOB, "steps": [
        {"count": 1, "cpu": 1000, "memoryLimitMb": 64, "estimatedMs": 1000}]})
    client.settimeout(3.0)
    client.sendall((f"POST {PREFIX}{JOB} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Api-Key: key-b\r\nDeadline-Milliseconds: 3000\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
    sent = time.monotonic()
    world.record.write(f"client: POST {PREFIX}{JOB} with key-b to {node.name}, "
                       f"{1000 * (sent - revoked):.0f} ms after the "
                       f"acknowledgement")
    if TROUBLE:
        threading.Timer(max(0, start + SUSPENDED_S - time.monotonic()),
                        lambda: node.signal(signal.SIGCONT)).start()
    try:
        answer = client.recv(65536).decode()
    except OSError as error:
        answer = repr(error)
    status = answer.split("\r\n")[0]
    world.record.write(f"client: answer {status!r}")
    time.sleep(3)
    started = [s for s in world.starts if s[1].startswith(JOB)]
    world.record.write(f"tasks of the job that started: {started}")
    if " 200 " in status:
        return (f"CONFIG: a request with a revoked key, sent "
                f"{sent - revoked:.2f} s after the acknowledgement, is answered "
                f"with {status!r}; tasks started: {len(started)}")
    return None


main(FOLDER, case)
