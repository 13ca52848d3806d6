"""The path from caller to endpoint in real processes: valid and invalid input, single-process and
separate control VMs, idle processes, kill and restart."""

import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))

from local_fleet import (BINARY, Fleet, chat, expected_text, free_address, http,  # noqa: E402
                         small_fleet_config, streamed_text, wait_until)

MESSAGES = [{"role": "user", "content": "Summarise the returns of today."}]
TOKENS_PER_RESPONSE = 8


def serve_all(fleet, extra=()):
    """Starts a complete deployment in one process, with one engine and one service."""
    entry = fleet.serve("vm-1", "entry,control", extra=extra)
    fleet.engine("engine-1", "small@1,small@2", [entry])
    fleet.service("service-1", "refunds", [entry])
    key = fleet.account_key("duka-1")
    config = small_fleet_config(key, {"small": ("1", {"1": 100, "2": 120})})
    fleet.command(entry, "config", "set", "--file=" + fleet.write("fleet.json", config))
    wait_until(lambda: len(json.loads(fleet.command(entry, "endpoint", "list").stdout)
                           ["endpoints"]) == 2, "endpoints registered")
    return entry, key["token"]


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class PathTest(unittest.TestCase):
    def test_invalid_input_is_rejected_as_not_executed(self):
        with Fleet() as fleet:
            entry, token = serve_all(fleet)
            authorized = {"Authorization": "Bearer " + token}
            url = entry + "/v1/chat/completions"
            body = json.dumps({"model": "small", "messages": MESSAGES})
            cases = [
                ("malformed", 400, '{"model": ', authorized),
                ("no messages", 400, '{"model": "small"}', authorized),
                ("unknown account", 401, body, {"Authorization": "Bearer nobody.00"}),
                ("no account", 401, body, {}),
                ("unknown model", 404, body.replace("small", "huge"), authorized),
                ("unknown rank", 400, body, dict(authorized, **{"Fireflyroute-Rank": "now"})),
                ("oversized", 413, "x" * (5 * 1024 * 1024), authorized),
            ]
            for name, expected, text, headers in cases:
                with self.subTest(name):
                    status, head, response_text = http("POST", url, text, headers)
                    self.assertEqual(status, expected)
                    self.assertEqual(head["Content-Type"], "application/problem+json")
                    self.assertEqual(json.loads(response_text)["ran"], "no")
            stats = json.loads(http("GET", fleet.addresses["engine-1"] + "/stats")[2])
            self.assertEqual(stats["started"], 0)
            missing = http("POST", entry + "/services/refunds/post/1", "{}", authorized)
            self.assertEqual(missing[0], 400)
            self.assertEqual(http("GET", fleet.addresses["service-1"] + "/runs")[2], "{}")

    def test_invalid_settings_are_reported_and_nothing_starts(self):
        with Fleet() as fleet:
            for arguments, flag_name in [(["--listen=nowhere"], "--listen"),
                                         (["--roles=chef"], "--roles"),
                                         (["--traffic_threads=0"], "--traffic_threads"),
                                         (["--traffic_threads=many"], "traffic_threads"),
                                         (["--no_such_flag=1"], "no_such_flag")]:
                with self.subTest(arguments):
                    fleet.spawn("bad", [BINARY, "serve"] + arguments)
                    process = fleet.processes.pop("bad")
                    self.assertEqual(process.wait(timeout=20), 2)
                    self.assertIn(flag_name, fleet.log("bad"))
                    os.remove(os.path.join(fleet.folder, "bad.log"))

    def test_streams_resume_on_another_endpoint(self):
        with Fleet() as fleet:
            entry, token = serve_all(fleet)
            failing = fleet.addresses["engine-1"]
            http("POST", failing + "/fault", json.dumps({"break_after": 3}))
            fleet.engine("engine-2", "small@1", [entry])
            wait_until(lambda: "engine-2" in fleet.command(entry, "endpoint", "list").stdout,
                       "second engine registered")
            for _ in range(6):
                status, _, text = chat(entry, token, MESSAGES, "small", stream=True)
                content, complete = streamed_text(text)
                self.assertEqual(status, 200)
                self.assertTrue(complete)
                self.assertEqual(content, expected_text("small@1", MESSAGES, TOKENS_PER_RESPONSE))
            bills = fleet.command(entry, "bill", "export").stdout.splitlines()
            self.assertEqual(len(bills), 6)
            request_counts = [line for line in http("GET", entry + "/metrics")[2].splitlines()
                              if line.startswith("fireflyroute_requests_total{")]
            self.assertEqual(len(request_counts), 1)
            self.assertIn('outcome="answered"} 6', request_counts[0])

    def test_state_survives_sigkill(self):
        with Fleet() as fleet:
            entry, token = serve_all(fleet)
            post = {"Authorization": "Bearer " + token, "Idempotency-Key": "k1"}
            first = http("POST", entry + "/services/refunds/post/1", "{}", post)
            fleet.command(entry, "version", "withdraw", "--model=small", "--model_version=2",
                          "--reason=wrong totals", "--yes")
            fleet.kill("vm-1")
            fleet.serve("vm-1", "entry,control")
            wait_until(lambda: http("GET", entry + "/readyz")[0] == 200, "ready again")
            wait_until(lambda: len(json.loads(fleet.command(entry, "endpoint", "list").stdout)
                                   ["endpoints"]) == 2, "endpoints registered again")
            repeated = http("POST", entry + "/services/refunds/post/1", "{}", post)
            self.assertEqual((repeated[0], repeated[2]), (200, first[2]))
            other = http("POST", entry + "/services/refunds/post/1", '{"other":1}', post)
            self.assertEqual(other[0], 422)
            runs = json.loads(http("GET", fleet.addresses["service-1"] + "/runs")[2])
            self.assertEqual(list(runs.values()), [1])
            self.assertEqual(chat(entry, token, MESSAGES, "small@2")[0], 410)
            self.assertEqual(chat(entry, token, MESSAGES, "small")[0], 200)

    def test_entry_without_lease_rejects_requests_as_not_executed(self):
        with Fleet() as fleet:
            control = fleet.control_group(1)
            entry = fleet.serve("entry-1", "entry", control)
            fleet.engine("engine-1", "small@1", [entry])
            key = fleet.account_key("duka-1")
            config = small_fleet_config(key, {"small": ("1", {"1": 100})})
            fleet.command(entry, "config", "set", "--file=" + fleet.write("fleet.json", config))
            wait_until(lambda: chat(entry, key["token"], MESSAGES, "small")[0] == 200, "served")
            fleet.kill("control-1")
            wait_until(lambda: http("GET", entry + "/readyz")[0] == 503, "not ready without lease")
            status, _, text = chat(entry, key["token"], MESSAGES, "small")
            self.assertEqual(status, 503)
            self.assertEqual(json.loads(text)["ran"], "no")
            fleet.serve("control-1", "control", control)
            wait_until(lambda: chat(entry, key["token"], MESSAGES, "small")[0] == 200,
                       "served again")

    def test_graceful_shutdown_completes_running_streams(self):
        with Fleet() as fleet:
            entry, token = serve_all(fleet)
            http("POST", fleet.addresses["engine-1"] + "/fault", json.dumps({"lag_ms": 1000}))
            import threading
            responses = []

            def call():
                responses.append(chat(entry, token, MESSAGES, "small", stream=True))

            threads = [threading.Thread(target=call) for _ in range(4)]
            for thread in threads:
                thread.start()
            wait_until(lambda: json.loads(http("GET", fleet.addresses["engine-1"] + "/stats")[2])
                       ["started"] == 4, "all started")
            self.assertEqual(fleet.terminate("vm-1"), 0)
            for thread in threads:
                thread.join()
            for status, _, text in responses:
                content, complete = streamed_text(text)
                self.assertEqual((status, complete), (200, True))
                self.assertEqual(content, expected_text("small@1", MESSAGES, TOKENS_PER_RESPONSE))

    def test_idle_process_uses_less_than_one_percent_of_a_core(self):
        with Fleet() as fleet:
            fleet.serve("vm-1", "entry,control")
            pid = fleet.processes["vm-1"].pid
            time.sleep(1)
            before = cpu_seconds(pid)
            time.sleep(10)
            self.assertLess((cpu_seconds(pid) - before) / 10, 0.01)


if __name__ == "__main__":
    unittest.main(verbosity=2)
