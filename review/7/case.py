"""A request that crashes each worker that begins to run it comes again and again while the service has little
other traffic."""

import json
import os
import random
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness2 import (BOUNDS, BROKEN, HELD, LIMITS, TROUBLE, NotRun, Worker, call, route, run,  # noqa: E402
                      wait_until)

KEY = "key-1"
DEADLY = "/lookup/deadly"
BACK_AFTER_S = 3.0  # "the worker is back after some seconds"
ORDINARY_PER_S = 2.0
REPEATED_EACH_S = 1.0  # the deadly request
WORK_S = 0.2  # of an ordinary request
OBSERVED_S = 45.0
ALLOWED_RETRIES = 3  # of the rule

MANIFEST = json.dumps({
    "version": 1,
    "routes": [route("lookup", "/lookup/", "safe", "ledger", timeoutMs=3000, targetLatencyMs=300),
               route("refund", "/refunds/", "unsafe", "ledger", timeoutMs=3000, targetLatencyMs=300, maxAttempts=1)],
    "services": [{"name": "ledger", "healthPath": "/health", "maxConnections": 110}],
    "limits": LIMITS, "tenants": [{"name": "shop", "apiKeys": [KEY]}]})


class MortalWorker(Worker):
    """A worker that crashes when it begins to run the deadly request, and starts again as a new incarnation with
    a new id and address."""

    def __init__(self, site, name, service, record):
        self.record, self.channels, self.starts = record, set(), 1
        self.first_name, self.crashes, self.interrupted = name, [], []
        self.running = {}  # channel -> (request id, path)
        self.lock = threading.Lock()
        super().__init__(site, name, service)

    def accept(self):
        while not self.stopped:
            listener = self.listener
            try:
                channel, _ = listener.accept()
            except OSError:
                if self.stopped or listener is self.listener:
                    time.sleep(0.02)
                continue
            with self.lock:
                self.channels.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def answer(self, channel, method, path, fields):
        mine = fields.get("fireflyroute-expect-instance") == self.name
        identity = fields.get("fireflyroute-request-id")
        if mine and path == DEADLY:
            self.runs.append((identity, method, path, None, None))
            self.crash(identity)
            raise OSError("crashed")
        if mine:
            self.running[channel] = (identity, path)
            time.sleep(WORK_S)
            self.running.pop(channel, None)
        super().answer(channel, method, path, fields)

    def crash(self, identity):
        self.crashes.append((time.monotonic(), identity))
        host = self.address.split(":")[0]
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            channels, self.channels = self.channels, set()
        self.interrupted += [item for item in self.running.values()]
        for channel in channels:
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.down_until = time.monotonic() + BACK_AFTER_S
        self.record("worker %s crashes on request %s" % (self.name, identity))

        def restart():
            time.sleep(BACK_AFTER_S)
            listener = socket.socket()
            listener.bind((host, 0))
            listener.listen(128)
            self.address = "%s:%d" % (host, listener.getsockname()[1])
            self.starts += 1
            self.name = "%s-%d" % (self.first_name, self.starts)
            self.born, self.sequence = int(time.time() * 1000), 0
            self.listener = listener
            self.check_in_once()
            self.record("worker %s is back" % self.name)

        threading.Thread(target=restart, daemon=True).start()

    down_until = 0.0

    def check_in_once(self):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                           "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence,
                           "born": self.born})
        for ip in self.site.controls:
            try:
                if call("POST", "%s:%d" % (ip, self.site.ports["control"]),
                        "/fireflyroute/Instances.Heartbeat/" + self.name, body, timeout=1)[0] // 100 == 2:
                    return
            except OSError:
                pass

    def check_in(self):
        while not self.stopped:
            if time.monotonic() >= self.down_until:
                self.check_in_once()
            time.sleep(1.2)


def case(site, record):
    site.start_all()
    workers = [MortalWorker(site, "i-%d" % (i + 1), "ledger", record) for i in range(3)]
    answer = site.order("POST", "/fireflyroute/Config.Replace", MANIFEST)
    record("manifest 1: %s" % (answer,))
    if not wait_until(lambda: site.request("GET", "/lookup/1", KEY)[0] == 200, 20):
        raise NotRun("the site does not serve")
    time.sleep(2)
    end = time.monotonic() + OBSERVED_S
    answers, retries = [], []

    def ordinary():
        number = 0
        while time.monotonic() < end:
            number += 1
            threading.Thread(target=one, args=(number,), daemon=True).start()
            time.sleep(random.uniform(0.5, 1.5) / ORDINARY_PER_S)

    def one(number):
        try:
            status = site.request("POST", "/refunds/%d" % number, KEY, deadline_ms=3000, timeout=4,
                                  request_id="refund-%d" % number)[0]
        except OSError as problem:
            status = type(problem).__name__
        answers.append((number, status))

    client = threading.Thread(target=ordinary)
    client.start()
    number = 0
    while TROUBLE and time.monotonic() < end:
        number += 1
        identity = "deadly-%d" % number
        sent = time.monotonic()
        try:
            status = site.request("GET", DEADLY, KEY, deadline_ms=3000, timeout=4, request_id=identity)[0]
        except OSError as problem:
            status = type(problem).__name__
        reached = [worker.name for worker in workers for item in worker.runs if item[0] == identity]
        retries.append((sent, identity, reached))
        record("request %s: %s; workers that began to run it: %s" % (identity, status, reached))
        time.sleep(max(0, sent + REPEATED_EACH_S - time.monotonic()))
    client.join()
    time.sleep(4)
    crashes = sorted(item for worker in workers for item in worker.crashes)
    late = []
    if len(crashes) >= 3:
        after = crashes[2][0] + BOUNDS["contactMs"] / 1000
        late = [identity for sent, identity, reached in retries if sent > after and reached]
        record("third crash at %.3f s" % (crashes[2][0] - record.begin))
    record("crashes: %d; ordinary requests: %s" % (len(crashes), {
        status: sum(item[1] == status for item in answers) for status in {item[1] for item in answers}}))
    record("ordinary requests that ran on a worker as it crashed: %s"
           % [item for worker in workers for item in worker.interrupted])
    record("retries sent later than contactMs after the third crash that reached workers: %d (allowed: %d): %s"
           % (len(late), ALLOWED_RETRIES, late))
    return BROKEN if len(late) > ALLOWED_RETRIES else HELD


run(__file__, case)
