"""Process tests of the control VMs: leader killed, leader frozen, data folder lost, concurrent
configuration updates, and an entry lost during a call that must not be repeated."""

import json
import os
import shutil
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))

from local_fleet import Fleet, chat, http, small_fleet_config, wait_until  # noqa: E402

MESSAGES = [{"role": "user", "content": "Draft an easement."}]
IN_FORCE_LIMIT_SECONDS = 4.0


class ControlFleet:
    """Three control VMs, two entries, one engine, one service."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.control = fleet.control_group(3)
        self.entries = [fleet.serve("entry-%d" % i, "entry", self.control) for i in (1, 2)]
        fleet.engine("engine-1", "small@1,small@2,small@3", self.entries)
        fleet.service("service-1", "refunds", self.entries)
        key = fleet.account_key("duka-1")
        self.token = key["token"]
        versions = {"1": 100, "2": 120, "3": 140}
        config = small_fleet_config(key, {"small": ("1", versions)})
        fleet.command(self.entries[0], "config", "set", "--file=" + fleet.write("f.json", config))
        for entry in self.entries:
            wait_until(lambda: len(json.loads(fleet.command(entry, "endpoint", "list").stdout)
                                   ["endpoints"]) == 2, "both endpoints to be listed")
        # Members join one at a time, and a group of two tolerates no failure.
        wait_until(lambda: len(self.voters()) == 3, "all three control VMs to vote")

    def state(self, entry=1):
        """Returns revision and configuration from the leader."""
        return json.loads(self.fleet.command(self.entries[entry], "config", "show",
                                             "--json").stdout)

    def voters(self):
        """Returns the incarnation of each voter's data folder by VM."""
        status = self.fleet.command(self.entries[0], "status", "--json", check=False)
        members = json.loads(status.stdout or "{}").get("members", [])
        return {member["vm"]: member["incarnation"] for member in members
                if member["role"] == "voter"}

    def leader(self):
        """Returns the last elected control VM according to the event log."""
        text = self.fleet.command(self.entries[1], "timeline").stdout
        elected = [line.split()[1] for line in text.splitlines() if " leader_elected " in line]
        return elected[-1]

    def withdraw(self, version, entry=1):
        return self.fleet.command(self.entries[entry], "version", "withdraw", "--model=small",
                                  "--model_version=" + version, "--reason=wrong totals", "--yes",
                                  "--timeout_ms=10000")


class ControlProcessTest(unittest.TestCase):
    def test_change_is_in_force_in_time_after_leader_is_killed(self):
        with Fleet() as fleet:
            control_fleet = ControlFleet(fleet)
            fleet.kill(control_fleet.leader())
            started = time.monotonic()
            control_fleet.withdraw("2")
            elapsed = time.monotonic() - started
            self.assertLessEqual(elapsed, IN_FORCE_LIMIT_SECONDS)
            print("in force %.2f s after the leader was killed" % elapsed)
            for entry in control_fleet.entries:
                self.assertEqual(chat(entry, control_fleet.token, MESSAGES, "small@2")[0], 410)
                self.assertEqual(chat(entry, control_fleet.token, MESSAGES, "small@1")[0], 200)

    def test_frozen_leader_is_replaced_and_reverts_nothing_when_resumed(self):
        with Fleet() as fleet:
            control_fleet = ControlFleet(fleet)
            frozen = control_fleet.leader()
            process = fleet.processes[frozen]
            process.send_signal(signal.SIGSTOP)
            try:
                started = time.monotonic()
                control_fleet.withdraw("2")
                elapsed = time.monotonic() - started
            finally:
                process.send_signal(signal.SIGCONT)
            self.assertLessEqual(elapsed, IN_FORCE_LIMIT_SECONDS)
            print("in force %.2f s after the leader was frozen" % elapsed)
            control_fleet.withdraw("3")
            self.assertEqual(control_fleet.state()["revision"], 3)
            for entry in control_fleet.entries:
                for version in ("2", "3"):
                    status = chat(entry, control_fleet.token, MESSAGES, "small@" + version)[0]
                    self.assertEqual(status, 410)

    def test_vm_with_lost_data_folder_rejoins_and_second_failure_is_tolerated(self):
        with Fleet() as fleet:
            control_fleet = ControlFleet(fleet)
            control_fleet.withdraw("2")
            leader = control_fleet.leader()
            others = [name for name in ("control-1", "control-2", "control-3") if name != leader]
            before = control_fleet.voters()
            fleet.kill(others[0])
            shutil.rmtree(os.path.join(fleet.folder, "data-" + others[0]))
            fleet.serve(others[0], "control", control_fleet.control)

            def has_rejoined():
                incarnations = control_fleet.voters()
                return others[0] in incarnations and incarnations[others[0]] != before[others[0]]

            wait_until(has_rejoined, "the VM to rejoin as a voter")
            fleet.kill(others[1])
            control_fleet.withdraw("3")
            self.assertEqual(control_fleet.state()["revision"], 3)
            fleet.kill(leader)
            fleet.serve(leader, "control", control_fleet.control)
            wait_until(lambda: control_fleet.state()["revision"] == 3,
                       "the state to be restored after the restart")

    def test_concurrent_config_updates_one_succeeds_and_one_conflicts(self):
        with Fleet() as fleet:
            control_fleet = ControlFleet(fleet)
            config = control_fleet.state()["config"]
            path = fleet.write("race.json", config)
            results = []

            def set_config(entry):
                results.append(fleet.command(entry, "config", "set", "--file=" + path, check=False))

            threads = [threading.Thread(target=set_config, args=(entry,))
                       for entry in control_fleet.entries]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(sorted(result.returncode for result in results), [0, 3])
            rejected = [result for result in results if result.returncode == 3][0]
            self.assertIn("set by tester", rejected.stderr)
            self.assertEqual(control_fleet.state()["revision"], 2)

    def test_claim_of_lost_entry_becomes_unknown_and_is_not_rerun(self):
        with Fleet() as fleet:
            control_fleet = ControlFleet(fleet)
            service = fleet.addresses["service-1"]
            http("POST", service + "/fault", json.dumps({"silent": True}))
            headers = {"Authorization": "Bearer " + control_fleet.token, "Idempotency-Key": "k1"}
            url = "/services/refunds/post/1"

            def call():
                try:
                    http("POST", control_fleet.entries[0] + url, "{}", headers, timeout=60)
                except OSError:
                    pass

            thread = threading.Thread(target=call)
            thread.start()
            wait_until(lambda: http("GET", service + "/runs")[2] != "{}", "the call to run")
            http("POST", service + "/fault", "{}")
            running = http("POST", control_fleet.entries[1] + url, "{}", headers)
            self.assertEqual((running[0], json.loads(running[2])["ran"]), (409, "yes"))
            fleet.kill("entry-1")
            thread.join()

            def is_unknown():
                response = http("POST", control_fleet.entries[1] + url, "{}", headers)
                return response[0] == 409 and json.loads(response[2])["ran"] == "unknown"

            wait_until(is_unknown, "the claim to become unknown", 40)
            self.assertEqual(list(json.loads(http("GET", service + "/runs")[2]).values()), [1])


if __name__ == "__main__":
    unittest.main(verbosity=2)
