"""A small site of real processes on loopback, for the scripts in review/11 to review/15.

Starts both roles with the run lines of deploy/system.toml and settings rendered from deploy/site.flags,
with the bounds of the site trasy-router. Workers, the operator and the clients are stand-ins that
follow the users' pages. Each VM has an address of its own in 127.0.0.0/8, since ports are the same on
all VMs. What is sent, answered and run goes to record.txt in the folder of the case.

    sys.exit(run(main))         # main(site, trouble) returns whether the rule was broken
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
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
CALLERS, READY, CONTROL, METRICS = 8227, 8220, 8229, 9464
INTERNAL_PORTS = [7340, 7355]
HOST = "ficu95.example"

BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
          "drainTimeoutMs": 2500, "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2500,
          "downgradeSlackMs": 250, "outerMs": 6000, "revokeFailClosed": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.9, "budgetWindowS": 10, "retryBudgetSlack": 56,
          "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "recoveryS": 12,
          "passMs": 250, "reuseWindowS": 8.9, "sessionTtlS": 5}
ZONES = {"praha-a": "praha", "brno-a": "brno", "ostrava-a": "ostrava"}


class CannotRun(Exception):
    """The case could not be set up: the script exits with 2."""


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says."""
    def lookup(name, scopes):
        if name == ".":
            return scopes[-1]["."]
        if name == "@":
            return scopes[-1]["@"]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(source, scopes):
        out, at = [], 0
        for match in re.finditer(r"\{\{([^{}]*)\}\}", source):
            if match.start() < at:
                continue
            out.append(source[at:match.start()])
            at, name = match.end(), match.group(1)
            if name[0] in "#^":
                end = source.index("{{/" + name[1:] + "}}", at)
                inner, value = source[at:end], lookup(name[1:], scopes)
                at = end + len("{{/" + name[1:] + "}}")
                if name[0] == "^":
                    out.append("" if value else fill(inner, scopes))
                elif isinstance(value, (dict, list)):
                    items = list(value.items() if isinstance(value, dict) else enumerate(value))
                    for number, (key, item) in enumerate(items):
                        last = number + 1 == len(items)
                        scope = {"@": key, ".": item, ",": "" if last else ","}
                        out.append(fill(inner.replace("{{,}}", scope[","]), scopes + [scope]))
                elif value:
                    out.append(fill(inner, scopes))
            else:
                out.append(text(lookup(name, scopes)))
        return "".join(out) + source[at:]

    return fill(template, [fields])


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file, self.lock, self.start = open(path, "w", encoding="utf-8"), threading.Lock(), time.monotonic()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def exchange(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection. Returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Worker:
    """A sound worker of one service: checks in, runs requests for `work_s` seconds, answers with a seal."""

    def __init__(self, site, name, ip, service, zone, work_s=0.03):
        self.site, self.name, self.service, self.zone, self.work_s = site, name, service, zone, work_s
        self.runs = []  # (time, request id, method and path, headers, body)
        self.lock = threading.Lock()
        self.born, self.sequence, self.stopped = int(time.time() * 1000), 0, threading.Event()
        self.listener = socket.create_server((ip, 0), backlog=128)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.check_in, daemon=True).start()

    def check_in(self):
        while not self.stopped.is_set():
            self.sequence += 1
            body = json.dumps({"service": self.service, "address": self.address, "zone": self.zone,
                               "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
                               "sequence": self.sequence, "born": self.born})
            for ip in random.sample(self.site.control, len(self.site.control)):
                try:
                    status = exchange("%s:%d" % (ip, CONTROL), "POST",
                                      "/fireflyroute/Instances.Heartbeat/" + self.name, body,
                                      {"Content-Type": "application/json"}, 1.0)[0]
                    if status < 300:
                        break
                except OSError:
                    pass  # the next one is called
            self.stopped.wait(1.2)

    def accept(self):
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while self.serve_one(connection, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            connection.close()

    def serve_one(self, connection, stream):
        line = stream.readline(65536)
        if not line:
            return False
        method, target, _ = line.decode().split(" ", 2)
        headers = {}
        while (field := stream.readline(65536).rstrip(b"\r\n")):
            name, value = field.decode("latin-1").split(":", 1)
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length") or 0))
        if target == "/health":
            self.reply(connection, 200, {"Fireflyroute-Instance-Id": self.name}, b"")
            return True
        request = headers.get("fireflyroute-request-id", "")
        echo = {"Fireflyroute-Request-Id": request}
        if not request:
            self.reply(connection, 400, {"Fireflyroute-Not-Executed": "1"}, b"")
            return True
        if headers.get("fireflyroute-expect-instance", self.name) != self.name:
            self.reply(connection, 421, echo, b"")
            return True
        with self.lock:
            self.runs.append((time.monotonic(), request, method + " " + target, headers, body))
        self.site.record.add("worker %s runs %s: %s %s, %d bytes of body, tenant %s" % (
            self.name, request, method, target, len(body), headers.get("fireflyroute-tenant")))
        time.sleep(self.work_s)
        self.reply(connection, 200, dict(echo, **{"Fireflyroute-Response-Seal": SEAL}),
                   b"done " + request.encode())
        return True

    @staticmethod
    def reply(connection, status, fields, body):
        head = "HTTP/1.1 %d Status\r\n" % status
        head += "".join("%s: %s\r\n" % item for item in fields.items())
        connection.sendall((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)

    def stop(self):
        self.stopped.set()
        self.listener.close()


class Site:
    """Control VMs and entries as processes of the project's own program."""

    def __init__(self, record, controls=5, entries=2):
        self.record, self.processes, self.workers, self.count = record, {}, [], 0
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        network = self.free_network(controls, entries)
        self.control = ["127.%d.1.%d" % (network, i + 1) for i in range(controls)]
        self.entries = ["127.%d.2.%d" % (network, i + 1) for i in range(entries)]
        self.network = network

    @staticmethod
    def free_network(controls, entries):
        ports = {1: (controls, [CONTROL, METRICS] + INTERNAL_PORTS),
                 2: (entries, [CALLERS, READY, METRICS] + INTERNAL_PORTS)}
        for network in random.sample(range(20, 250), 40):
            try:
                for part, (number, used) in ports.items():
                    for vm in range(number):
                        for port in used:
                            socket.create_server(("127.%d.%d.%d" % (network, part, vm + 1), port)).close()
                return network
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def settings(self, ip, first_start):
        control, index = ip in self.control, (self.control + self.entries).index(ip)
        zone = list(ZONES)[index % 3]
        listen = {"control": "%s:%d" % (ip, CONTROL)} if control else {
            "front": "%s:%d" % (ip, CALLERS), "ready": "%s:%d" % (ip, READY)}
        return {"nodeName": "vm-%d" % index, "role": "control" if control else "entry",
                "machineClass": "core" if control else "front",
                "serves": ["control" if control else "front"], "ip": ip, "zone": zone,
                "region": ZONES[zone], "zones": ZONES, "listen": listen,
                "internalPorts": INTERNAL_PORTS,
                "seeds": ["%s:%d" % (vm, CONTROL) for vm in self.control[:3]],
                "firstStart": first_start, "countsAsLoss": control,
                "limits": {"cpuShare": 0.6 if control else 0.25, "cpuCores": 1,
                           "memoryMb": 256 if control else 110, "maxFds": 4096 if control else 4100,
                           "linkMbps": 1000.0, "diskMb": 128 if control else 0},
                "dataDir": os.path.join(self.folder, ip) if control else None,
                "discovery": "registration", "entryMode": "vip", "heartbeatIntervalMs": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                              "stream", "tenants", "rollout"],
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "configMode": "highest"}

    def start_vm(self, ip, first_start=False):
        role = self.roles["control" if ip in self.control else "entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings(ip, first_start))
        path = os.path.join(self.folder, ip + ".local")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(self.folder, ip + ".log"), "ab") as log:
            self.processes[ip] = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                     "FIREFLYROUTE_CONFIG": path})

    def start(self):
        for ip in self.control:
            self.start_vm(ip, first_start=True)
        for ip in self.entries:
            self.start_vm(ip)

    def add_worker(self, service, zone="praha-a", **options):
        number = len(self.workers) + 1
        worker = Worker(self, "i-%d" % number, "127.%d.3.%d" % (self.network, number), service, zone,
                        **options)
        self.workers.append(worker)
        return worker

    def runs(self):
        return sorted(run for worker in self.workers for run in list(worker.runs))

    def operator(self, method, path, body=None, timeout=20.0):
        """An order of the operator, sent until a node answers it clearly. Returns status and body."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for ip in random.sample(self.control, len(self.control)):
                address, target = "%s:%d" % (ip, CONTROL), path
                for _ in range(3):
                    try:
                        status, headers, answer = exchange(address, method, target, body,
                                                           {"Content-Type": "application/json"}, 1.0)
                    except OSError:
                        break
                    if status == 307:
                        address, target = headers["Location"].split("//", 1)[1].split("/", 1)
                        target = "/" + target
                        continue
                    if status < 500:
                        self.record.add("operator: %s %s %s -> %d by %s" % (
                            method, path, (body or "")[:400], status, address))
                        return status, answer
                    break
            time.sleep(0.1)
        raise CannotRun("no clear answer to %s %s" % (method, path))

    def send_manifest(self, manifest):
        status, _ = self.operator("POST", "/fireflyroute/Config.Replace", json.dumps(manifest))
        return status

    def new_id(self):
        self.count += 1
        return "%016x" % (0x9c41d07be2a30000 + self.count)

    def request(self, entry, method, path, key=None, body=None, deadline_ms=3000, request_id=None,
                headers=None):
        """One request of a client on a new connection. Returns its id and the status, or None if the
        connection ended without an answer."""
        request_id = request_id or self.new_id()
        fields = {"Host": HOST, "Fireflyroute-Request-Id": request_id,
                  "Fireflyroute-Deadline-Ms": str(deadline_ms), **(headers or {})}
        if key:
            fields["Authorization"] = "Token " + key
        self.record.add("client sends %s: %s %s to %s, key %s" % (request_id, method, path, entry, key))
        try:
            status = exchange("%s:%d" % (entry, CALLERS), method, path, body, fields,
                              deadline_ms / 1000 + 0.5)[0]
        except (OSError, http.client.HTTPException) as failure:
            self.record.add("client: %s ends without an answer (%s)" % (request_id, failure))
            return request_id, None
        self.record.add("client: %s is answered %d" % (request_id, status))
        return request_id, status

    def wait(self, condition, what, seconds=30.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise CannotRun("timed out waiting for " + what)

    def is_ready(self, entry):
        return exchange("%s:%d" % (entry, READY), "GET", "/fireflyroute/ready")[0] == 200

    def end(self):
        for worker in self.workers:
            worker.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """Kills a process that uses more memory than its machine has, and starts it again, as DEPLOY.md says."""

    def __init__(self, site):
        self.site, self.ends, self.peak, self.done = site, {}, {}, threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def resident_mb(self, ip):
        with open("/proc/%d/status" % self.site.processes[ip].pid, encoding="ascii") as file:
            found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
        return int(found.group(1)) / 1024 if found else 0

    def watch(self):
        while not self.done.wait(0.02):
            for ip in self.site.control + self.site.entries:
                limit = self.site.settings(ip, False)["limits"]["memoryMb"]
                used = self.resident_mb(ip)
                self.peak[ip] = max(self.peak.get(ip, 0), used)
                if used > limit:
                    self.site.processes[ip].kill()
                    self.site.processes[ip].wait()
                    self.ends[ip] = self.ends.get(ip, 0) + 1
                    self.site.record.add("platform: the process of %s uses %.0f MB of %d and is killed" % (
                        ip, used, limit))
                    time.sleep(0.5)
                    self.site.start_vm(ip)

    def stop(self):
        self.done.set()
        self.thread.join()


def route(name, prefix, kind, service, **more):
    return dict({"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000,
                 "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 3,
                 "public": False}, **more)


def run(main, folder):
    """Runs a case. Returns the exit code of the script."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("TROUBLE=%d" % trouble)
    site = None
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "app", "fireflyroute")):
            raise CannotRun("the program of the deploy file is not built")
        site = Site(record)
        site.start()
        broken = main(site, trouble)
        verdict = 1 if broken else 0
        record.add("the rule was broken" if broken else "the rule held")
    except Exception:  # any failure of the set-up or of a stand-in: the case says nothing
        record.add("the case could not run: " + traceback.format_exc())
        traceback.print_exc()
        verdict = 2
    finally:
        if site:
            site.end()
    print({0: "held", 1: "broken", 2: "could not run"}[verdict])
    return verdict
