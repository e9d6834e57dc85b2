"""Stand-in for the platform's store: keys, leases, transactions, watches."""
import base64
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """The state of the store; each change increments the revision."""

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        threading.Thread(target=self._expire, daemon=True).start()

    def _write(self, key, value, lease=0):
        if value is None:
            if self.items.pop(key, None) is None:
                return
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            event = {"key": key, "value": value, "revision": self.revision,
                     "created": self.revision, "lease": lease}
            self.items[key] = event
        self.history.append(event)

    def put(self, key, text):
        """Writes a key as an operator or an executor; None removes it."""
        with self.lock:
            self.revision += 1
            value = None if text is None else base64.b64encode(
                text.encode()).decode()
            self._write(key, value)
            self.lock.notify_all()

    def compact(self):
        with self.lock:
            self.compacted_revision = self.revision

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [l for l, (_, end) in self.leases.items()
                              if end < now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        self.revision += 1
        for key in [k for k, item in self.items.items()
                    if item["lease"] == lease]:
            self._write(key, None)
        self.lock.notify_all()
        return True

    def transact(self, body):
        with self.lock:
            rows = body.get("expectedRevision", [])
            current = [self.items.get(row["key"]) for row in rows]
            for row, item in zip(rows, current):
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [i for i in current if i]}
            if any(put.get("lease") and put["lease"] not in self.leases
                   for put in body.get("puts", [])):
                return 404, {}
            self.revision += 1
            for put in body.get("puts", []):
                self._write(put["key"], put["value"], put.get("lease", 0))
            for key in body.get("remove", []):
                self._write(key, None)
            self.lock.notify_all()
            return 200, {"revision": self.revision}

    def lease(self, body):
        with self.lock:
            self.last_lease += 1
            seconds = body["ttlMs"] / 1000
            self.leases[self.last_lease] = (seconds,
                                            time.monotonic() + seconds)
            return 200, {"lease": self.last_lease, "ttlMs": body["ttlMs"]}

    def renew_lease(self, lease):
        with self.lock:
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][0]
            self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {"ttlMs": int(seconds * 1000)}

    def read(self, key):
        with self.lock:
            item = self.items.get(key)
            if item is None:
                return 404, {"atRevision": self.revision}
            return 200, dict(item, atRevision=self.revision)

    def list(self, prefix, after):
        with self.lock:
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:100]],
                         "hasMore": len(keys) > 100,
                         "atRevision": self.revision}

    def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                if after < self.compacted_revision:
                    return 410, {}
                events = [e for e in self.history if e["revision"] > after
                          and e["key"].startswith(prefix)]
                remaining = end - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events,
                                 "atRevision": self.revision}
                self.lock.wait(remaining)


class JsonHandler(BaseHTTPRequestHandler):
    """Sends the results of answer() as JSON over persistent connections."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def answer(self, verb, path, query, body):
        raise NotImplementedError

    def _serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        raw = self.rfile.read(size) if size else b""
        parts = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        status, reply = self.answer(self.command, parts.path, query,
                                    json.loads(raw) if raw else {})
        data = json.dumps(reply).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = _serve


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignores connection errors: callers are killed and cut off."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def serve(handler, port=0):
    """Starts a server on loopback; returns the server and its port."""
    server = Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, server.server_address[1]


def serve_store(store):
    class Handler(JsonHandler):
        def answer(self, verb, path, query, body):
            if path == "/kv-txn":
                return store.transact(body)
            if path == "/kv-lease":
                return store.lease(body)
            if path.startswith("/kv-keep/"):
                return store.renew_lease(int(path.rsplit("/", 1)[1]))
            if path.startswith("/kv-lease-end/"):
                with store.lock:
                    done = store._end_lease(int(path.rsplit("/", 1)[1]))
                return (200 if done else 404), {}
            if path == "/kv-key":
                return store.read(query["key"])
            if path == "/kv-range":
                return store.list(query["prefix"], query.get("after", ""))
            if path == "/kv-watch":
                return store.watch(query["prefix"], int(query["after"]),
                                   int(query["waitMs"]) / 1000)
            return 404, {}

    return serve(Handler)
