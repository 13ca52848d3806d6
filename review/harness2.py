"""Starts a small site of the project's own processes on loopback, with stand-ins for the platform, the
operator, the workers and the clients.

Programs, command lines and settings come from deploy/system.toml and deploy/site.flags; the settings are
those of a small deployment (BOUNDS). Each machine has an address of its own in 127.0.0.0/8, since ports are
the same on all machines.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"

# The bounds of a small deployment.
BOUNDS = {"seedLagS": 3, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainTimeoutMs": 2500,
          "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2500, "revokeFailClosed": True,
          "revokeMs": 5000, "retryBudgetRatio": 0.9, "budgetWindowS": 10, "retryBudgetSlack": 56,
          "exposureShare": 0.15, "recoveryS": 12, "sessionTtlS": 5}
MEMORY_MB = {"front": 110, "core": 256}
RESTART_DELAY_S = 0.3  # of a process that has ended, by the platform

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt in the folder of a case."""

    def __init__(self, case_file):
        path = os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt")
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self("trouble: %s" % ("yes" if TROUBLE else "no"))

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (time.monotonic() - self.begin, text))
            self.file.flush()


def render(template, scope):
    """Fills in a template of settings as DEPLOY.md says: values, and sections of lists, tables and values."""
    def find(name, scopes):
        if name in (".", "@", ","):
            return next((item[name] for item in scopes if name in item), "")
        for item in scopes:
            value = item
            for key in name.split("."):
                if isinstance(value, list) and key.isdigit() and int(key) < len(value):
                    value = value[int(key)]
                elif isinstance(value, dict) and key in value:
                    value = value[key]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(item) for item in value)
        return str(value)

    def fill(text, scopes):
        section = re.search(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", text, re.DOTALL)
        if section:
            value = find(section.group(1), scopes)
            entries = []
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            elif value or value == 0 and value is not False:
                entries = [("", value)]
            middle = ""
            for position, (key, item) in enumerate(entries):
                inner = {".": item, "@": key, ",": "," if position + 1 < len(entries) else ""}
                middle += fill(section.group(2), [inner] + scopes)
            return fill(text[:section.start()], scopes) + middle + fill(text[section.end():], scopes)
        return re.sub(r"\{\{([^}]+)\}\}", lambda match: text_of(find(match.group(1), scopes)), text)

    return fill(template, [scope])


def call(method, address, path, body=None, headers=None, timeout=5):
    """Sends one request on a new connection. Returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, seconds, pause_s=0.05):
    """Returns whether the condition held within the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return True
        except OSError:
            pass
        time.sleep(pause_s)
    return False


class NotRun(Exception):
    """The case could not run."""


class Site:
    """Machines of the classes core and front, each with its process, and the platform's handling of them."""

    def __init__(self, record, controls=5, entries=1):
        self.record = record
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.roles = {role["on"]: role for role in roles.values()}
        self.folder = tempfile.mkdtemp(prefix="review-site-")
        self.ports = {"front": 8227, "ready": 8220, "control": 8229}
        self.network = self.free_network()
        self.controls = ["127.%d.1.%d" % (self.network, i + 1) for i in range(controls)]
        self.entries = ["127.%d.2.%d" % (self.network, i + 1) for i in range(entries)]
        self.zones = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
        self.processes, self.workers = {}, []
        self.peak_mb = {}
        self.watched = False

    def free_network(self):
        """Returns the second octet of addresses on which the ports are free."""
        for network in random.sample(range(16, 250), 200):
            try:
                for port in (*self.ports.values(), 7340, 7355, 9464):
                    with socket.socket() as probe:
                        probe.bind(("127.%d.1.1" % network, port))
                return network
            except OSError:
                continue
        raise NotRun("no free ports")

    def is_core(self, ip):
        return ip in self.controls

    def zone_of(self, ip):
        names = sorted(self.zones)
        return names[(int(ip.rsplit(".", 1)[1]) - 1) % len(names)]

    def settings(self, ip, first_start):
        """The fields that the platform gives to a process."""
        machine = "core" if self.is_core(ip) else "front"
        zone = self.zone_of(ip)
        listen = ({"control": "%s:%d" % (ip, self.ports["control"])} if machine == "core" else
                  {"front": "%s:%d" % (ip, self.ports["front"]),
                   "ready": "%s:%d" % (ip, self.ports["ready"])})
        return {"nodeName": machine + "-" + ip.rsplit(".", 1)[1], "machineClass": machine, "ip": ip,
                "zone": zone, "region": self.zones[zone], "zones": self.zones, "listen": listen,
                "internalPorts": [7340, 7355],
                "seeds": ["%s:%d" % (item, self.ports["control"]) for item in self.controls[:3]],
                "firstStart": first_start, "countsAsLoss": machine == "core",
                "limits": {"memoryMb": MEMORY_MB[machine], "maxFds": 4096},
                "dataDir": os.path.join(self.folder, "disk-" + ip) if machine == "core" else None,
                "heartbeatIntervalMs": 1200,
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS}

    def start(self, ip, first_start=False):
        machine = "core" if self.is_core(ip) else "front"
        role = self.roles[machine]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings(ip, first_start))
        path = os.path.join(self.folder, ip + ".settings")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)
        command = role["run"].split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.access(command[0], os.X_OK):
            raise NotRun(role["run"].split()[0] + " is not built")
        log = open(os.path.join(self.folder, ip + ".log"), "ab")
        self.processes[ip] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                 "FIREFLYROUTE_CONFIG": path})
        log.close()

    def start_all(self):
        """The first start: all machines, the disks are empty."""
        for ip in self.controls + self.entries:
            self.start(ip, first_start=True)

    def kill(self, ip, number=signal.SIGKILL):
        process = self.processes[ip]
        if process.poll() is None:
            process.send_signal(number)
            if number == signal.SIGKILL:
                process.wait()

    def wipe(self, ip):
        """The machine loses its disk."""
        shutil.rmtree(os.path.join(self.folder, "disk-" + ip), ignore_errors=True)

    def resident_mb(self, ip):
        try:
            with open("/proc/%d/status" % self.processes[ip].pid, encoding="utf-8") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1024 if found else 0
        except OSError:
            return 0

    def watch_memory(self, on_kill):
        """Kills a process of the core that uses more than `memoryMb`, and starts it again, as DEPLOY.md says
        of the platform."""
        self.watched = True

        def watch():
            while self.watched:
                for ip in self.controls:
                    used = self.resident_mb(ip)
                    self.peak_mb[ip] = max(self.peak_mb.get(ip, 0), used)
                    if used > MEMORY_MB["core"]:
                        self.kill(ip)
                        on_kill(ip, used)
                    if self.processes[ip].poll() is not None and self.watched:
                        time.sleep(RESTART_DELAY_S)
                        self.start(ip)
                time.sleep(0.05)

        threading.Thread(target=watch, daemon=True).start()

    def end(self):
        self.watched = False
        for worker in self.workers:
            worker.stop()
        time.sleep(RESTART_DELAY_S + 0.2 if self.peak_mb else 0)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def is_ready(self, ip):
        return call("GET", "%s:%d" % (ip, self.ports["ready"]), "/fireflyroute/ready", timeout=1)[0] == 200

    def log_lines(self, ip, part):
        with open(os.path.join(self.folder, ip + ".log"), encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if part in line]

    # The operator.

    def order(self, method, path, body=None, seconds=20, answer_s=1.0, note=None):
        """Sends an order as PROTOCOL.md says: to any node that serves control; follows a 307 twice; moves on to
        another node after a failure, a 5xx, a 408 or 429, or `answer_s` without a response (1 s, more for large
        bodies). Returns the first other response, or None when the time is over."""
        end = time.monotonic() + seconds
        pause = 0.1
        turn = 0
        while time.monotonic() < end:
            address = "%s:%d" % (self.controls[turn % len(self.controls)], self.ports["control"])
            turn += 1
            for _ in range(3):
                try:
                    status, headers, text = call(method, address, path, body, timeout=answer_s)
                except (OSError, http.client.HTTPException) as problem:
                    if note:
                        note("%s %s at %s: %s" % (method, path, address, type(problem).__name__))
                    break
                if note:
                    note("%s %s at %s: %d" % (method, path, address, status))
                if status == 307:
                    address = headers["Location"].split("/")[2]
                    continue
                if status < 500 and status not in (408, 429):
                    return status, text
                break
            time.sleep(pause)
            pause = min(pause * 1.5, 1)
        return None

    # A client.

    def request(self, method, path, key, host="desk.example", headers=None, entry=0, timeout=8,
                deadline_ms=6000, request_id=None):
        fields = {"Host": host, "Fireflyroute-Request-Id": request_id or "%016x" % random.getrandbits(64),
                  "Fireflyroute-Deadline-Ms": str(deadline_ms), "Authorization": "Token " + key}
        fields.update(headers or {})
        return call(method, "%s:%d" % (self.entries[entry], self.ports["front"]), path, headers=fields,
                    timeout=timeout)


class Worker:
    """A worker of one service: checks in, and answers one request at a time on each channel. Calls get a short
    body; requests that name a model get a stream of `events` events."""

    def __init__(self, site, name, service, confidence=None, events=12, event_gap_s=0.02):
        self.site, self.name, self.service = site, name, service
        self.confidence = confidence  # model -> Fireflyroute-Confidence
        self.events, self.event_gap_s = events, event_gap_s
        self.born, self.sequence = int(time.time() * 1000), 0
        self.runs = []  # (request id, method, path, model, tenant)
        self.stopped = False
        site.workers.append(self)
        ip = "127.%d.3.%d" % (site.network, len(site.workers))
        self.listener = socket.socket()
        self.listener.bind((ip, 0))
        self.listener.listen(128)
        self.address = "%s:%d" % (ip, self.listener.getsockname()[1])
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.check_in, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.listener.close()

    def check_in(self):
        turn = 0
        while not self.stopped:
            self.sequence += 1
            body = json.dumps({"service": self.service, "address": self.address, "zone": "zone-a",
                               "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                               "sequence": self.sequence, "born": self.born})
            for _ in self.site.controls:
                ip = self.site.controls[turn % len(self.site.controls)]
                try:
                    if call("POST", "%s:%d" % (ip, self.site.ports["control"]),
                            "/fireflyroute/Instances.Heartbeat/" + self.name, body, timeout=1)[0] // 100 == 2:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                turn += 1
            time.sleep(1.2)

    def accept(self):
        while not self.stopped:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = channel.makefile("rb")
        try:
            while True:
                line = reader.readline().decode("latin-1").split()
                if len(line) < 3:
                    return
                fields = {}
                while True:
                    text = reader.readline().decode("latin-1").strip()
                    if not text:
                        break
                    field, _, value = text.partition(":")
                    fields[field.lower()] = value.strip()
                reader.read(int(fields.get("content-length", 0)))
                self.answer(channel, line[0], line[1], fields)
        except OSError:
            pass
        finally:
            channel.close()

    def answer(self, channel, method, path, fields):
        identity = "Fireflyroute-Request-Id: %s\r\n" % fields.get("fireflyroute-request-id", "")
        if fields.get("fireflyroute-expect-instance", self.name) != self.name:
            channel.sendall(("HTTP/1.1 421 Misdirected\r\n%sFireflyroute-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n" % identity).encode())
            return
        model = fields.get("fireflyroute-model")
        self.runs.append((fields.get("fireflyroute-request-id"), method, path, model,
                          fields.get("fireflyroute-tenant")))
        if model is None:
            body = b"done by " + self.name.encode()
            channel.sendall(("HTTP/1.1 200 OK\r\n%sFireflyroute-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n"
                             % (identity, SEAL, len(body))).encode() + body)
            return
        confidence = (self.confidence or {}).get(model, 100)
        channel.sendall(("HTTP/1.1 200 OK\r\n%sFireflyroute-Response-Seal: %s\r\n"
                         "Fireflyroute-Confidence: %d\r\nFireflyroute-Weight-Versions: 1\r\n"
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                         % (identity, SEAL, confidence)).encode())
        for number in range(int(fields.get("last-event-id", 0)) + 1, self.events + 1):
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.event_gap_s)
        channel.sendall(b"0\r\n\r\n")


def route(name, path, kind, service, **more):
    return dict({"name": name, "host": "desk.example", "pathPrefix": path, "kind": kind, "timeoutMs": 6000,
                 "targetLatencyMs": 1000, "priority": 0, "service": service, "maxAttempts": 2,
                 "public": False}, **more)


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def run(case_file, case):
    """Runs `case(site, record)`, which returns HELD or BROKEN, and exits with the verdict."""
    record = Record(case_file)
    site = None
    verdict = NOT_RUN
    try:
        site = Site(record)
        verdict = case(site, record)
    except NotRun as problem:
        record("not run: %s" % problem)
    finally:
        if site:
            site.end()
    record("verdict: %s" % {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict])
    raise SystemExit(verdict)
