"""Stand-ins of the platform on loopback: machines, operator, clients and workers, for the scripts of
the cases in this folder.

    with Site(case_folder, entries=2) as site:
        site.configure(manifest)
        worker = site.worker("i-1", "ledger", answer)
        channel = site.channel(site.entries[0])
        response = channel.request("POST", "/refunds/1", headers, body)

Programs are started with the run lines of deploy/system.toml and with settings that are rendered from
the template of the deploy file. Each machine has its own address in 127.0.0.0/8. All messages go to
record.txt in the folder of the case.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FRONT, READY, CONTROL, LINKS = 8227, 8220, 8229, [7340, 7355]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a script
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_S = 1.2
ZONES = {"nairobi-a": "nairobi", "mombasa-a": "mombasa", "kisumu-a": "kisumu"}
# The bounds of the small sites.
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
          "drainTimeoutMs": 2500, "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2500,
          "downgradeSlackMs": 250, "outerMs": 6000, "revokeFailClosed": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.9, "budgetWindowS": 10, "retryBudgetSlack": 56,
          "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "recoveryS": 12,
          "passMs": 250, "reuseWindowS": 10, "sessionTtlS": 5}


class CannotRun(Exception):
    """The case could not be set up."""


def troubled():
    """Whether the disruption of the case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def wait_until(condition, description, seconds=30):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise CannotRun("timed out waiting for: " + description)


# --- Templates of settings ------------------------------------------------------------------------

TAG = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes, key="", is_last=True):
    """Fills in a template as the platform does."""
    out, position = "", 0
    while True:
        tag = TAG.search(template, position)
        if not tag:
            return out + template[position:]
        out += template[position:tag.start()]
        kind, name = tag.groups()
        position = tag.end()
        if kind in ("#", "^"):
            end = template.index("{{/" + name + "}}", position)
            inner, position = template[position:end], end + len(name) + 5
            value = look_up(name, scopes)
            present = value is not None and value is not False
            if kind == "^":
                out += "" if present else render(inner, scopes)
            elif isinstance(value, dict):
                items = list(value.items())
                for number, (item_key, item) in enumerate(items):
                    out += render(inner, scopes + [item], item_key, number + 1 == len(items))
            elif isinstance(value, list):
                for number, item in enumerate(value):
                    out += render(inner, scopes + [item], str(number), number + 1 == len(value))
            elif present:
                out += render(inner, scopes + [value])
        elif name == "@":
            out += key
        elif name == ",":
            out += "" if is_last else ","
        else:
            out += as_text(look_up(name, scopes))


# --- HTTP -----------------------------------------------------------------------------------------

class Closed(OSError):
    """The other side has closed the channel."""


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed("closed by the peer")
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def head(self):
        first, fields = self.line(), {}
        while True:
            line = self.line()
            if not line:
                return first, fields
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()

    def body(self, fields, on_piece=None):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(";")[0], 16)
                piece = self.exactly(size)
                self.line()
                if size == 0:
                    return body
                body += piece
                if on_piece:
                    on_piece(piece)
        return self.exactly(int(fields.get("content-length", 0)))


class Response:
    """`status` is 0 if the channel ended before the head, `complete` tells whether the whole body came."""

    def __init__(self):
        self.status, self.fields, self.body, self.complete, self.error = 0, {}, b"", False, ""


class Channel:
    """A channel of a client. It carries one request after the other."""

    def __init__(self, address, timeout=30):
        self.sock = socket.create_connection(address, timeout=5)
        self.sock.settimeout(timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)
        self.open = True

    def request(self, method, path, fields, body=b""):
        response = Response()
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        fields = dict(fields)
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        head += "".join("%s: %s\r\n" % item for item in fields.items()) + "\r\n"
        try:
            self.sock.sendall(head.encode() + body)
            first, response.fields = self.reader.head()
            response.status = int(first.split()[1])

            def keep(piece):
                response.body += piece

            body = self.reader.body(response.fields, keep)
            response.body = response.body or body
            response.complete = True
            if response.fields.get("connection", "").lower() == "close":
                self.close()
        except (OSError, ValueError) as problem:
            response.error = str(problem)
            self.close()
        return response

    def close(self):
        self.open = False
        self.sock.close()


def call(method, address, path, body=b"", timeout=2):
    """One request on a channel of its own."""
    channel = Channel(address, timeout)
    try:
        response = channel.request(method, path, {"Host": "%s:%d" % address,
                                                  "Content-Type": "application/json"}, body)
    finally:
        channel.close()
    if not response.status:
        raise Closed(response.error)
    return response


# --- Workers --------------------------------------------------------------------------------------

class Request:
    def __init__(self, connection, first, fields, body):
        self.connection, self.fields, self.body = connection, fields, body
        self.method, self.path = first.split()[:2]
        self.id = fields.get("fireflyroute-request-id", "")


class Worker:
    """A sound worker. `answer(worker, request)` is called for each request that it runs; it writes to
    request.connection and returns whether the channel is kept. Checks of liveness, requests for another
    worker and requests beyond its slots are answered here."""

    def __init__(self, site, name, ip, service, answer, version="v1", slots=64):
        self.site, self.name, self.service, self.answer = site, name, service, answer
        self.version, self.slots, self.state = version, slots, "ready"
        self.sequence, self.born, self.running = 0, int(time.time() * 1000), 0
        self.lock = threading.Lock()
        self.server = socket.create_server((ip, 0), backlog=256)
        self.address = "%s:%d" % (ip, self.server.getsockname()[1])
        self.stopped = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.check_in, daemon=True).start()

    def accept(self):
        while not self.stopped.is_set():
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                first, fields = reader.head()
                request = Request(connection, first, fields, reader.body(fields))
                if not self.respond(request):
                    return
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def respond(self, request):
        if request.path == "/health":
            return reply(request, 200, {"Fireflyroute-Instance-Id": self.name})
        if request.fields.get("fireflyroute-expect-instance", self.name) != self.name:
            return reply(request, 421, {"Fireflyroute-Not-Executed": "1"})
        with self.lock:
            if self.running >= self.slots:
                return reply(request, 503, {"Fireflyroute-Not-Executed": "1"})
            self.running += 1
        self.site.record("worker %s runs %s %s" % (self.name, request.id, request.path))
        self.site.runs.append((time.monotonic(), request.id, request.path, self.name, request.fields))
        try:
            return self.answer(self, request)
        finally:
            with self.lock:
                self.running -= 1

    def check_in(self):
        turn = 0
        while not self.stopped.is_set():
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": "nairobi-a",
                    "version": self.version, "slots": self.slots, "state": self.state,
                    "coldRemainingMs": 0, "stage": "combined", "models": [],
                    "sequence": self.sequence, "born": self.born}
            for _ in range(len(self.site.controls)):
                ip = self.site.controls[turn % len(self.site.controls)]
                try:
                    if call("POST", (ip, CONTROL), "/fireflyroute/Instances.Heartbeat/" + self.name,
                            json.dumps(body).encode(), timeout=1).status // 100 == 2:
                        break
                except OSError:
                    pass
                turn += 1
            self.stopped.wait(HEARTBEAT_S)

    def stop(self):
        self.stopped.set()
        self.server.close()


def head_of(request, status, fields):
    text = "HTTP/1.1 %d Status\r\nFireflyroute-Request-Id: %s\r\n" % (status, request.id)
    return (text + "".join("%s: %s\r\n" % item for item in fields.items()) + "\r\n").encode()


def reply(request, status, fields, body=b""):
    """A complete answer. The channel is kept."""
    fields = dict(fields)
    fields["Content-Length"] = str(len(body))
    request.connection.sendall(head_of(request, status, fields) + body)
    return True


def run_call(work_s):
    """Answers of an application: 200 after some work."""
    def answer(worker, request):
        time.sleep(work_s)
        return reply(request, 200, {"Fireflyroute-Response-Seal": SEAL},
                     ("%s by %s" % (request.id, worker.name)).encode())
    return answer


def event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def stream(request, events, gap_s, fields=None, first=1):
    """A stream of events in chunks, with a pause after each. The channel is kept."""
    more = {"Fireflyroute-Response-Seal": SEAL, "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}
    more.update(fields or {})
    request.connection.sendall(head_of(request, 200, more))
    for number in range(first, events + 1):
        piece = event(number)
        request.connection.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
        time.sleep(gap_s)
    request.connection.sendall(b"0\r\n\r\n")
    return True


# --- The platform ---------------------------------------------------------------------------------

class Site:
    """A small installation: 5 core machines and some front machines as real processes."""

    def __init__(self, case, entries=2, controls=5):
        self.case = os.path.abspath(case)
        self.folder = tempfile.mkdtemp(prefix="fireflyroute-review-")
        self.network = self.free_network()
        self.controls = ["127.%d.1.%d" % (self.network, i + 1) for i in range(controls)]
        self.entries = ["127.%d.2.%d" % (self.network, i + 1) for i in range(entries)]
        self.processes, self.workers, self.runs = {}, [], []
        self.started_at, self.requests = time.monotonic(), 0
        self.lock = threading.Lock()
        self.file = open(os.path.join(self.case, "record.txt"), "w", encoding="utf-8")
        self.record("disruption: %s" % ("yes" if troubled() else "no"))

    @staticmethod
    def free_network():
        for network in list(range(40 + os.getpid() % 100, 250)) + list(range(40, 250)):
            try:
                for part, port in ((1, CONTROL), (2, FRONT), (1, LINKS[0])):
                    socket.create_server(("127.%d.%d.1" % (network, part), port)).close()
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def record(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s\n" % (time.monotonic() - self.started_at, text))
                self.file.flush()

    def __enter__(self):
        try:
            for ip in self.controls + self.entries:
                self.start(ip, first_start=True)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for worker in self.workers:
            worker.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record("end")
        self.file.close()

    def settings(self, ip, first_start):
        is_control = ip in self.controls
        zone = list(ZONES)[(int(ip.rsplit(".", 1)[1]) - 1) % 3]
        return {"nodeName": ("core-" if is_control else "front-") + ip, "ip": ip, "zone": zone,
                "region": ZONES[zone], "zones": ZONES, "machineClass": "core" if is_control else "front",
                "listen": ({"control": "%s:%d" % (ip, CONTROL)} if is_control else
                           {"front": "%s:%d" % (ip, FRONT), "ready": "%s:%d" % (ip, READY)}),
                "internalPorts": LINKS, "seeds": ["%s:%d" % (c, CONTROL) for c in self.controls[:3]],
                "firstStart": first_start, "countsAsLoss": is_control,
                "dataDir": os.path.join(self.folder, ip) if is_control else None,
                "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS}

    def start(self, ip, first_start=False):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            deploy = tomllib.load(file)
        machine_class = "core" if ip in self.controls else "front"
        role = next(r for r in deploy["roles"].values() if r["on"] == machine_class)
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), [self.settings(ip, first_start)])
        path = os.path.join(self.folder, ip + ".flags")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FIREFLYROUTE_CONFIG"] = path
        command = role["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(command[0] + " is not built")
        with open(os.path.join(self.folder, ip + ".log"), "a", encoding="utf-8") as log:
            self.processes[ip] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT,
                                                  env=environment)
        self.record("platform starts %s" % ip)

    def signal(self, ip, number):
        self.record("platform sends %s to %s" % (signal.Signals(number).name, ip))
        self.processes[ip].send_signal(number)

    def end_status(self, ip):
        return self.processes[ip].poll()

    def log(self, ip):
        with open(os.path.join(self.folder, ip + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def worker(self, name, service, answer, **options):
        ip = "127.%d.3.%d" % (self.network, len(self.workers) + 1)
        worker = Worker(self, name, ip, service, answer, **options)
        self.workers.append(worker)
        return worker

    # The operator.

    def order(self, method, path, body=b"", seconds=20):
        """Sends a call to one control machine after the other, follows 307 twice, and returns the first
        response that is no 5xx."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for ip in self.controls:
                address, target = (ip, CONTROL), path
                for _ in range(3):
                    try:
                        response = call(method, address, target, body, timeout=2)
                    except OSError as problem:
                        self.record("operator: %s %s at %s: %s" % (method, path, address[0], problem))
                        break
                    if response.status == 307:
                        host, _, rest = response.fields["location"].split("//", 1)[1].partition("/")
                        name, _, port = host.partition(":")
                        address, target = (name, int(port)), "/" + rest
                        continue
                    if response.status < 500:
                        self.record("operator: %s %s at %s: %d" % (method, path, address[0],
                                                                    response.status))
                        return response
                    break
            time.sleep(0.2)
        raise CannotRun("no answer to " + path)

    def configure(self, manifest):
        response = self.order("POST", "/fireflyroute/Config.Replace", json.dumps(manifest).encode())
        if response.status != 200:
            raise CannotRun("manifest %d is refused with %d" % (manifest["version"], response.status))

    # The load balancer and the clients.

    def is_ready(self, ip):
        try:
            return call("GET", (ip, READY), "/fireflyroute/ready", timeout=1).status == 200
        except OSError:
            return False

    def wait_until_ready(self):
        for ip in self.entries:
            wait_until(lambda ip=ip: self.is_ready(ip), ip + " is ready")

    def channel(self, ip, timeout=30):
        return Channel((ip, FRONT), timeout)

    def fields(self, key="key-1", deadline_ms=20000):
        """Fields of a client's request, with an id of its own."""
        with self.lock:
            self.requests += 1
            number = self.requests
        return {"Host": "desk.example", "Fireflyroute-Request-Id": "%016x" % (0xabc000000 + number),
                "Fireflyroute-Deadline-Ms": str(deadline_ms), "Authorization": "Token " + key}

    def send(self, channel, method, path, body=b"", **options):
        fields = self.fields(**options)
        identity = fields["Fireflyroute-Request-Id"]
        self.record("client sends %s %s %s" % (identity, method, path))
        response = channel.request(method, path, fields, body)
        self.record("client got %s: status %d, %s, %d bytes %s"
                    % (identity, response.status, "complete" if response.complete else "not complete",
                       len(response.body), response.error))
        return identity, response

    def runs_of(self, identity):
        return [run for run in self.runs if run[1] == identity]

    def wait_until_served(self, method, path, ips=None):
        """Waits until each front machine serves the path."""
        for ip in ips or self.entries:
            def is_served(ip=ip):
                channel = self.channel(ip, timeout=5)
                try:
                    return channel.request(method, path, self.fields(deadline_ms=3000)).status == 200
                finally:
                    channel.close()
            wait_until(is_served, "%s serves %s" % (ip, path))


def route(name, path, kind, service, **more):
    return dict({"name": name, "host": "desk.example", "pathPrefix": path, "kind": kind,
                 "timeoutMs": 20000, "targetLatencyMs": 1000, "priority": 1, "service": service,
                 "maxAttempts": 1 if kind == "unsafe" else 3, "public": False, "sticky": False,
                 "resumable": False, "targetGapMs": 600}, **more)


def manifest(version, routes, services, **more):
    return dict({"version": version, "routes": routes,
                 "services": [service if isinstance(service, dict) else
                              {"name": service, "healthPath": "/health", "maxConnections": 370,
                               "protocol": "h1", "tls": False} for service in services],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                 "tenants": [{"name": "duka", "apiKeys": ["key-1"]}]}, **more)


def main(case, run):
    """Runs a case: `run(case)` returns the texts of what broke the rule."""
    # The processes are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = run(case)
    except Exception as problem:  # whatever it is, the case says nothing about the rule
        print("could not run: %r" % problem)
        sys.exit(NOT_RUN)
    with open(os.path.join(case, "record.txt"), "a", encoding="utf-8") as file:
        for text in broken or ["the rule held"]:
            print(text)
            file.write("result: %s\n" % text)
    sys.exit(BROKEN if broken else HELD)
