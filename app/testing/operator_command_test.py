"""Operator commands of the binary: help, exit codes, confirmation, reasons and output formats."""

import json
import os
import socket
import subprocess
import sys
import threading
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))

from local_fleet import (BINARY, Fleet, chat, free_address, http, small_fleet_config,  # noqa: E402
                         wait_until)

MESSAGES = [{"role": "user", "content": "Summarise the returns of today."}]
EXCEPTION = {"id": "pilot", "account": "duka-1", "model": "small", "version": "2",
             "effect": "deny"}
OK, FAILURE, USAGE, CONFLICT, UNREACHABLE = range(5)


def run(*words):
    return subprocess.run([BINARY, *words], capture_output=True, text=True, timeout=60)


class HelpTest(unittest.TestCase):
    def test_help_of_each_command_has_an_example_and_exit_codes(self):
        listed = run("--help").stdout.split("Usage:")[1].split("COMMAND --help")[0]
        names = [line[2:23].strip() for line in listed.splitlines()
                 if line.startswith("  ") and line[2:3].isalpha()]
        self.assertIn("version withdraw", names)
        for name in names:
            with self.subTest(name):
                if name == "serve":
                    continue
                result = run(*name.split(), "--help")
                self.assertEqual(result.returncode, OK)
                self.assertIn("fireflyroute " + name + " ", result.stdout)
                self.assertIn("Exit codes:", result.stdout)

    def test_exit_codes_of_unknown_command_and_unreachable_entry(self):
        self.assertEqual(run("version", "explode").returncode, USAGE)
        result = run("status", "--server=" + free_address(), "--timeout_ms=1000")
        self.assertEqual(result.returncode, UNREACHABLE)


class CommandTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.entry = cls.fleet.serve("vm-1", "entry,control")
        cls.fleet.engine("engine-1", "small@1,small@2", [cls.entry])
        cls.fleet.service("service-1", "refunds", [cls.entry])
        key = cls.fleet.account_key("duka-1")
        cls.token = key["token"]
        cls.config = small_fleet_config(key, {"small": ("1", {"1": 100, "2": 120, "3": 130})})
        cls.command("config", "set", "--file=" + cls.fleet.write("fleet.json", cls.config))
        wait_until(lambda: len(json.loads(cls.command("status", "--json").stdout)
                               ["endpoints"]) == 2, "endpoints registered")

    @classmethod
    def command(cls, *words, code=OK):
        result = cls.fleet.command(cls.entry, *words, check=False)
        if result.returncode != code:
            raise AssertionError("%s: exit %d\n%s%s" % (words, result.returncode, result.stdout,
                                                       result.stderr))
        return result

    def revision(self):
        return json.loads(self.command("status", "--json").stdout)["revision"]

    def test_exceptions_require_a_reason_and_show_it(self):
        path = self.fleet.write("exception.json", EXCEPTION)
        before = self.revision()
        for reason in ["", "--reason= "]:
            self.command("exception", "add", "--file=" + path, *([reason] if reason else []),
                         code=USAGE)
        self.assertEqual(self.revision(), before)
        self.command("exception", "add", "--file=" + path, "--reason=pilot until May")
        for words in [("config", "show"), ("exception", "list")]:
            text = self.command(*words).stdout
            self.assertIn("reason: pilot until May", text)
            self.assertIn("by tester, 0 minutes old", text)
        listed = json.loads(self.command("exception", "list", "--json").stdout)
        self.assertEqual([item["id"] for item in listed], ["pilot"])
        remove = ("exception", "remove", "--id=pilot")
        self.command(*remove, "--yes", code=USAGE)
        refused = self.command(*remove, "--reason=over", code=USAGE)
        self.assertIn("pilot until May", refused.stderr)
        self.command(*remove, "--reason=over", "--yes")
        self.command(*remove, "--reason=over", "--yes", code=FAILURE)

    def test_dangerous_changes_require_confirmation(self):
        before = self.revision()
        words = ("version", "withdraw", "--model=small", "--model_version=3", "--reason=bad")
        self.assertIn("small@3", self.command(*words, code=USAGE).stderr)
        smaller = json.loads(json.dumps(self.config))
        smaller["services"] = []
        words = ("config", "set", "--file=" + self.fleet.write("smaller.json", smaller))
        self.assertIn("service refunds", self.command(*words, code=USAGE).stderr)
        self.assertEqual(self.revision(), before)

    # Guards against services whose list of allowed accounts has no effect, and against a list that is
    # emptied by mistake, which opens the service to all accounts.
    def test_service_serves_the_accounts_of_its_list_only(self):
        def set_allowed(accounts, *words, code=OK):
            config = json.loads(json.dumps(self.config))
            config["services"][0]["allowed_accounts"] = accounts
            return self.command("config", "set", "--file=" + self.fleet.write("allowed.json", config), *words,
                                code=code)

        def status(number):
            headers = {"Authorization": "Bearer " + self.token, "Idempotency-Key": "allowed-%d" % number}
            return http("POST", self.entry + "/services/refunds/post/1", "{}", headers)[0]

        set_allowed(["other"])
        self.assertEqual(status(1), 403)
        refused = set_allowed([], code=USAGE)
        self.assertIn("the restriction of service refunds to accounts", refused.stderr)
        self.assertEqual(status(2), 403)
        set_allowed(["other", "duka-1"])
        self.assertEqual(status(3), 200)
        set_allowed([], "--yes")
        self.assertEqual(status(4), 200)

    def test_outdated_revision_is_a_conflict(self):
        outdated = dict(self.config, revision=self.revision())
        path = self.fleet.write("late.json", outdated)
        self.command("config", "set", "--file=" + path)
        self.command("config", "set", "--file=" + path, code=CONFLICT)

    def test_timeline_is_filtered_and_printed_as_json_or_html(self):
        head = chat(self.entry, self.token, MESSAGES, "small")[1]
        request = head["Fireflyroute-Request"]
        lines = self.command("timeline", "--request_id=" + request, "--json").stdout.splitlines()
        events = [json.loads(line) for line in lines]
        self.assertIn("request_finished", [event["kind"] for event in events])
        self.assertEqual({event["request"] for event in events}, {request})
        last = events[-1]["at_ms"]
        self.assertEqual(self.command("timeline", "--request_id=" + request,
                                      "--from_ms=%d" % (last + 1)).stdout, "")
        self.assertEqual(self.command("timeline", "--request_id=" + request,
                                      "--until_ms=%d" % events[0]["at_ms"]).stdout, "")
        page = self.command("timeline", "--request_id=" + request, "--html").stdout
        self.assertTrue(page.startswith("<!DOCTYPE html>"))
        self.assertIn(request, page)
        self.command("timeline", "--model=small", code=USAGE)

    def test_claim_show_prints_the_claim(self):
        post = {"Authorization": "Bearer " + self.token, "Idempotency-Key": "refund-17"}
        self.assertEqual(http("POST", self.entry + "/services/refunds/post/17", "{}", post)[0], 200)
        record = json.loads(self.command("claim", "show", "--id=duka-1/refund-17", "--json").stdout)
        self.assertEqual(record["claim"]["state"], "done")
        self.command("claim", "show", "--id=duka-1/none", code=FAILURE)

    def test_load_reports_by_rank(self):
        profile = {"seed": 7, "requests_per_second": 50, "max_requests": 30, "duration_ms": 5000,
                   "accounts": [{"id": "duka-1", "token": self.token}],
                   "kinds": [{"rank": "urgent", "account": "duka-1", "model": "small"},
                             {"rank": "background", "account": "duka-1", "sessions": 2}]}
        words = ("load", "--file=" + self.fleet.write("profile.json", profile),
                 "--timeout_ms=20000")
        ranks = json.loads(self.command(*words, "--json").stdout)["ranks"]
        self.assertEqual(sum(rank["answered"] for rank in ranks.values()), 30)
        self.assertEqual(len(ranks["urgent"]["first_token"]), 4)
        self.assertEqual(ranks["normal"]["answered"], 0)
        self.assertIn("<polyline", self.command(*words, "--svg").stdout)
        del profile["accounts"]
        self.command("load", "--file=" + self.fleet.write("wrong.json", profile), code=USAGE)


class BrokenAnswerTest(unittest.TestCase):
    """A server whose answers are none in the protocol."""

    EMPTY_LIST = '{"evacuations": []}'

    def list_evacuations(self, answer, timeout_ms=1000):
        """Returns the exit code of a command whose calls are answered by these bytes."""
        def serve():
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return  # the test has ended
                with connection:
                    with connection.makefile("rb") as received:
                        while received.readline().strip():
                            pass
                    connection.sendall(answer.encode("latin-1"))

        with socket.create_server(("127.0.0.1", 0)) as server:
            thread = threading.Thread(target=serve)
            thread.start()
            code = run("evacuation", "list", "--server=http://127.0.0.1:%d" % server.getsockname()[1],
                       "--timeout_ms=%d" % timeout_ms).returncode
            server.shutdown(socket.SHUT_RDWR)
            thread.join()
        return code

    # Guards against a status or a field name that HTTP doesn't provide.
    def test_answer_outside_of_the_protocol_is_a_failure(self):
        def answer(status="200", line=""):
            return "HTTP/1.1 %s X\r\n%sContent-Length: 19\r\n\r\n%s" % (status, line, self.EMPTY_LIST)

        self.assertEqual(self.list_evacuations(answer(), 10000), OK)
        for status in ("000", "099", "100", "600"):
            with self.subTest(status):
                self.assertEqual(self.list_evacuations(answer(status)), UNREACHABLE)
        for byte in " \t\0\1\x7f":
            with self.subTest(ord(byte)):
                self.assertEqual(self.list_evacuations(answer(line="X%sy: z\r\n" % byte)), UNREACHABLE)

    # Guards against a line of a head that begins with a blank: it continues the line before it or is invalid,
    # and was taken for a field. Here it hides that the body goes on.
    def test_line_that_begins_with_a_blank_is_no_field(self):
        for line in ("Date: d\r\n Content-Length: 19\r\n", " Content-Length: 19\r\n"):
            with self.subTest(repr(line)):
                self.assertNotEqual(self.list_evacuations(
                    "HTTP/1.1 200 X\r\n%s\r\n%s, broken" % (line, self.EMPTY_LIST), 3000), OK)


if __name__ == "__main__":
    unittest.main(verbosity=2)
