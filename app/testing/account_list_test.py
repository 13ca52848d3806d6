"""Process tests of configurations whose list of accounts is empty: control VMs and entries over
loopback, with stand-ins for workers and the operator."""

import os
import shutil
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from platform_stand_in import Site, wait_until  # noqa: E402

# Control VMs write a snapshot after this many log entries.
SNAPSHOT_ENTRIES = 100

# An entry that was frozen for longer has no proof that its state is fresh.
KEY_LEASE_S = 5

PRIVATE = (("GET", "/calls/1"), ("POST", "/refunds/1"), ("GET", "/letters/1"))


def add_public_route(config):
    config["routes"].append(dict(config["routes"][0], name="notice", pathPrefix="/notices/", public=True))


def without_accounts(config):
    add_public_route(config)
    config["tenants"] = []


class AccountListTest(unittest.TestCase):
    def setUp(self):
        self.site = Site(221, controls=5, entries=2)
        self.site.__enter__()
        self.addCleanup(self.site.__exit__)
        self.version = 0
        self.configure(add_public_route)
        self.worker = self.site.worker("i-1", "ledger")
        self.await_version()
        for entry in range(2):
            wait_until(lambda entry=entry: self.status("/calls/1", "k1", entry) == 200, "a call is served")

    def configure(self, change):
        self.version += 1
        self.body, (status, text) = self.site.configure(self.version, change=change)
        self.assertEqual(status, 200, text)

    def await_version(self):
        for entry in range(2):
            wait_until(lambda entry=entry: self.site.is_ready(entry), "the entry is ready")
            wait_until(lambda entry=entry: self.site.entry_metric("site_config_version", entry)
                       == self.version, "the entry applies the configuration")

    def status(self, path, key, entry=0, method="GET"):
        return self.site.request(path, method=method, key=key, entry=entry)[0]

    def statuses(self, key):
        return {self.status(path, key, entry, method) for method, path in PRIVATE for entry in range(2)}

    def assert_closed(self):
        """Checks that no key is valid, that nothing runs, and that public routes are served."""
        self.await_version()
        for entry in range(2):
            wait_until(lambda entry=entry: self.status("/notices/1", None, entry) == 200,
                       "the public route is served")
        runs = len(self.worker.runs)
        for key in ("k1", "never-held", None):
            self.assertEqual(self.statuses(key), {401}, key)
        self.assertEqual(len(self.worker.runs), runs)
        for key in ("k1", None):
            self.assertEqual([self.status("/notices/1", key, entry) for entry in range(2)], [200, 200])
        self.assertNotIn("Fireflyroute-Tenant", self.worker.runs[-1][2])
        self.assertEqual(self.site.operator_call("GET", "/fireflyroute/Config.Read")[1], self.body)

    def restart(self, *vms):
        for ip in vms:
            self.site.kill(ip)
        for ip in vms:
            self.site.start(ip)

    # Guards against a site that serves everybody once the operator takes the last account away
    # (review/13), at once or after a restart, and against one that stays closed afterwards.
    def test_empty_list_of_accounts_refuses_all_keys_until_the_next_change(self):
        self.configure(without_accounts)
        self.assert_closed()
        self.restart(*self.site.entries)
        self.assert_closed()
        for ip in self.site.control:
            self.restart(ip)
            self.assert_closed()
        self.restart(*self.site.control, *self.site.entries)
        self.assert_closed()

        def with_null(config):
            without_accounts(config)
            config["tenants"] = None

        self.configure(with_null)
        self.assert_closed()
        self.configure(add_public_route)
        self.await_version()
        self.assertEqual(self.statuses("k1"), {200})
        self.assertEqual(self.statuses("never-held"), {401})
        self.configure(lambda config: config.pop("tenants"))
        self.await_version()
        for key in ("k1", "never-held", None):
            self.assertEqual(self.statuses(key), {200}, key)

    # Guards against an account with an empty key that all requests without a key get.
    def test_empty_key_is_no_key(self):
        def with_empty_key(config):
            add_public_route(config)
            config["tenants"][0]["apiKeys"] = ["", "k1"]

        self.configure(with_empty_key)
        self.await_version()
        self.assertEqual(self.statuses("k1"), {200})
        for key in (None, ""):
            self.assertEqual(self.statuses(key), {401}, key)
            self.assertEqual(self.status("/notices/1", key), 200)

    # Guards against snapshots, and VMs that start from one, which lose that the list exists.
    def test_empty_list_of_accounts_survives_snapshots(self):
        away = self.site.control[-1]
        self.site.kill(away)
        shutil.rmtree(os.path.join(self.site.folder, away))
        for _ in range(SNAPSHOT_ENTRIES + 10):
            self.configure(without_accounts)
        self.site.start(away)
        wait_until(lambda: self.site.metric("site_config_version", away) == self.version,
                   "the VM with a lost disk to catch up")
        self.assertGreater(self.site.metric("control_snapshot_bytes", away), 0)
        self.assert_closed()
        self.restart(*self.site.control, *self.site.entries)
        self.assert_closed()

    # Guards against processes that slept through the change and go on by the list that they hold.
    def test_frozen_processes_refuse_all_keys_when_they_wake_up(self):
        frozen = (self.site.entries[1], self.site.control[-1])
        for ip in frozen:
            self.site.kill(ip, signal.SIGSTOP)
        self.configure(without_accounts)
        time.sleep(KEY_LEASE_S)
        for ip in frozen:
            self.site.kill(ip, signal.SIGCONT)
        statuses = {self.status("/calls/1", "k1", entry=1) for _ in range(20)}
        self.assertLessEqual(statuses, {401, 503})
        self.assert_closed()


if __name__ == "__main__":
    unittest.main()
