"""A TCP proxy on loopback that injects delays, stalls, refusals and resets."""
import random
import socket
import struct
import threading
import time


class Proxy:
    """Forwards connections to a port.

    Modes: pass; delay: 0.2 s per chunk; silent: hold all data; oneway: hold the
    responses; refuse: reset new connections.
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.connections = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self, share=1.0):
        """Resets each open connection with the probability share."""
        for pair in list(self.connections):
            if random.random() < share:
                self._drop(pair)

    def _drop(self, pair):
        self.connections.discard(pair)
        for end in pair:
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
                end.close()
            except OSError:
                pass

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.mode == "refuse":
                self._drop((client,))
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                self._drop((client,))
                continue
            pair = (client, server)
            self.connections.add(pair)
            for source, sink, is_response in ((client, server, False),
                                       (server, client, True)):
                threading.Thread(target=self._forward, daemon=True,
                                 args=(pair, source, sink, is_response)
                                 ).start()

    def _forward(self, pair, source, sink, is_response):
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "oneway" and
                                                is_response):
                    time.sleep(0.02)
                if self.mode == "delay":
                    time.sleep(0.2)
                sink.sendall(data)
        except OSError:
            pass
        self._drop(pair)
