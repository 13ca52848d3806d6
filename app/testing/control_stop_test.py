"""Process tests of planned stops of control VMs: operators and endpoints use one of them until its process
is gone."""

import itertools
import json
import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from caller_stand_in import Answer, Connection, encode  # noqa: E402
from platform_stand_in import Site, call, wait_until  # noqa: E402

CONTROL_PORT = 8229
GRACE_PERIOD_S = 8
READ_PATH = "/fireflyroute/Config.Read"


class ControlCallers:
    """Operators that change and read the configuration, and endpoints that report themselves, at one
    control VM and without pause, each kind over connections that it keeps and over new ones. They end
    when nobody listens any more."""

    def __init__(self, ip, configuration):
        self.ip, self.configuration = ip, configuration
        self.versions = itertools.count(configuration["version"] + 1)
        self.acknowledged = [configuration["version"]]
        self.statuses = {}  # (kind, status): count
        self.lost = []  # requests that a connection took and that got no complete answer
        self.lock = threading.Lock()
        kinds = (self.change, self.read, self.report)
        self.threads = [threading.Thread(target=self.use, args=(kind, keeps_connection, number))
                        for kind in kinds for keeps_connection in (False, True) for number in (1, 2)]
        for thread in self.threads:
            thread.start()

    def change(self, _):
        with self.lock:
            version = next(self.versions)
        return version, "POST", "/fireflyroute/Config.Replace", dict(self.configuration,
                                                                     version=version)

    def read(self, _):
        return None, "GET", READ_PATH, None

    def report(self, name):
        return None, "POST", "/fireflyroute/Instances.Heartbeat/" + name, {
            "service": "ledger", "address": self.ip + ":9", "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": time.monotonic_ns(), "born": 1}

    def use(self, kind, keeps_connection, number):
        name = "%s-%s-%d" % (kind.__name__, "kept" if keeps_connection else "new", number)
        connection = None
        for count in itertools.count():
            version, method, path, content = kind(name)
            body = json.dumps(content).encode() if content else b""
            try:
                if not connection or not connection.is_open:
                    connection = Connection(self.ip, CONTROL_PORT)
            except OSError:
                return  # nobody listens any more
            try:
                connection.send(encode(method, path, "%s-%d" % (name, count), body))
                answer = connection.receive()
            except OSError as problem:
                connection.close()
                answer = Answer(problem=str(problem))
            with self.lock:
                key = (kind.__name__, answer.status)
                self.statuses[key] = self.statuses.get(key, 0) + 1
                if not answer.status:
                    self.lost.append((name, count, answer.problem))
                elif answer.status == 200 and version:
                    self.acknowledged.append(version)
            if not keeps_connection:
                connection.close()

    def join(self):
        for thread in self.threads:
            thread.join()


class ControlStopTest(unittest.TestCase):
    def leads(self, ip):
        return call("GET", "%s:%d" % (ip, CONTROL_PORT), READ_PATH)[0] == 200

    def stop_under_use(self, site, stops_leader):
        """Stops one control VM while it is used, and checks all that holds for each stop. Returns the
        callers."""
        configuration = json.loads(site.configure(1)[0])
        wait_until(lambda: site.voters() == len(site.control), "all control VMs to vote")
        ip = next(ip for ip in site.control if self.leads(ip) == stops_leader)
        callers = ControlCallers(ip, configuration)
        time.sleep(0.5)
        site.kill(ip, signal.SIGTERM)
        started = time.monotonic()
        self.assertEqual(site.processes[ip].wait(GRACE_PERIOD_S), 0)
        print("%s ended after %.2f s" % ("leader" if stops_leader else "follower",
                                         time.monotonic() - started))
        callers.join()
        print(sorted(callers.statuses.items()))
        self.assertEqual(callers.lost, [])
        read = site.operator_call("GET", READ_PATH)
        self.assertEqual(read[0], 200)
        self.assertGreaterEqual(json.loads(read[1])["version"], max(callers.acknowledged))
        return callers

    # Guards against an exit of the leader at a fixed time, whatever calls are in progress: changes
    # that it had read, and had perhaps proposed, ended without an answer.
    def test_stopped_leader_answers_each_call(self):
        with Site(62, entries=0) as site:
            callers = self.stop_under_use(site, stops_leader=True)
            self.assertGreater(len(callers.acknowledged), 20)

    # Guards against the same at a follower, which redirects operators and serves endpoints.
    def test_stopped_follower_answers_each_call(self):
        with Site(63, entries=0) as site:
            callers = self.stop_under_use(site, stops_leader=False)
            self.assertGreater(callers.statuses[("change", 307)], 20)

    # Guards against an exit before a proposed change has an outcome: without the other voters it can't
    # be committed, so it isn't acknowledged, and the operator is told so.
    def test_stopped_leader_answers_a_change_that_cannot_be_committed(self):
        with Site(65, entries=0) as site:
            configuration = json.loads(site.configure(1)[0])
            wait_until(lambda: site.voters() == len(site.control), "all control VMs to vote")
            leader = next(ip for ip in site.control if self.leads(ip))
            for ip in site.control:
                if ip != leader:
                    site.kill(ip, signal.SIGSTOP)
            connection = Connection(leader, CONTROL_PORT)
            connection.send(encode("POST", "/fireflyroute/Config.Replace", "late",
                                   json.dumps(dict(configuration, version=2)).encode()))
            site.kill(leader, signal.SIGTERM)
            self.assertEqual(connection.receive().status, 503)
            self.assertEqual(site.processes[leader].wait(GRACE_PERIOD_S), 0)


if __name__ == "__main__":
    unittest.main()
