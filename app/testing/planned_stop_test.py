"""Process tests of planned stops: entries stop in calm, while callers use their connections until the
processes are gone."""

import os
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from caller_stand_in import Answer, Callers, Connection, encode  # noqa: E402
from platform_stand_in import SEAL, Site, wait_until  # noqa: E402

READY_PORT = 8220


def run_slowly(worker, request):
    """A worker's fault that takes some time and then lets the request run."""
    time.sleep(0.004)
    return False


def answer_late(worker, request):
    """A worker's fault that answers a call after some seconds, also on a service with models."""
    worker.record_run(request)
    time.sleep(2)
    worker.reply(request, 200, {"Fireflyroute-Response-Seal": SEAL}, b"late")
    return True


def add_call_with_models(config):
    """Adds a route of calls to the service with models, and gives streams time to outlast a stop."""
    by_name = {route["name"]: route for route in config["routes"]}
    config["routes"].append(dict(by_name["lookup"], name="summary", pathPrefix="/summaries/",
                                 service="llm", sizes=["small", "large"]))
    for route in config["routes"]:
        route["timeoutMs"] = 20000


# Paths of the four combinations of a stream or a call with a service with models or without.
STREAMS = {"stream, models": "/drafts/slow", "stream, no models": "/letters/slow"}
CALLS = {"call, models": "/summaries/late", "call, no models": "/calls/late"}


class ControlThreadLoad:
    """Requests on the readiness port that keep the control thread of an entry busy for seconds."""

    REQUESTS = b"GET /fireflyroute/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 4000

    def __init__(self, ip, connections=60):
        self.sockets = [socket.create_connection((ip, READY_PORT)) for _ in range(connections)]
        self.threads = [threading.Thread(target=self.send, args=(sock, self.REQUESTS))
                        for sock in self.sockets]

    def start(self):
        for thread in self.threads:
            thread.start()

    @staticmethod
    def send(sock, data):
        try:
            sock.sendall(data)
        except OSError:
            pass  # the process has ended

    def join(self):
        for thread in self.threads:
            thread.join()
        for sock in self.sockets:
            sock.close()


class PlannedStopTest(unittest.TestCase):
    def start_site(self, site, **options):
        site.configure(1, **options)
        site.worker("i-1", "ledger", faults={"1": run_slowly})
        for number in range(len(site.entries)):
            wait_until(lambda number=number: site.is_ready(number), "the entry is ready")
            wait_until(lambda number=number: site.request("/calls/1", entry=number)[0] == 200,
                       "calls are served")

    def wait_until_ended(self, site):
        for ip in site.entries:
            wait_until(lambda ip=ip: site.processes[ip].poll() is not None, "the entry to exit")
            self.assertEqual(site.processes[ip].returncode, 0)

    def stop_under_use(self, site, count, keeps_connections, pause_s):
        """Stops all entries while callers use them. Returns the callers."""
        callers = [Callers(site, ip, count, keeps_connections, pause_s) for ip in site.entries]
        time.sleep(0.5)
        for ip in site.entries:
            site.kill(ip, signal.SIGTERM)
        self.wait_until_ended(site)
        return [group.join() for group in callers]

    # Guards against closing connections in use under their next request (LOST): answers announce the
    # end of their connection from the signal on.
    def test_stop_closes_no_kept_connection_under_a_request(self):
        with Site(56, entries=3) as site:
            self.start_site(site)
            for callers in self.stop_under_use(site, 8, True, 0.03):
                self.assertGreater(callers.sent, 100)
                self.assertEqual(callers.lost, [])

    # Guards against closing connections that were accepted a moment ago, and against an exit that
    # resets requests that lie in the kernel (LOST).
    def test_stop_answers_each_request_on_a_new_connection(self):
        with Site(57, entries=6) as site:
            self.start_site(site)
            for callers in self.stop_under_use(site, 3, False, 0.005):
                self.assertGreater(callers.sent, 100)
                self.assertEqual(callers.lost, [])

    # Guards against an exit that is decided on one thread and carried out on another, with requests
    # passed on in between (LOST).
    def test_exit_cuts_no_request_while_the_control_thread_is_busy(self):
        with Site(58, entries=8) as site:
            self.start_site(site)
            callers = [Callers(site, ip, 2, False, 0.005) for ip in site.entries]
            loads = [ControlThreadLoad(ip) for ip in site.entries]
            for ip in site.entries:
                site.kill(ip, signal.SIGTERM)
            time.sleep(2)
            for load in loads:
                load.start()
            self.wait_until_ended(site)
            for load in loads:
                load.join()
            for group in callers:
                self.assertEqual(group.join().lost_after_run(), [])

    # Guards against calls that were sent before the signal, whose workers answer after the end of the
    # grace period: the exit cut them without an answer.
    def test_call_that_runs_at_the_signal_is_answered_before_the_exit(self):
        with Site(59) as site:
            self.start_site(site, refund_fields={"timeoutMs": 20000})
            site.workers[0].faults["late"] = lambda worker, request: time.sleep(12)
            answers = []

            def call():
                connection = Connection(site.entries[0])
                connection.send(encode("POST", "/refunds/late", "late-1",
                                       Fireflyroute_Deadline_Ms="20000"))
                answers.append(connection.receive().status)

            caller = threading.Thread(target=call)
            caller.start()
            wait_until(lambda: site.entry_metric("entry_attempts_total") >= 2, "the call is sent")
            site.kill(site.entries[0], signal.SIGTERM)
            self.wait_until_ended(site)
            caller.join()
            self.assertEqual(answers, [504])

    # Guards against requests that are sent later than 3 s after the signal on connections that callers
    # have kept, are passed on, and are cut by the exit (LOST): streams are told from calls by the kind
    # of their route, whether their service has models or not.
    def test_late_request_of_each_kind_is_answered_or_refused(self):
        with Site(66) as site:
            self.start_site(site, change=add_call_with_models)
            site.worker("m-1", "llm", faults={"late": answer_late, "slow": "slow"})
            site.workers[0].faults.update(late=answer_late, slow="slow")
            site.wait_until_served("/drafts/1", "/letters/1", "/summaries/1")
            results = self.send_late(site, [3.1, 3.5, 3.9, 4.2])
            for kind, sent_s, identity, answer in results:
                with self.subTest(kind=kind, sent_s=round(sent_s, 2)):
                    self.check_late_answer(site, sent_s, identity, answer)
            answered = {kind for kind, _, _, answer in results if answer.status == 200}
            refused = {kind for kind, _, _, answer in results if answer.status == 503}
            self.assertEqual(answered, set(CALLS))
            self.assertEqual(refused, set(STREAMS))

    # Guards against times of a stop that count from when the process handles the signal: a process
    # that was not scheduled for 0.8 s passed streams on up to 3.6 s after the signal and cut them.
    def test_late_stream_is_refused_although_the_signal_is_handled_late(self):
        with Site(67) as site:
            self.start_site(site, change=add_call_with_models)
            site.worker("m-1", "llm", faults={"late": answer_late, "slow": "slow"})
            site.workers[0].faults.update(late=answer_late, slow="slow")
            site.wait_until_served("/drafts/1", "/letters/1", "/summaries/1")
            for kind, sent_s, identity, answer in self.send_late(site, [3.05, 3.25, 3.45], 0.8):
                with self.subTest(kind=kind, sent_s=round(sent_s, 2)):
                    self.check_late_answer(site, sent_s, identity, answer)

    def send_late(self, site, times, held_up_s=0):
        """Sends requests of each kind on connections that were used before the signal, at the given
        times after it. Returns (kind, time, id, answer) of each. `held_up_s`: how long the process is
        suspended while the signal arrives."""
        kept = []
        for kind, path in {**STREAMS, **CALLS}.items():
            for send_s in times:
                connection = Connection(site.entries[0])
                connection.send(encode("GET", "/calls/1", "first"))
                self.assertEqual(connection.receive().status, 200)
                kept.append((kind, path, send_s, connection))
        # The process closes no idle connection before 4.5 s while a request is in progress.
        running = Connection(site.entries[0])
        running.send(encode("POST", "/letters/slow", "running", Fireflyroute_Deadline_Ms="20000"))
        wait_until(lambda: any(run[0] == "running" for run in site.workers[0].runs), "the stream runs")
        if held_up_s:
            site.kill(site.entries[0], signal.SIGSTOP)
        site.kill(site.entries[0], signal.SIGTERM)
        stopped_at, results = time.monotonic(), []

        def use(kind, path, send_s, connection):
            time.sleep(max(0, stopped_at + send_s - time.monotonic()))
            sent_s, identity = time.monotonic() - stopped_at, "%s-%.1f" % (path[1:], send_s)
            try:
                connection.send(encode("POST", path, identity, Fireflyroute_Deadline_Ms="20000"))
                answer = connection.receive()
            except OSError as problem:
                answer = Answer(problem=str(problem))
            results.append((kind, sent_s, identity, answer))

        threads = [threading.Thread(target=use, args=item) for item in kept]
        for thread in threads:
            thread.start()
        if held_up_s:
            time.sleep(max(0, stopped_at + held_up_s - time.monotonic()))
            site.kill(site.entries[0], signal.SIGCONT)
        for thread in threads:
            thread.join()
        self.wait_until_ended(site)
        running.close()
        return results

    def check_late_answer(self, site, sent_s, identity, answer):
        has_run = any(run[0] == identity for worker in site.workers for run in worker.runs)
        if has_run:
            self.assertNotEqual(answer.status, 0, answer.problem)
        elif answer.status:
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.fields)
        else:  # the process has closed its idle connections
            self.assertGreater(sent_s, 4.4, answer.problem)

    # Guards against signals that end a process because they arrive before their handler.
    def test_reload_right_after_a_start_does_not_end_the_process(self):
        with Site(60, controls=1) as site:
            for _ in range(30):
                process = site.processes[site.entries[0]]
                wait_until(lambda: socket.create_connection((site.entries[0], 8227)).close() is None,
                           "the entry listens", pause_s=0)
                process.send_signal(signal.SIGHUP)
                time.sleep(0.05)
                self.assertIsNone(process.poll())
                site.kill(site.entries[0])
                site.start(site.entries[0])


if __name__ == "__main__":
    unittest.main()
