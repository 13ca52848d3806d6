"""Process tests of evacuations of data centres: control VMs and entries over loopback, with
stand-ins for workers and the operator."""

import json
import os
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from platform_stand_in import BINARY, Site, call, wait_until  # noqa: E402

EVACUATION_S = 5  # from the acknowledgement of an order until entries follow it


class EvacuationTest(unittest.TestCase):
    def order(self, site, verb, zone="a"):
        """Sends an order and returns the time of its acknowledgement."""
        status, _ = site.operator_call("POST", "/fireflyroute/Evacuations.%s/%s" % (verb, zone))
        self.assertEqual(status, 200)
        return time.monotonic()

    def since(self, site):
        """Returns the evacuated data centres with the times of their orders."""
        status, text = site.operator_call("GET", "/fireflyroute/Evacuations.Read")
        self.assertEqual(status, 200)
        return {item["zone"]: item["sinceMs"] for item in json.loads(text)["evacuations"]}

    def leader(self, site):
        leaders = [ip for ip in site.control if site.processes[ip].poll() is None
                   and call("GET", ip + ":8229", "/fireflyroute/Evacuations.Read")[0] == 200]
        return leaders[0] if len(leaders) == 1 else None

    def await_order(self, acknowledged_at):
        time.sleep(max(0, acknowledged_at + EVACUATION_S - time.monotonic()))

    def start_site(self, site, faults=None):
        site.configure(1)
        site.worker("a-1", "ledger", zone="a")
        site.worker("b-1", "ledger", zone="b", faults=faults)
        self.assert_a_serves(site)

    def await_state(self, site, name, state):
        """Waits until all entries know the state of a worker."""
        def is_known(ip):
            states = [item["state"] for item in site.log(ip) if item.get("endpoint") == name
                      and item["kind"] == "endpoint"]
            return states[-1:] == [state]

        for ip in site.entries:
            wait_until(lambda ip=ip: is_known(ip), "%s is %s" % (name, state))

    def assert_a_serves(self, site):
        """Checks that requests reach the worker of `a` as soon as the other takes none, which entries may
        prefer otherwise."""
        site.workers[1].state = "draining"
        self.await_state(site, "b-1", "draining")
        for entry in range(len(site.entries)):
            wait_until(lambda entry=entry: site.request("/calls/1", entry=entry)[2] == "by a-1",
                       "the worker of a serves")
        site.workers[1].state = "ready"
        self.await_state(site, "b-1", "ready")

    def assert_evacuated(self, site, worker=0, requests=25):
        """Sends requests to each entry. All succeed, and none reaches the worker."""
        runs = len(site.workers[worker].runs)
        for entry in range(len(site.entries)):
            statuses = [site.request(path, method=method, entry=entry)[0]
                        for method, path in (("GET", "/calls/1"), ("POST", "/refunds/1"),
                                             ("GET", "/letters/1")) for _ in range(requests)]
            self.assertEqual(set(statuses), {200})
        self.assertEqual(len(site.workers[worker].runs), runs)

    # Guards against orders that some kind of request or some entry does not follow, and against
    # repeated orders that are refused or that count as new ones.
    def test_no_request_reaches_an_evacuated_data_centre_until_the_order_is_withdrawn(self):
        with Site(201, entries=2) as site:
            self.start_site(site)
            acknowledged_at = self.order(site, "Start")
            since = self.since(site)
            self.assertEqual(set(since), {"a"})
            self.await_order(acknowledged_at)
            self.assert_evacuated(site)
            self.order(site, "Start")
            self.order(site, "Start", "no-such-zone")
            self.assertEqual(self.since(site)["a"], since["a"])
            self.assert_evacuated(site)
            self.order(site, "Finish")
            self.order(site, "Finish")
            self.assertEqual(set(self.since(site)), {"no-such-zone"})
            self.assert_a_serves(site)
            leader = self.leader(site)
            orders = [item for item in site.log(leader) if item.get("kind") == "evacuation"]
            self.assertIn("start", [item.get("order") for item in orders])

    # Guards against retries and resumed streams that choose their endpoint without regard to orders.
    def test_retries_and_resumed_streams_stay_out_of_the_evacuated_data_centre(self):
        with Site(202) as site:
            self.start_site(site, faults={"9": "break-once", "full": "full"})
            self.await_order(self.order(site, "Start"))
            runs = len(site.workers[0].runs)
            self.assertEqual(site.request("/calls/full")[0], 503)
            status, _, body = site.request("/letters/9")
            self.assertEqual(status, 200)
            self.assertIn("token-12", body)
            self.assertEqual(site.workers[1].faults, {})  # the stream did break
            self.assertEqual(len(site.workers[0].runs), runs)

    # Guards against requests that fall back on evacuated endpoints when there are no others.
    def test_service_whose_endpoints_are_all_evacuated_is_refused_with_a_time_to_retry(self):
        with Site(203) as site:
            self.start_site(site)
            self.order(site, "Start", "a")
            self.await_order(self.order(site, "Start", "b"))
            runs = [len(worker.runs) for worker in site.workers]
            for method, path in (("GET", "/calls/1"), ("POST", "/refunds/1"), ("GET", "/letters/1")):
                status, headers, _ = site.request(path, method=method)
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
            self.assertEqual([len(worker.runs) for worker in site.workers], runs)
            metrics = call("GET", site.entries[0] + ":9464", "/metrics")[2]
            self.assertIn('fireflyroute_entry_refusals_total{reason="evacuated"} 3', metrics)
            self.assertIn("fireflyroute_entry_evacuations 2", metrics)
            self.order(site, "Finish", "b")
            wait_until(lambda: site.request("/calls/1")[0] == 200, "the call is served")

    def test_order_without_a_name_is_not_found(self):
        with Site(204, entries=0) as site:
            self.order(site, "Finish", "never-ordered")
            for verb in ("Start", "Finish"):
                self.assertEqual(site.operator_call(
                    "POST", "/fireflyroute/Evacuations.%s/" % verb)[0], 404)
            self.assertEqual(self.since(site), {})

    # Guards against acknowledged orders that are lost, and against orders that stay unanswered.
    def test_order_survives_the_loss_of_the_leader_and_the_restart_of_all_control_vms(self):
        with Site(205, controls=5) as site:
            self.start_site(site)
            # Before all five voters have joined, the group could lose its majority with one VM.
            wait_until(lambda: site.voters() == 5, "all control VMs vote")
            wait_until(lambda: self.leader(site), "a leader")
            leader = self.leader(site)
            # The order is on its way to the leader while the leader is killed. The operator repeats
            # it until it is acknowledged.
            acknowledged = []
            operator = threading.Thread(
                target=lambda: acknowledged.append(self.order(site, "Start")))
            operator.start()
            site.kill(leader)
            operator.join()
            self.assertEqual(len(acknowledged), 1)
            since = self.since(site)
            self.assertEqual(set(since), {"a"})
            self.await_order(acknowledged[0])
            self.assert_evacuated(site)
            for ip in site.control:
                if ip != leader:
                    site.kill(ip)
            for ip in site.control:
                site.start(ip)
            wait_until(lambda: self.leader(site), "a leader after the restart")
            self.assertEqual(self.since(site), since)
            # An entry that starts anew has the order from the control VMs only.
            site.kill(site.entries[0])
            site.start(site.entries[0])
            wait_until(site.is_ready, "the entry is ready")
            wait_until(lambda: site.request("/calls/1")[0] == 200, "the call is served")
            self.assert_evacuated(site)
            self.order(site, "Finish")
            self.assert_a_serves(site)

    # Guards against snapshots that leave orders out: they replace the log entries of the orders.
    def test_order_survives_in_a_snapshot(self):
        with Site(206, entries=0) as site:
            self.order(site, "Start")
            since = self.since(site)
            # More commands than control VMs keep in the log; see kSnapshotAfterEntries.
            for number in range(120):
                self.order(site, "Start", "b")
                if number % 2:
                    self.order(site, "Finish", "b")
            for ip in site.control:
                site.kill(ip)
            for ip in site.control:
                site.start(ip)
            self.assertEqual(self.since(site), since)

    # Guards against a command line that can't reach the leader through another control VM.
    def test_commands_order_list_and_withdraw_by_way_of_any_control_vm(self):
        with Site(207, entries=0) as site:
            wait_until(lambda: self.leader(site), "a leader")
            followers = [ip for ip in site.control if ip != self.leader(site)]

            def run(verb, *flags):
                return subprocess.run(
                    [BINARY, "evacuation", verb, "--server=http://%s:8229" % followers[0], *flags],
                    capture_output=True, text=True, timeout=60)

            result = run("start", "--id=a")
            self.assertEqual(result.returncode, 0, result.stderr)
            self.assertIn("a evacuated since 2", result.stdout)
            listed = json.loads(run("list", "--json").stdout)
            self.assertEqual([(item["data_centre"], item["since_ms"]) for item in listed],
                             list(self.since(site).items()))
            self.assertIn("no data centre", run("finish", "--id=a").stdout)
            self.assertEqual(self.since(site), {})
            self.assertEqual(run("start").returncode, 2)
            for ip in site.control:
                site.kill(ip)
            self.assertEqual(run("list", "--timeout_ms=500").returncode, 4)


if __name__ == "__main__":
    unittest.main()
