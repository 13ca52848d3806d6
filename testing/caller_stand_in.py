"""Callers that use an entry until its process is gone, over connections that they keep or open anew for
each request, and tell what became of each request. Used by tests of planned stops."""

import random
import socket
import threading
import time

FRONT_PORT = 8227


class Answer:
    """What came back for a request. `status` is 0 if no complete answer came."""

    def __init__(self, status=0, fields=None, body=b"", problem=""):
        self.status, self.fields, self.body, self.problem = status, fields or {}, body, problem


class Connection:
    """A connection of a caller. It carries one request after the other."""

    def __init__(self, ip, port=FRONT_PORT, timeout=20):
        self.socket = socket.create_connection((ip, port), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.received, self.is_open = b"", True

    def send(self, request):
        self.socket.sendall(request)

    def receive(self):
        """Reads one answer, or what is left of it."""
        try:
            while b"\r\n\r\n" not in self.received:
                self.read_more()
            head, self.received = self.received.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip()
                      for name, _, value in (line.partition(":") for line in lines[1:])}
            status = int(lines[0].split()[1])
            if status == 100:
                return self.receive()
            body = self.read_body(fields)
        except (OSError, ValueError) as problem:
            self.close()
            return Answer(problem=str(problem) or type(problem).__name__)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, fields, body)

    def read_body(self, fields):
        if fields.get("transfer-encoding", "").lower() != "chunked":
            return self.read_exactly(int(fields.get("content-length", 0)))
        body = b""
        while True:
            while b"\r\n" not in self.received:
                self.read_more()
            size, self.received = self.received.split(b"\r\n", 1)
            piece = self.read_exactly(int(size, 16) + 2)[:-2]
            if not piece:
                return body
            body += piece

    def read_exactly(self, size):
        while len(self.received) < size:
            self.read_more()
        data, self.received = self.received[:size], self.received[size:]
        return data

    def read_more(self):
        data = self.socket.recv(65536)
        if not data:
            raise OSError("closed by the entry")
        self.received += data

    def close(self):
        self.is_open = False
        self.socket.close()


def encode(method, path, identity, body=b"", **fields):
    """Returns the bytes of a request. A field that is None is left out."""
    head = {"Host": "desk.example", "Fireflyroute-Request-Id": identity,
            "Authorization": "Token k1", "Fireflyroute-Deadline-Ms": "6000",
            "Content-Length": str(len(body))}
    head.update({name.replace("_", "-"): value for name, value in fields.items()})
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % item for item in head.items() if item[1] is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Callers:
    """Callers that send requests that may run once at most, with random pauses, which their names give."""

    def __init__(self, site, ip, count, keeps_connections, pause_s, path="/refunds/1"):
        self.ip, self.keeps_connections, self.pause_s, self.path = ip, keeps_connections, pause_s, path
        self.site = site
        self.sent, self.lost = 0, []  # of those that a connection took; (identity, problem)
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.use, args=("%s-%d" % (ip, number),))
                        for number in range(count)]
        for thread in self.threads:
            thread.start()

    def use(self, name):
        connection, number, pauses = None, 0, random.Random(name)
        while not self.is_over.is_set():
            time.sleep(pauses.random() * 2 * self.pause_s)
            try:
                if not connection or not connection.is_open:
                    connection = Connection(self.ip)
            except OSError:
                return  # nobody listens any more
            number += 1
            identity = "%s-%d" % (name, number)
            self.sent += 1
            try:
                connection.send(encode("POST", self.path, identity))
                answer = connection.receive()
            except OSError as problem:
                connection.close()
                answer = Answer(problem=str(problem))
            if not answer.status:
                self.lost.append((identity, answer.problem))
            if not self.keeps_connections:
                connection.close()

    def join(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()
        return self

    def lost_after_run(self):
        """Those of the requests without an answer that a worker ran."""
        ran = {run[0] for worker in self.site.workers for run in worker.runs}
        return [item for item in self.lost if item[0] in ran]
