"""A soak of planned work with real processes: callers of all kinds use a site while its processes are
stopped, restarted and reloaded, workers come and go, and the configuration changes. Nothing fails
unplanned, so no request may be lost, run twice, run after a refusal, or get another one's answer.
All choices come from the seed. A failure is printed with it, the timeline of the planned work, and the
log lines of the process that took the request.

    python3 testing/planned_soak.py --seeds 1-50
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import hashlib
import json
import random
import signal
import socket
import sys
import threading
import time
import types

from caller_stand_in import Answer, Connection, encode
from platform_stand_in import EVENT_COUNT, SEAL, Site, call, wait_until

GRACE_S = 8
FULL_GRACE_S = 7.2  # a process that runs so long after SIGTERM has used up its grace
STREAM_START_S = 3  # streams that begin later than this after SIGTERM may not be broken
IDLE_S = 0.2  # a request on a connection that was idle for longer may cross its close
DRAIN_S = 4  # of a worker, until it deregisters, and again until it ends
APPLY_S = 5  # after the acknowledgement of a version, its keys are used
LARGE_BYTES = 300000
REFUSALS = (408, 421, 429, 503)
FIRST_NETWORK, NETWORKS = 80, 38  # second octets of the addresses


def free_network(seed):
    """Returns a network on which no other site runs."""
    for number in (seed, seed + NETWORKS // 3, seed + NETWORKS // 2):
        network = FIRST_NETWORK + number % NETWORKS
        try:
            with socket.create_server(("127.%d.1.1" % network, 8229)):
                return network
        except OSError:
            pass
    raise AssertionError("no network is free")


def echo_of(path, identity, body):
    """Returns the body of the answer: the id of the request and a digest of its body."""
    filler = b"x" * LARGE_BYTES if path.endswith("large") else b""
    return filler + ("%s %s" % (identity, hashlib.sha1(body).hexdigest())).encode()


def echo(worker, request):
    """Work of a worker, which takes some time if the path says so."""
    worker.record_run(request)
    identity = request.headers["Fireflyroute-Request-Id"]
    if request.path.endswith("late"):
        time.sleep(random.Random(identity).uniform(0.3, 3))
    worker.reply(request, 200, {"Fireflyroute-Response-Seal": SEAL},
                 echo_of(request.path, identity, request.body))
    return True


WORK = {"echo": echo, "late": echo, "large": echo, "slow": "slow"}  # by the end of the path


class Request:
    """A request, and what its caller has seen of it. Times are those of the monotonic clock."""

    def __init__(self, identity, kind, ip, path, body=b""):
        self.identity, self.kind, self.ip, self.path, self.body = identity, kind, ip, path, body
        self.is_stream = path.startswith(("/letters/", "/drafts/"))
        self.idle_s = None  # time without a byte on its connection before it; None on a new one
        self.begun_at, self.ended_at = time.monotonic(), None
        self.sent_at = None  # None if it was not sent whole
        self.received_bytes = 0  # of its answer
        self.extra_bytes = b""  # after its answer, with no request waiting
        self.is_untaken = False  # behind an answer that announced the end of the connection
        self.answer = Answer(problem="not sent")

    def expected_body(self):
        if self.is_stream:
            return "".join("id: %d\ndata: token-%d %s\n\n" % (number, number, self.identity)
                           for number in range(1, EVENT_COUNT + 1)).encode()
        return echo_of(self.path, self.identity, self.body)

    def __str__(self):
        return "%s %s: begun %.3f sent %.3f ended %.3f idle %s status %d %r received %d" % (
            self.kind, self.identity, self.begun_at, self.sent_at or 0, self.ended_at, self.idle_s,
            self.answer.status, self.answer.problem, self.received_bytes)


class SoakConnection(Connection):
    """A connection that records when it was used last. It reads slowly if it has a pause."""

    def __init__(self, ip, pause_s=0.0):
        super().__init__(ip)
        self.total_bytes, self.last_byte_at, self.requests, self.pause_s = 0, 0, 0, pause_s

    def read_more(self):
        if self.pause_s:
            time.sleep(self.pause_s)
        data = self.socket.recv(8192 if self.pause_s else 65536)
        if not data:
            raise OSError("closed by the entry")
        if not (self.pause_s and self.received):  # for the entry, a slow reader is idle meanwhile
            self.last_byte_at = time.monotonic()
        self.received += data
        self.total_bytes += len(data)


@dataclasses.dataclass
class Kind:
    """How callers of a kind use their connections. A request is sent in `pieces`, with pauses."""

    path: str
    method: str = "POST"
    keeps: bool = True
    pause_s: float = 0.04
    batch: int = 1
    pieces: int = 1
    reads_s: float = 0
    version: str = "1.1"
    fields: dict = dataclasses.field(default_factory=dict)
    expects: bool = False
    body_bytes: int = 20
    is_long: bool = False


MODEL = {"Fireflyroute_Model": "*", "Fireflyroute_Token_Counts": "10,12",
         "Fireflyroute_Deadline_Ms": "15000"}
STREAM = {"Fireflyroute_Deadline_Ms": "15000"}
KINDS = {
    "safe-kept": Kind("/calls/echo", "GET"),
    "safe-fresh": Kind("/calls/echo", "GET", keeps=False),
    "unsafe-kept": Kind("/refunds/echo"),
    "unsafe-fresh": Kind("/refunds/echo", keeps=False),
    "unsafe-late": Kind("/refunds/late", is_long=True),
    "letter": Kind("/letters/1", "GET", fields=STREAM),
    "letter-slow": Kind("/letters/slow", "GET", pause_s=0.3, fields=STREAM, is_long=True),
    "draft": Kind("/drafts/1", "GET", pause_s=0.1, fields=MODEL),
    "draft-slow": Kind("/drafts/slow", "GET", keeps=False, pause_s=0.3, fields=MODEL, is_long=True),
    "upload": Kind("/refunds/echo", pieces=8, body_bytes=20000),
    "upload-fresh": Kind("/refunds/echo", keeps=False, pieces=8, body_bytes=20000),
    "reader": Kind("/calls/large", "GET", reads_s=0.02),
    "pipeline": Kind("/refunds/echo", batch=3),
    "old": Kind("/refunds/echo", keeps=False, version="1.0"),
    "old-kept": Kind("/refunds/echo", version="1.0", fields={"Connection": "keep-alive"}),
    "continue": Kind("/refunds/echo", expects=True, body_bytes=4000),
    "idle": Kind("/refunds/echo", pause_s=1.5),
}


class Caller(threading.Thread):
    """Uses one entry until the soak is over, and comes back after each restart."""

    def __init__(self, soak, kind_name, ip, number):
        super().__init__(daemon=True)
        self.soak, self.kind_name, self.kind, self.ip = soak, kind_name, KINDS[kind_name], ip
        self.name = "%d-%s-%s-%d" % (soak.seed, kind_name, ip, number)
        self.random = random.Random(self.name)
        self.requests, self.connection = [], None
        self.pause_s = self.kind.pause_s * self.random.choice((0.1, 1, 1, 2))

    def run(self):
        while not self.soak.is_over.wait(self.random.random() * 2 * self.pause_s):
            try:
                if not self.connection or not self.connection.is_open:
                    self.connection = SoakConnection(self.ip, self.kind.reads_s)
            except OSError:
                self.connection = None
                self.soak.is_over.wait(0.05)  # nobody listens
                continue
            self.use()
            if not self.kind.keeps:
                self.connection.close()
        if self.connection:
            self.connection.close()

    def use(self):
        batch = []
        for _ in range(self.kind.batch):
            identity = "%s-%d" % (self.name, len(self.requests) + 1)
            body = b"" if self.kind.method == "GET" else self.random.randbytes(self.kind.body_bytes)
            batch.append(Request(identity, self.kind_name, self.ip, self.kind.path, body))
            self.requests.append(batch[-1])
        try:
            self.send(batch)
        except OSError as problem:
            for request in batch:
                request.answer = Answer(problem="send: %s" % problem)
        self.receive(batch)

    def send(self, batch):
        connection, kind = self.connection, self.kind
        is_used = connection.requests > 0
        connection.requests += len(batch)
        key = self.random.choice([key for at, key in self.soak.keys if at < time.monotonic()])
        fields = dict(kind.fields, Authorization="Token " + key,
                      Expect="100-continue" if kind.expects else None)
        data = b"".join(encode(kind.method, request.path, request.identity, request.body, **fields)
                        for request in batch)
        if kind.version == "1.0":
            data = data.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
        rest = batch[0].body if kind.expects else b""
        data = data[:len(data) - len(rest)]
        size = -(-len(data) // kind.pieces)
        for start in range(0, len(data), size):
            connection.send(data[start:start + size])
            if start == 0 and is_used:
                for request in batch:
                    request.idle_s = time.monotonic() - connection.last_byte_at
            if kind.pieces > 1:
                time.sleep(self.random.random() * 0.2)
        if rest:
            while b"\r\n\r\n" not in connection.received:
                connection.read_more()
            if not connection.received.startswith(b"HTTP/1.1 100 "):
                return  # it is answered already
            connection.received = connection.received.split(b"\r\n\r\n", 1)[1]
            connection.send(rest)
        for request in batch:
            request.sent_at = time.monotonic()

    def receive(self, batch):
        connection, announces_end = self.connection, False
        for request in batch:
            if not connection.is_open:
                request.is_untaken = announces_end
                request.answer = Answer(problem="not answered")
            else:
                before = connection.total_bytes - len(connection.received)
                request.answer = connection.receive()
                request.received_bytes = connection.total_bytes - before
                announces_end = request.answer.fields.get("connection", "").lower() == "close"
            request.ended_at = time.monotonic()
        request.extra_bytes = connection.received
        if not request.answer.status or request.sent_at is None:
            connection.close()


class Soak:
    """One run. `failures` has the texts of what went wrong."""

    def __init__(self, seed, seconds, network=None):
        self.seed, self.seconds, self.random = seed, seconds, random.Random("plan %d" % seed)
        self.site = Site(network or free_network(seed), entries=self.random.choice((2, 3)))
        self.has_long = self.random.random() < 0.5
        self.failures, self.counts, self.timeline = [], collections.Counter(), []
        self.is_over, self.lock = threading.Event(), threading.Lock()
        self.stops, self.stopping, self.restarts = [], {}, {}  # by IP
        self.starting = set()  # a signal before the process handles any ends it
        self.version, self.settings = 1, {"routes": 0, "timeoutMs": 6000, "idleTimeoutMs": 15000,
                                       "keys": 1, "weight": 99}
        self.tasks, self.retired, self.keys = [], set(), [(0, "k1")]

    def note(self, text):
        self.timeline.append("%.3f %s" % (time.monotonic(), text))

    def fail(self, text, ip=None, identity=None):
        self.failures.append((text, ip, identity))

    def run(self):
        with self.site:
            try:
                self.play()
            except AssertionError as problem:
                self.fail("%s" % problem)
            return self.report()

    def play(self):
        self.site.configure(1, draft_fields={"timeoutMs": 15000})
        for service in ("ledger", "llm", "ledger-next") * 2:
            self.add_worker(service)
        fields = {name.replace("_", "-"): value for name, value in MODEL.items()}
        for number in range(len(self.site.entries)):
            for path in ("/calls/echo", "/drafts/1"):
                wait_until(lambda number=number, path=path: self.site.request(
                    path, entry=number, headers=fields)[0] == 200, path + " is served")
        wait_until(lambda: self.site.voters() == 3, "all control VMs vote")
        begun_at = time.monotonic()
        # Without long requests processes exit as soon as they are idle.
        kinds = [name for name, kind in KINDS.items() if self.has_long or not kind.is_long]
        callers = [Caller(self, name, ip, number) for ip in self.site.entries for name in kinds
                   for number in range(self.random.choice((0, 1, 1, 2)))]
        callers.append(threading.Thread(target=self.supervise, daemon=True))
        for caller in callers:
            caller.start()
        self.plan(begun_at)
        self.is_over.set()
        for thread in callers:
            thread.join()
        for thread in self.tasks:
            thread.join()
        time.sleep(3.2)  # workers finish what nobody waits for any more
        self.check([request for caller in callers[:-1] for request in caller.requests])

    # The planned work.

    def plan(self, begun_at):
        actions = (self.stop_entries,) * 4 + (self.stop_control,) * 2 + (self.reload,) * 2 + (
            self.change_settings, self.change_config, self.change_config, self.exchange_seeds,
            self.drain_worker)
        time.sleep(0.5)
        while time.monotonic() < begun_at + self.seconds:
            self.random.choice(actions)()
            time.sleep(self.random.random() ** 2 * 2)

    def start_task(self, target, *arguments):
        def run():
            try:
                target(*arguments)
            except (AssertionError, OSError) as problem:
                self.fail("%s: %r" % (target.__name__, problem))

        self.tasks.append(threading.Thread(target=run, daemon=True))
        self.tasks[-1].start()

    def running(self, ips):
        with self.lock:
            return [ip for ip in ips if ip not in {*self.starting, *self.stopping, *self.restarts}]

    def stop(self, ip):
        with self.lock:
            self.note("SIGTERM " + ip)
            self.stopping[ip] = types.SimpleNamespace(
                ip=ip, at=time.monotonic(), ended_at=None)
            self.stops.append(self.stopping[ip])
            self.site.kill(ip, signal.SIGTERM)

    def stop_entries(self):
        ips = self.running(self.site.entries)
        for ip in self.random.sample(ips, self.random.randint(0, len(ips))):
            self.stop(ip)
            time.sleep(self.random.choice((0, 0, self.random.random() * 0.5)))

    def stop_control(self):
        """Stops one control VM at a time: without a majority the site can't change."""
        ended = [stop.ended_at for stop in self.stops if stop.ip in self.site.control]
        ips, wants_leader = self.site.control[:], self.random.random() < 0.5
        self.random.shuffle(ips)
        if len(self.running(ips)) == len(ips) and all(
                at and at < time.monotonic() - 4 for at in ended):
            self.stop(([ip for ip in ips if wants_leader
                       == self.control_accepts("GET", ip, "Config.Read")] or ips)[0])

    @staticmethod
    def control_accepts(method, ip, path, body=None):
        try:
            return call(method, ip + ":8229", "/fireflyroute/" + path, body, timeout=1)[0] == 200
        except OSError:
            return False

    def reload(self, ip=None):
        ip = ip or self.random.choice(self.site.control + self.site.entries)
        with self.lock:
            if self.site.processes[ip].poll() is None and ip not in self.starting:
                self.note("SIGHUP " + ip)
                self.site.kill(ip, signal.SIGHUP)

    def change_settings(self):
        """The processes notice the change of their file by themselves."""
        self.site.more_flags["site_retry_ratio"] = str(self.random.randint(5, 20))
        for ip in self.random.sample(self.site.control + self.site.entries, 2):
            self.note("settings of %s: %s" % (ip, self.site.more_flags))
            self.site.write_settings(ip)

    def exchange_seeds(self):
        seeds = self.site.control[:]
        self.random.shuffle(seeds)
        self.site.seeds = seeds[:self.random.choice((1, 2, 3))]
        self.note("seeds %s" % self.site.seeds)
        for ip in self.site.control + self.site.entries:
            self.site.write_settings(ip)
            if self.random.random() < 0.7:
                self.reload(ip)

    def change_config(self):
        kind = self.random.choice(list(self.settings))
        self.settings[kind] = {
            "routes": lambda: self.random.randint(0, 40),
            "timeoutMs": lambda: self.random.randint(4000, 9000),
            "idleTimeoutMs": lambda: self.random.choice((1000, 2500, 6000, 15000)),
            "keys": lambda: self.settings["keys"] + 1,
            "weight": lambda: self.random.randint(1, 99)}[kind]()
        self.version += self.random.randint(1, 3)
        self.start_task(self.configure, self.version, dict(self.settings))

    def configure(self, version, settings):
        def change(config):
            routes = config["routes"]
            for route in routes[:2]:  # calls
                route["timeoutMs"] = settings["timeoutMs"]
            routes += [dict(routes[0], name="more-%d" % number, pathPrefix="/more-%d/" % number)
                       for number in range(settings["routes"])]
            config["services"].append({"name": "ledger-next"})
            config["limits"] = {"idleTimeoutMs": settings["idleTimeoutMs"]}
            del routes[0]["service"]
            routes[0]["trafficSplit"] = [
                {"service": "ledger", "weight": settings["weight"]},
                {"service": "ledger-next", "weight": 100 - settings["weight"]}]

        self.note("version %d: %s" % (version, settings))
        keys = ["k%d" % number for number in range(1, settings["keys"] + 1)]
        answer = self.site.configure(version, keys=keys, draft_fields={"timeoutMs": 15000},
                                     change=change)[1]
        self.note("version %d: %s" % (version, answer))
        self.keys.append((time.monotonic() + APPLY_S, keys[-1]))
        if answer[0] != 200:
            self.fail("version %d was refused: %s" % (version, answer))

    def add_worker(self, service):
        name = "i-%d" % (len(self.site.workers) + 1)
        self.note("new worker %s of %s" % (name, service))
        self.site.worker(name, service, faults=dict(WORK), names_requests=True)

    def drain_worker(self):
        service = self.random.choice(("ledger", "ledger-next", "llm"))
        old = [worker for worker in self.site.workers
               if worker.service == service and worker.name not in self.retired]
        self.add_worker(service)
        self.retired.add(old[0].name)
        self.start_task(self.retire, old[0], self.random.uniform(0.5, 2))

    def retire(self, worker, pause_s):
        time.sleep(pause_s)
        self.note("%s drains" % worker.name)
        worker.state = "draining"
        worker.send_heartbeat(self.site.control[0])
        time.sleep(DRAIN_S)
        worker.stopped.set()  # no more heartbeats
        time.sleep(0.3)
        body, path = json.dumps({"born": worker.started_at_ms}), "Instances.Deregister/" + worker.name
        wait_until(lambda: any(self.control_accepts("POST", ip, path, body)
                               for ip in self.site.control), worker.name + " to deregister")
        self.note("%s has deregistered" % worker.name)
        time.sleep(DRAIN_S)
        worker.stop()

    def supervise(self):
        """Watches the ends of processes and restarts those that were stopped."""
        restart_random = random.Random("restarts %d" % self.seed)
        while not self.is_over.is_set() or self.stopping or self.restarts:
            time.sleep(0.01)
            with self.lock:
                for ip, process in self.site.processes.items():
                    if ip not in self.restarts:
                        self.watch(ip, process, restart_random)
                for ip, due in list(self.restarts.items()):
                    if time.monotonic() >= due:
                        del self.restarts[ip]
                        self.note("start " + ip)
                        self.starting.add(ip)
                        self.site.start(ip)
                        self.start_task(self.await_start, ip, restart_random.random() < 0.4)

    def watch(self, ip, process, restart_random):
        stop, code, now = self.stopping.get(ip), process.poll(), time.monotonic()
        if code is None:
            if stop and now > stop.at + GRACE_S:
                self.fail("the process runs longer than its grace", ip)
                process.kill()
                process.wait()
            return
        self.note("%s has ended: %d%s" % (ip, code, " after %.2f s" % (now - stop.at) if stop else ""))
        if stop:
            self.stopping.pop(ip).ended_at = now
        if code or not stop:
            self.fail("the process ended %s: %d" % ("with a failure" if stop else "by itself", code), ip)
        self.restarts[ip] = now + restart_random.choice((0, 0.2, 1.5))

    def await_start(self, ip, reloads):
        port = 8229 if ip in self.site.control else 8227
        wait_until(lambda: socket.create_connection((ip, port)).close() is None, "a listener",
                   pause_s=0.002)
        self.starting.discard(ip)
        if reloads:
            self.reload(ip)

    # The checks.

    def check(self, requests):
        runs = collections.Counter(run[0] for worker in self.site.workers for run in worker.runs)
        for identity in set(runs) - {request.identity for request in requests}:
            if not identity.startswith("r"):  # sent before the soak
                self.fail("a worker ran what nobody sent", identity=identity)
        for request in requests:
            self.counts["requests"] += 1
            self.counts["status %d" % request.answer.status] += 1
            problem = self.problem_of(request, runs[request.identity])
            if problem:
                self.fail("%s, runs %d: %s" % (problem, runs[request.identity], request),
                          request.ip, request.identity)

    def problem_of(self, request, runs):
        """Returns what is wrong with a request, or None."""
        answer, named = request.answer, request.answer.fields.get("fireflyroute-request-id")
        if request.path.startswith("/refunds/") and runs > 1:
            return "ran more than once"
        if named not in (None, request.identity):
            return "answer of another request (%s)" % named
        if request.extra_bytes and answer.status:
            return "bytes after the answer: %r" % request.extra_bytes[:80]
        if answer.status in REFUSALS:
            return "refused and ran" if runs else None
        if answer.status == 200:
            return None if named and answer.body == request.expected_body() else "another answer"
        if answer.status:
            self.counts["failure %d" % answer.status] += 1
            return None if answer.status in (502, 504) else "proper request denied"
        if request.sent_at is None or request.is_untaken:
            self.counts["not taken" if request.is_untaken else "not sent whole"] += 1
            return "ran although it was not taken" if runs else None
        if request.is_stream and request.received_bytes:
            self.counts["broken streams"] += 1
            return None if self.may_break(request) else "broken stream"
        if request.received_bytes or runs or (request.idle_s or 0) <= IDLE_S:
            return "no complete answer"
        self.counts["crossed an idle close"] += 1
        return None

    def may_break(self, request):
        return any(stop.ip == request.ip and stop.ended_at - stop.at >= FULL_GRACE_S
                   and request.begun_at <= stop.at + STREAM_START_S
                   and abs(request.ended_at - stop.ended_at) < 1 for stop in self.stops)

    def report(self):
        stops = collections.Counter("entries" if stop.ip in self.site.entries else "control VMs"
                                    for stop in self.stops)
        lines = ["seed %d: %d failures, stops %s, versions up to %d, %s" % (
            self.seed, len(self.failures), dict(stops), self.version, dict(sorted(self.counts.items())))]
        lines += ["FAILED seed %d: %s" % (self.seed, text) for text, _, _ in self.failures[:20]]
        if self.failures:
            identities = {identity for _, _, identity in self.failures[:20] if identity}
            lines += ["log of %s: %s" % (ip, line) for ip in self.site.processes
                      for line in self.site.log(ip)
                      if line.get("kind") == "process" or line.get("id") in identities]
            lines.append("timeline, %.3f is %.3f:" % (time.monotonic(), time.time()))
            lines += self.timeline
        return "\n".join(lines)


def run_seed(seed, seconds, network=None):
    """Returns whether the run passed, and its text."""
    soak = Soak(seed, seconds, network)
    text = soak.run()
    return not soak.failures, text


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="N or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=25, help="planned work of each seed")
    parser.add_argument("--jobs", type=int, default=3, help="seeds at the same time")
    options = parser.parse_args()
    first, last = (options.seeds.split("-") * 2)[:2]
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(run_seed, seed, options.seconds)
                for seed in range(int(first), int(last) + 1)]
        for run in concurrent.futures.as_completed(runs):
            passed, text = run.result()
            failed += not passed
            print(text, flush=True)
    print("%d of %d seeds failed" % (failed, len(runs)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
