"""Starts a deployment of deploy/ on loopback and checks its external behaviour under faults.

    scripts/deploy_check.py mavuno [--seed=20] [--requests=240] [--seconds=240]

All VMs of the deployment serve as entries, with stand-ins for model engines and services. Seeded
requests of all accounts, ranks, tasks and sessions run while entries, the control VM and an engine
are killed and restarted and a version is withdrawn. The exit code is 0 only if all rules held:
responses are complete and correct, versions are allowed and not withdrawn, a session uses one
version, a completed request has one bill and a refused one none, and postings are executed at most
once.
"""

import argparse
import http.client
import json
import os
import random
import sys
import threading
import time

from local_fleet import (ROOT, Fleet, chat, expected_text, free_address, http as exchange,
                         streamed_text, wait_until)

# Maximum number of VMs that run the control role.
MAX_CONTROL_VMS = 3

TOKENS_PER_RESPONSE = 8
WORKER_THREADS = 4
MAX_ATTEMPTS = 60
RETRY_PAUSE_SECONDS = 0.25
RANKS = ["urgent", "normal", "background"]


def read_environment(path):
    with open(path) as file:
        pairs = [line.strip().split("=", 1) for line in file if "=" in line]
    return {name.replace("FIREFLYROUTE_", ""): value for name, value in pairs}


class Deployment:
    """The files of one deployment."""

    def __init__(self, name):
        folder = os.path.join(ROOT, "deploy", name)
        with open(os.path.join(folder, "fleet.json")) as file:
            self.fleet = json.load(file)
        self.vms = [read_environment(os.path.join(folder, file))
                    for file in sorted(os.listdir(folder)) if file.endswith(".env")]
        exceptions = os.path.join(folder, "exceptions")
        self.exception_files = [os.path.join(exceptions, file)
                                for file in sorted(os.listdir(exceptions))]
        self.exceptions = []
        for path in self.exception_files:
            with open(path) as file:
                self.exceptions.append(json.load(file))
        self.control = [vm["VM"] for vm in self.vms if "control" in vm["ROLES"]][:MAX_CONTROL_VMS]
        self.posting_service = next(item for item in self.fleet["services"]
                                    if item["non_repeatable"])
        self.lookup_service = next(item for item in self.fleet["services"]
                                   if not item["non_repeatable"])
        # The version that is withdrawn during the run: not the stable version of its model.
        model = self.fleet["models"][1]
        self.withdrawn = (model["name"], next(version["name"] for version in model["versions"][::-1]
                                              if version["name"] != model["stable"]))

    def versions(self):
        return ["%s@%s" % (model["name"], version["name"])
                for model in self.fleet["models"] for version in model["versions"]]

    def is_allowed(self, account, version):
        model, _, name = version.partition("@")
        for item in self.exceptions:
            if (item["effect"] == "deny" and item.get("account", account["id"]) == account["id"]
                    and item.get("model", model) == model and item.get("version", name) == name):
                return False
        return any(item["model"] == model and item.get("version", name) == name
                   for item in account["allowed"])


class Check:
    """One run: its plan, the responses, and the breaches of the rules."""

    def __init__(self, fleet, deployment, seed, requests):
        self.fleet = fleet
        self.deployment = deployment
        self.random = random.Random(seed)
        self.requests = requests
        self.tokens = {}
        self.lock = threading.Lock()
        self.breaches = []
        self.responses = []  # (request id, account, session, version, start)
        self.refused_ids = set()
        self.interrupted = 0  # exchanges whose outcome is unknown to the caller
        self.unanswered = 0
        self.thread_state = threading.local()  # last refusal of the current step of the thread
        self.unknown_postings = 0
        self.postings = {}  # key -> body of the first response
        self.withdrawn_at = None
        self.secret_flag = ""  # flag of the stand-ins that names the secret file

    def breach(self, text):
        with self.lock:
            self.breaches.append(text)
            print("BREACH " + text)

    # Start of processes.

    def serve(self, vm, first_start=False):
        name = vm["VM"]
        roles = "entry,control" if name in self.deployment.control else "entry"
        control = ",".join("%s=%s" % (item, self.fleet.addresses[item])
                           for item in self.deployment.control)
        extra = ["--data_centre=" + vm["DATA_CENTRE"], "--traffic_threads=4"]
        if first_start and name == self.deployment.control[0]:
            extra.append("--init_group")
        self.fleet.serve(name, roles, control, extra=extra)

    def engine(self, number):
        vms = self.deployment.vms
        self.fleet.engine("engine-%d" % number, ",".join(self.deployment.versions()),
                          self.entries(), ["--data_centre=" + vms[number % len(vms)]["DATA_CENTRE"],
                                           "--tokens=%d" % TOKENS_PER_RESPONSE, self.secret_flag])

    def entries(self):
        return [self.fleet.addresses[vm["VM"]] for vm in self.deployment.vms]

    def start(self):
        secret = os.path.join(self.fleet.folder, "secret")
        with open(secret, "w") as file:
            file.write("loopback")
        os.environ["FIREFLYROUTE_CLUSTER_SECRET_FILE"] = secret
        os.environ["FIREFLYROUTE_OPERATOR_TOKEN_FILE"] = secret
        self.secret_flag = "--secret_file=" + secret
        for vm in self.deployment.vms:
            self.fleet.addresses[vm["VM"]] = free_address()
        first = [vm for vm in self.deployment.vms if vm["VM"] in self.deployment.control]
        for vm in first + [vm for vm in self.deployment.vms if vm not in first]:
            self.serve(vm, first_start=True)
        for number in range(1, 5):
            self.engine(number)
        for service in self.deployment.fleet["services"]:
            self.fleet.service(service["name"], service["name"], self.entries(),
                               [self.secret_flag])
        for account in self.deployment.fleet["accounts"]:
            key = self.fleet.account_key(account["id"])
            account.update(key_salt=key["key_salt"], key_hash=key["key_hash"])
            self.tokens[account["id"]] = key["token"]
        entry = self.entries()[0]
        path = self.fleet.write("fleet.json", self.deployment.fleet)
        self.fleet.command(entry, "config", "set", "--file=" + path)
        for path in self.deployment.exception_files:
            self.fleet.command(entry, "exception", "add", "--file=" + path)
        self.wait_ready()

    def wait_ready(self):
        count = 4 + len(self.deployment.fleet["services"])
        for entry in self.entries():
            wait_until(lambda: exchange("GET", entry + "/readyz")[0] == 200, entry + " ready", 60)
            wait_until(lambda: len(json.loads(self.fleet.command(entry, "endpoint", "list").stdout)
                                   ["endpoints"]) == count,
                       entry + " has registered all endpoints", 60)

    # The planned steps.

    def plan(self):
        steps = []
        models = [model["name"] for model in self.deployment.fleet["models"]]
        tasks = [task["task"] for task in self.deployment.fleet["defaults"]["tasks"]]
        withdrawn_version = "%s@%s" % self.deployment.withdrawn
        for number in range(self.requests):
            account = self.random.choice(self.deployment.fleet["accounts"])
            ranks = RANKS[RANKS.index(account["max_rank"]):]
            step = {"number": number, "account": account, "rank": self.random.choice(ranks),
                    "task": self.random.choice(tasks), "stream": self.random.random() < 0.5,
                    "entry": self.random.randrange(8), "kind": "chat", "model": "auto"}
            choice = self.random.random()
            if choice < 0.2:
                step.update(kind="post", key="%s-%d" % (account["id"], self.random.randrange(9)))
            elif choice < 0.3:
                step["kind"] = "lookup"
            elif choice < 0.6:
                # Rank and task of a session are constant, so that no exception changes its version.
                session = self.random.randrange(3)
                step.update(session="session-%d" % session, rank=ranks[0],
                            task=tasks[session % len(tasks)])
            elif choice < 0.8 and self.deployment.is_allowed(account, withdrawn_version):
                step["model"] = withdrawn_version
            elif choice < 0.9:
                allowed_models = [name for name in models if {"model": name} in account["allowed"]]
                step["model"] = self.random.choice(allowed_models or ["auto"])
            steps.append(step)
        return steps

    def run_step(self, step):
        self.thread_state.refusal = ""
        run = {"chat": self.run_chat, "post": self.run_post, "lookup": self.run_lookup}
        for attempt in range(MAX_ATTEMPTS):
            entry = self.entries()[(step["entry"] + attempt) % len(self.entries())]
            try:
                if run[step["kind"]](step, entry):
                    return
            except (OSError, http.client.HTTPException):
                with self.lock:
                    self.interrupted += 1
            time.sleep(RETRY_PAUSE_SECONDS)
        with self.lock:
            self.unanswered += 1
        self.breach("step %d (%s) got no response, last refusal: %s"
                    % (step["number"], step["kind"], self.thread_state.refusal))

    def refused(self, headers, text):
        """Records a refusal. Returns the title of its problem document."""
        problem = json.loads(text)
        self.thread_state.refusal = text
        with self.lock:
            if problem.get("ran") == "no":
                self.refused_ids.add(headers.get("Fireflyroute-Request"))
            elif problem.get("title") != "already_exists":
                self.interrupted += 1
        return problem.get("title")

    def run_chat(self, step, entry):
        messages = [{"role": "user", "content": "Text of step %d." % step["number"]}]
        headers = {"Fireflyroute-Rank": step["rank"], "Fireflyroute-Task": step["task"]}
        if "session" in step:
            headers["Fireflyroute-Session"] = step["session"]
        start = time.monotonic()
        status, head, text = chat(entry, self.tokens[step["account"]["id"]], messages,
                                  step["model"], step["stream"], headers)
        if status != 200:
            title = self.refused(head, text)
            return title == "withdrawn" and step["model"] == "%s@%s" % self.deployment.withdrawn
        version = "%s@%s" % (head["Fireflyroute-Model"], head["Fireflyroute-Version"])
        if step["stream"]:
            content, complete = streamed_text(text)
        else:
            content, complete = json.loads(text)["choices"][0]["message"]["content"], True
        if not complete:
            with self.lock:
                self.interrupted += 1
            return False
        if content != expected_text(version, messages, TOKENS_PER_RESPONSE):
            self.breach("step %d: wrong response from %s: %r" % (step["number"], version, content))
        if not self.deployment.is_allowed(step["account"], version):
            self.breach("step %d: %s is not allowed" % (step["number"], version))
        self.record_response(head, step, version, start)
        return True

    def record_response(self, head, step, version, start):
        with self.lock:
            self.responses.append((head["Fireflyroute-Request"], step["account"]["id"],
                                   step.get("session"), version, start))

    def call_service(self, step, entry, method, service, path, extra):
        headers = {"Authorization": "Bearer " + self.tokens[step["account"]["id"]],
                   "Fireflyroute-Rank": step["rank"], **extra}
        body = json.dumps({"key": step.get("key")}) if method == "POST" else None
        return exchange(method, entry + "/services/" + service["name"] + path, body, headers)

    def run_lookup(self, step, entry):
        status, head, text = self.call_service(step, entry, "GET", self.deployment.lookup_service,
                                               "/items/%d" % step["number"], {})
        if status != 200:
            self.refused(head, text)
            return False
        if json.loads(text)["path"] != "/items/%d" % step["number"]:
            self.breach("step %d: response to another look-up" % step["number"])
        self.record_response(head, step, "", time.monotonic())
        return True

    def run_post(self, step, entry):
        service = self.deployment.posting_service
        path = service["non_repeatable"][0]["path_prefix"] + "/1"
        status, head, text = self.call_service(step, entry, "POST", service, path,
                                               {"Idempotency-Key": step["key"]})
        if status != 200:
            if self.refused(head, text) == "outcome_unknown":
                with self.lock:
                    self.unknown_postings += 1
                return True
            return False
        with self.lock:
            first = self.postings.setdefault(step["key"], text)
        if first != text:
            self.breach("posting %s: a repeated request got a different response" % step["key"])
        # All requests of one posting share one bill, which is named after account and key.
        with self.lock:
            name = "%s/%s" % (step["account"]["id"], step["key"])
            self.responses.append((name, step["account"]["id"], None, "", time.monotonic()))
        return True

    # Faults. Each is injected while the requests of one phase run.

    def phases(self):
        vms = self.deployment.vms
        others = [vm for vm in vms if vm["VM"] not in self.deployment.control]
        controls = [vm for vm in vms if vm["VM"] in self.deployment.control]
        return [("no fault", lambda: None),
                ("entry killed", lambda: self.restart(others[0])),
                ("version withdrawn", self.withdraw),
                ("engine killed", self.restart_engine),
                ("entry shut down", lambda: self.shut_down(others[1])),
                ("control VM killed", lambda: self.restart(controls[0]))]

    def restart(self, vm):
        self.fleet.kill(vm["VM"])
        self.serve(vm)

    def restart_engine(self):
        self.fleet.kill("engine-1")
        self.engine(1)

    def shut_down(self, vm):
        code = self.fleet.terminate(vm["VM"])
        if code != 0:
            self.breach("%s: graceful shutdown exited with %d" % (vm["VM"], code))
        self.serve(vm)

    def withdraw(self):
        model, version = self.deployment.withdrawn
        self.fleet.command(self.entries()[-1], "version", "withdraw", "--model=" + model,
                           "--model_version=" + version, "--reason=check of a withdrawal", "--yes")
        self.withdrawn_at = time.monotonic()

    def run_phase(self, steps, fault):
        pending = list(steps)
        half_started = threading.Event()

        def run_worker():
            while True:
                with self.lock:
                    if not pending:
                        half_started.set()
                        return
                    step = pending.pop(0)
                    if len(pending) <= len(steps) // 2:
                        half_started.set()
                self.run_step(step)

        threads = [threading.Thread(target=run_worker) for _ in range(WORKER_THREADS)]
        for thread in threads:
            thread.start()
        half_started.wait()
        fault()
        for thread in threads:
            thread.join()
        self.check_processes()
        self.wait_ready()

    def check_processes(self):
        """Reports every process that terminated unexpectedly as a breach."""
        for name, process in list(self.fleet.processes.items()):
            code = process.poll()
            if code is not None:
                self.breach("%s terminated unexpectedly with %d: %s"
                            % (name, code, self.fleet.log(name)[-300:]))

    # Rules that are checked at the end.

    def check_versions(self):
        withdrawn = "%s@%s" % self.deployment.withdrawn
        sessions = {}
        for request, account, session, version, start in self.responses:
            if version == withdrawn and self.withdrawn_at and start > self.withdrawn_at:
                self.breach("request %s ran on the withdrawn %s" % (request, version))
            if session and version != withdrawn:
                sessions.setdefault((account, session), set()).add(version)
        for name, versions in sessions.items():
            if len(versions) > 1:
                self.breach("session %s/%s ran on %s" % (*name, sorted(versions)))

    def check_bills(self):
        exported = self.fleet.command(self.entries()[0], "bill", "export").stdout.splitlines()
        billed_names = [json.loads(line)["name"] for line in exported]
        completed = [response[0] for response in self.responses]
        for request in set(billed_names):
            if billed_names.count(request) > 1:
                self.breach("request %s has %d bills" % (request, billed_names.count(request)))
            if request in self.refused_ids:
                self.breach("request %s was refused and has a bill" % request)
        for request in set(completed) - set(billed_names):
            self.breach("request %s was completed and has no bill" % request)
        extra = len(set(billed_names) - set(completed))
        if extra > self.interrupted:
            self.breach("%d bills without a response, %d exchanges were interrupted"
                        % (extra, self.interrupted))
        return len(billed_names)

    def check_postings(self):
        address = self.fleet.addresses[self.deployment.posting_service["name"]]
        runs = json.loads(exchange("GET", address + "/runs")[2])
        for key, count in runs.items():
            if count > 1:
                self.breach("posting %s was executed %d times" % (key, count))
        if len(runs) < len(self.postings):
            self.breach("%d postings completed, %d executed" % (len(self.postings), len(runs)))

    def run(self, seconds):
        deadline = time.monotonic() + seconds
        steps = self.plan()
        phases = self.phases()
        size = -(-len(steps) // len(phases))
        for number, (name, fault) in enumerate(phases):
            if time.monotonic() > deadline:
                self.breach("time limit exceeded before the phase: " + name)
                break
            self.run_phase(steps[number * size:(number + 1) * size], fault)
            print("phase %-18s %d answered" % (name, len(self.responses)))
        self.check_versions()
        bills = self.check_bills()
        self.check_postings()
        print("requests=%d answered=%d bills=%d postings=%d unknown_postings=%d cut=%d "
              "unanswered=%d breaches=%d"
              % (len(steps), len(self.responses), bills, len(self.postings), self.unknown_postings,
                 self.interrupted, self.unanswered, len(self.breaches)))
        return not self.breaches


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("deployment", choices=sorted(os.listdir(os.path.join(ROOT, "deploy"))))
    parser.add_argument("--seed", type=int, default=20)
    parser.add_argument("--requests", type=int, default=240)
    parser.add_argument("--seconds", type=int, default=240)
    options = parser.parse_args()
    print("deployment %s, seed %d" % (options.deployment, options.seed))
    with Fleet() as fleet:
        check = Check(fleet, Deployment(options.deployment), options.seed, options.requests)
        check.start()
        return 0 if check.run(options.seconds) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except AssertionError as problem:
        print("deploy_check: FAILED: %s" % problem)
        sys.exit(1)
