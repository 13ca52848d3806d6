"""Process tests of routes and accounts that are restricted to regions: control VMs and entries over
loopback, with stand-ins for workers in two regions.

Each test guards against the body of a restricted request that reaches a VM outside of the allowed regions.
"""

import http.client
import json
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from platform_stand_in import EVENT_COUNT, Site, wait_until  # noqa: E402

# The data centre "x" has no region.
REGIONS = "a=eu,b=us"
REQUESTS = 12  # per case; without a restriction, some of them would reach each worker
COMPLETE_STREAM = "".join("id: %d\ndata: token-%d\n\n" % (i, i) for i in range(1, EVENT_COUNT + 1))
DRAFT = {"Fireflyroute-Model": "*", "Fireflyroute-Token-Counts": "10,12"}


def restricted(routes=None, account=None):
    """Returns a change of the configuration: `routes` maps names of routes to allowed regions. A list of
    None stays out of the configuration. The account of the key k2 is never restricted."""
    def change(config):
        for route in config["routes"]:
            if (routes or {}).get(route["name"]) is not None:
                route["allowedRegions"] = routes[route["name"]]
        if account is not None:
            config["tenants"][0]["allowedRegions"] = account
        config["tenants"].append({"name": "open", "apiKeys": ["k2"]})
    return change


class RegionTest(unittest.TestCase):
    def configure(self, site, version, routes=None, account=None):
        """Waits until all entries have the configuration."""
        result = site.configure(version, change=restricted(routes, account))
        self.assertEqual(result[1][0], 200)
        for ip in site.entries:
            wait_until(lambda ip=ip: self.has_version(site, ip, version), "the configuration")

    @staticmethod
    def has_version(site, ip, version):
        return any(line.get("kind") == "config" and line.get("version") == version
                   for line in site.log(ip))

    def clear(self, site):
        for worker in site.workers:
            worker.runs.clear()

    def zones_of(self, site):
        """Returns the data centres of the workers that have received requests since clear()."""
        return {worker.zone for worker in site.workers if worker.runs}

    def send(self, site, path="/calls/1", key="k1", count=REQUESTS, **options):
        """Returns the statuses of the responses. Each refusal must be retryable."""
        statuses = []
        for _ in range(count):
            status, fields, _ = site.request(path, key=key, **options)
            statuses.append(status)
            if status == 503:
                self.assertIn("Retry-After", fields)
        return set(statuses)

    def test_requests_stay_in_the_regions_of_their_route_and_account(self):
        with Site(71, regions=REGIONS, entries=2, entry_zones=("a", "b")) as site:
            self.configure(site, 1)
            for name, zone in (("i-a", "a"), ("i-b", "b"), ("i-x", "x")):
                site.worker(name, "ledger", zone=zone)
            for entry in range(2):
                wait_until(lambda entry=entry: site.is_ready(entry), "the entry is ready")
            # Name, regions of the route, of the account, key, statuses, and the data centres that may run it.
            cases = [
                ("route", ["us"], None, "k1", {200}, {"b"}),
                ("route, other account", ["us"], None, "k2", {200}, {"b"}),
                ("account", None, ["us"], "k1", {200}, {"b"}),
                ("both", ["eu", "us"], ["us", "moon"], "k1", {200}, {"b"}),
                ("no common region", ["eu"], ["us"], "k1", {503}, set()),
                ("unknown region", ["moon"], None, "k1", {503}, set()),
                ("unknown region of the account", None, ["moon"], "k1", {503}, set()),
                ("data centre as region", ["b", "x"], None, "k1", {503}, set()),
                ("unknown and known region", ["moon", "us"], None, "k1", {200}, {"b"}),
                ("empty lists", [], [], "k1", {200}, {"a", "b", "x"}),
                ("account of another key", None, ["us"], "k2", {200}, {"a", "b", "x"}),
            ]
            for version, (name, route, account, key, statuses, zones) in enumerate(cases, 2):
                with self.subTest(name):
                    self.configure(site, version, {"lookup": route}, account)
                    for entry in range(2):
                        wait_until(lambda entry=entry, key=key, statuses=statuses: site.request(
                            "/calls/1", key=key, entry=entry)[0] in statuses, "the response")
                    self.clear(site)
                    for entry in range(2):
                        self.assertEqual(self.send(site, key=key, entry=entry), statuses)
                    self.assertLessEqual(self.zones_of(site), zones)
                    self.assertEqual(bool(self.zones_of(site)), bool(zones))

    def test_refusals_are_counted_and_logged_with_their_inputs(self):
        with Site(72, regions=REGIONS) as site:
            self.configure(site, 1, {"lookup": ["us", "eu"]}, ["us"])
            site.worker("i-a", "ledger")
            wait_until(site.is_ready, "the entry is ready")
            wait_until(lambda: site.request("/calls/1", key="k2")[0] == 200, "the worker is known")
            self.clear(site)
            before = site.entry_metric("entry_region_refusals_total")
            status, fields, _ = site.request("/calls/1", headers={"Fireflyroute-Request-Id": "id-7"})
            self.assertEqual((status, "Retry-After" in fields), (503, True))
            self.assertEqual(site.entry_metric("entry_region_refusals_total"), before + 1)
            wait_until(lambda: [line for line in site.log(site.entries[0])
                                if line["kind"] == "region" and line["id"] == "id-7"], "the line")
            line = [line for line in site.log(site.entries[0])
                    if line["kind"] == "region" and line["id"] == "id-7"][0]
            self.assertEqual(
                {name: line[name] for name in ("event", "route", "service", "allowed_regions",
                                               "allowed_endpoints", "data_centres")},
                {"event": "refused", "route": "lookup", "service": "ledger",
                 "allowed_regions": "us,eu and us", "allowed_endpoints": 0, "data_centres": "a"})
            self.assertEqual(self.zones_of(site), set())

    def test_failed_requests_are_not_retried_in_another_region(self):
        for number, fault in enumerate(("reset", "full", "unsealed")):
            with self.subTest(fault), Site(73 + number, regions=REGIONS) as site:
                self.configure(site, 1, {"lookup": ["eu"]})
                site.worker("i-a", "ledger", zone="a")
                site.worker("i-b", "ledger", zone="b")
                wait_until(site.is_ready, "the entry is ready")
                wait_until(lambda: self.is_served_by(site, "a"), "the other worker is known")
                self.configure(site, 2, {"lookup": ["us"]})
                wait_until(lambda: self.is_served_by(site, "b"), "the restriction")
                self.clear(site)
                site.workers[1].faults = {"fails": fault}
                statuses = self.send(site, "/calls/fails")
                self.assertLessEqual(statuses, {502, 503, 504})
                self.assertNotIn("a", self.zones_of(site))
                # Unrestricted requests are still retried there.
                self.configure(site, 3)
                wait_until(lambda: site.request("/calls/fails")[0] == 200, "a retry")

    def is_served_by(self, site, zone):
        self.clear(site)
        self.send(site)
        return self.zones_of(site) == {zone}

    # Guards against requests that are sent elsewhere once the last allowed worker takes no more.
    def test_nothing_is_sent_elsewhere_once_the_last_allowed_worker_drains(self):
        with Site(76, regions=REGIONS) as site:
            self.configure(site, 1, {"lookup": ["us"]})
            site.worker("i-a", "ledger", zone="a")
            site.worker("i-b", "ledger", zone="b")
            wait_until(site.is_ready, "the entry is ready")
            wait_until(lambda: site.request("/calls/1")[0] == 200, "the allowed worker is known")
            site.workers[1].state = "draining"
            wait_until(lambda: site.request("/calls/1")[0] == 503, "the worker drains")
            self.assertEqual(self.send(site), {503})
            self.assertEqual(self.zones_of(site), {"b"})

    def test_broken_streams_are_resumed_in_allowed_regions_only(self):
        with Site(77, regions=REGIONS) as site:
            self.configure(site, 1, {"draft": ["us"], "letter": ["us"]})
            for number in range(2):
                site.worker("i-a%d" % number, "llm", zone="a")
                site.worker("j-a%d" % number, "ledger", zone="a")
            drafts = site.worker("i-b", "llm", zone="b")
            letters = site.worker("j-b", "ledger", zone="b")
            wait_until(site.is_ready, "the entry is ready")
            for path, headers in (("/drafts/1", DRAFT), ("/letters/1", {})):
                wait_until(lambda path=path, headers=headers: site.request(
                    path, headers=headers)[0] == 200, path + " is served")
            for path, worker, headers in (("/drafts/", drafts, DRAFT), ("/letters/", letters, {})):
                with self.subTest(path + "break-once"):
                    # The only allowed worker breaks the stream and completes it after the pause.
                    worker.faults = {"2": "break-once"}
                    status, _, text = site.request(path + "2", headers=headers)
                    self.assertEqual((status, text), (200, COMPLETE_STREAM))
                with self.subTest(path + "break"):
                    worker.faults = {"3": "break"}
                    try:
                        text = site.request(path + "3", headers=headers)[2]
                        self.assertNotEqual(text, COMPLETE_STREAM)
                    except (OSError, http.client.HTTPException):
                        pass  # the stream was cut off
            self.assertEqual(self.zones_of(site), {"b"})
            self.assertGreater(site.entry_metric("entry_resumed_total"), 0)

    # Guards against prompts that are placed, and larger models that are chosen, regardless of the
    # restriction: the parts of the prompt are cached in the other region.
    def test_prompts_and_larger_models_stay_in_allowed_regions(self):
        with Site(78, regions=REGIONS) as site:
            self.configure(site, 1)
            for number in range(2):
                site.worker("i-a%d" % number, "llm", zone="a")
                site.worker("i-b%d" % number, "llm", zone="b")
            wait_until(site.is_ready, "the entry is ready")
            headers = dict(DRAFT, **{"Fireflyroute-Prompt-Prefix": "p1:9000"})
            wait_until(lambda: site.request("/drafts/1", headers=headers)[0] == 200, "it serves")
            for zone, region in (("a", "eu"), ("b", "us")):
                self.configure(site, 2 + (zone == "b"), {"draft": [region]})
                wait_until(lambda: site.request("/drafts/1", headers=headers)[0] == 200, "it serves")
                self.clear(site)
                self.assertEqual(self.send(site, "/drafts/1", headers=headers), {200})
                self.assertEqual(self.zones_of(site), {zone})
                models = {run[2].get("Fireflyroute-Model")
                          for worker in site.workers for run in worker.runs}
                self.assertIn("large", models)

    # Guards against a version that is rolled out only in another region and draws restricted requests
    # there, as canaries or later, and against one that takes them without its roll-out.
    def test_versions_that_run_elsewhere_draw_no_restricted_request(self):
        with Site(79, regions=REGIONS) as site:
            self.configure(site, 1, account=["us"])
            for number in range(2):
                site.worker("i-b%d" % number, "ledger", zone="b")
            wait_until(site.is_ready, "the entry is ready")
            wait_until(lambda: site.request("/calls/1")[0] == 200, "it serves")
            status, _ = site.operator_call("POST", "/fireflyroute/Rollouts.Start", json.dumps(
                {"service": "ledger", "target": "v2", "durationS": 3}))
            self.assertEqual(status, 200)
            elsewhere = site.worker("i-a", "ledger", zone="a", version="v2")

            def stage():
                state = site.operator_call("GET", "/fireflyroute/Rollouts.Read/ledger")[1]
                return json.loads(state)["state"]

            # The requests of the other account end the roll-out.
            restricted_statuses, ids = set(), set()

            def is_completed():
                self.assertEqual(self.send(site, key="k2", count=5), {200})
                site.requests += 1
                name = "restricted-%d" % site.requests
                ids.add(name)
                restricted_statuses.add(site.request(
                    "/calls/1", headers={"Fireflyroute-Request-Id": name})[0])
                return stage() == "completed"

            wait_until(is_completed, "the roll-out completes")
            # Before the end, the earlier version in the allowed region takes the restricted requests.
            self.assertIn(200, restricted_statuses)
            self.assertLessEqual(restricted_statuses, {200, 503})
            wait_until(lambda: site.request("/calls/1")[0] == 503, "the earlier version is replaced")
            self.assertEqual(site.request("/calls/1", key="k2")[2], "by i-a")
            self.assertEqual(ids & {run[0] for run in elsewhere.runs}, set())
            self.clear(site)
            self.assertEqual(self.send(site), {503})
            self.assertEqual(self.zones_of(site), set())
            # The target in the allowed region takes them.
            site.worker("i-b2", "ledger", zone="b", version="v2")
            wait_until(lambda: site.request("/calls/1")[0] == 200, "the target in the allowed region")
            self.assertEqual(self.zones_of(site), {"b"})

    # Guards against bodies that are sent to another entry on the way to an allowed worker, on a new or an
    # idle connection: the data centres of relays are unknown.
    def test_isolated_entries_relay_no_restricted_request(self):
        with Site(80, regions=REGIONS, entries=2, entry_zones=("a", "b")) as site:
            self.configure(site, 1, {"lookup": ["eu"]})
            for number in range(6):
                site.worker("i-%d" % number, "ledger", zone="a")
            for entry in range(2):
                wait_until(lambda entry=entry: site.is_ready(entry), "the entry is ready")
                wait_until(lambda entry=entry: site.request("/calls/1", entry=entry)[0] == 200,
                           "it serves")
            site.cut(site.entries[0], "reset")
            # Unrestricted requests find the relay and leave idle connections by way of it.
            wait_until(lambda: site.request("/refunds/1", "POST")[0] == 200
                       and site.entry_metric("entry_isolated") == 1, "the relay is used")
            self.clear(site)
            callers = [threading.Thread(target=self.send, args=(site,), kwargs={"count": 3})
                       for _ in range(4)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            # Workers see only requests that came by way of the relay: they cut off all others.
            self.assertEqual(self.zones_of(site), set())
            self.assertEqual(site.request("/refunds/2", "POST")[0], 200)
            site.end_cut()
            wait_until(lambda: site.request("/calls/1")[0] == 200, "it is served directly")


if __name__ == "__main__":
    unittest.main(verbosity=2)
