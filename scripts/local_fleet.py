"""Starts the processes of one deployment on loopback and terminates them by process id.

Used by the demo and by tests that run the real binary. Ports are reserved, and data folders are
temporary.
"""

import fcntl
import hashlib
import json
import os
import random
import shutil
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("FIREFLYROUTE_BUILD", os.path.join(ROOT, "build", "release"))
BINARY = os.path.join(BUILD, "app", "fireflyroute")
ENGINE = os.path.join(BUILD, "testing", "model_engine")
SERVICE = os.path.join(BUILD, "testing", "plain_service")

PORT_COUNT = 10000  # ports below the ephemeral ones that free_address() chooses from
RESERVATIONS = []  # open lock files of the ports that this process has reserved


def reserve_port(port):
    """Reserves a port among all processes that use this function. Returns whether it was free."""
    path = os.path.join(tempfile.gettempdir(), "fireflyroute-port-%d.lock" % port)
    lock = open(path, "w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
    except OSError:
        lock.close()
        return False
    RESERVATIONS.append(lock)
    return True


def free_address():
    """Returns a loopback address whose port is reserved until this process ends. The kernel gives ports
    below the ephemeral ones to no outgoing connection, so the port is still free when it is bound."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
        first_ephemeral = int(file.read().split()[0])
    ports = range(max(1024, first_ephemeral - PORT_COUNT), first_ephemeral)
    port = next(port for port in random.sample(ports, len(ports)) if reserve_port(port))
    return "http://127.0.0.1:%d" % port


def http(method, url, body=None, headers=None, timeout=20):
    """Sends one request. Returns status, headers and text, also for error statuses."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def wait_until(condition, description, seconds=20, pause_s=0.05):
    """Polls until the condition holds. The time-out only prevents an endless wait."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, urllib.error.URLError):
            pass
        time.sleep(pause_s)
    raise AssertionError("timed out waiting for: " + description)


def expected_text(version, messages, tokens):
    """Returns the response of the model engine stand-in to these messages."""
    prompt = json.dumps(messages, separators=(",", ":"), sort_keys=True)
    digest = hashlib.sha256((version + prompt).encode()).hexdigest()[:6]
    return "".join("w%d-%s " % (i, digest) for i in range(tokens))


class Fleet:
    """The processes of one deployment. Use it in a with statement."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="fireflyroute-")
        self.processes = {}
        self.addresses = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for name in list(self.processes):
            self.kill(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name, arguments):
        with open(os.path.join(self.folder, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log,
                                                    cwd=self.folder)

    def serve(self, name, roles, control="", address=None, extra=()):
        """Starts a fireflyroute process and returns its address. `control` is the value of
        --control: NAME=ADDRESS of each control VM."""
        address = address or self.addresses.get(name) or free_address()
        self.addresses[name] = address
        arguments = [BINARY, "serve", "--vm=" + name, "--roles=" + roles, "--listen=" + address,
                     "--data_dir=" + os.path.join(self.folder, "data-" + name)]
        if control:
            arguments.append("--control=" + control)
        self.spawn(name, arguments + list(extra))
        try:
            wait_until(lambda: http("GET", address + "/healthz")[0] == 200, name + " to start")
        except AssertionError as failure:
            raise AssertionError("%s (exit code %s, %s): %s" % (
                failure, self.processes[name].poll(), address, self.log(name)[-2000:])) from failure
        return address

    def control_group(self, count):
        """Starts control VMs that form one group. Returns the value of --control."""
        names = ["control-%d" % (i + 1) for i in range(count)]
        for name in names:
            self.addresses[name] = free_address()
        control = ",".join("%s=%s" % (name, self.addresses[name]) for name in names)
        for name in names:
            extra = ["--init_group"] if name == names[0] and count > 1 else []
            self.serve(name, "control", control, extra=extra)
        return control

    def engine(self, name, versions, entries, extra=()):
        address = self.addresses.get(name) or free_address()
        self.addresses[name] = address
        self.spawn(name, [ENGINE, "--listen=" + address, "--id=" + name, "--versions=" + versions,
                          "--entries=" + ",".join(entries)] + list(extra))
        wait_until(lambda: http("GET", address + "/stats")[0] == 200, name + " to start")
        return address

    def service(self, name, service, entries, extra=()):
        address = self.addresses.get(name) or free_address()
        self.addresses[name] = address
        self.spawn(name, [SERVICE, "--listen=" + address, "--id=" + name, "--service=" + service,
                          "--entries=" + ",".join(entries)] + list(extra))
        wait_until(lambda: http("GET", address + "/runs")[0] == 200, name + " to start")
        return address

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name):
        """Terminates a process with SIGTERM and returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=60)

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log")) as file:
            return file.read()

    def command(self, server, *words, check=True):
        """Runs an operator command against an entry. Returns the completed process."""
        result = subprocess.run([BINARY, *words, "--server=" + server, "--author=tester"],
                                capture_output=True, text=True, timeout=60, cwd=self.folder)
        if check and result.returncode != 0:
            raise AssertionError("%s: exit %d\n%s%s" % (" ".join(words), result.returncode,
                                                       result.stdout, result.stderr))
        return result

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            json.dump(value, file)
        return path

    def account_key(self, account):
        result = subprocess.run([BINARY, "account", "key", "--id=" + account], capture_output=True,
                                text=True, check=True, timeout=60)
        return json.loads(result.stdout)


def chat(entry, token, messages, model="auto", stream=False, headers=None, timeout=20,
         max_tokens=None):
    """Posts a chat completion request. Returns status, headers and text."""
    body = {"model": model, "messages": messages, "stream": stream}
    if max_tokens:
        body["max_tokens"] = max_tokens
    request_headers = {"Authorization": "Bearer " + token, "Content-Type": "application/json"}
    request_headers.update(headers or {})
    return http("POST", entry + "/v1/chat/completions", json.dumps(body), request_headers, timeout)


def streamed_text(text):
    """Returns the content of a streamed response, and whether its end marker was received."""
    chunks = []
    complete = False
    for line in text.splitlines():
        if line == "data: [DONE]":
            complete = True
        elif line.startswith("data: "):
            event = json.loads(line[len("data: "):])
            for choice in event.get("choices", []):
                chunks.append(choice.get("delta", {}).get("content", ""))
    return "".join(chunks), complete


def small_fleet_config(token, models):
    """Returns a configuration with one account that may use all models. `models` maps a model name
    to (stable version, {version: cost})."""
    return {
        "defaults": {"first_byte_timeout_ms": 2000, "inter_token_timeout_ms": 1000},
        "models": [
            {"name": name, "stable": stable,
             "versions": [{"name": version, "input_cost_per_kilo_token": cost,
                           "output_cost_per_kilo_token": cost, "expected_quality": 0.9}
                          for version, cost in versions.items()]}
            for name, (stable, versions) in models.items()],
        "accounts": [{"id": token["token"].rsplit(".", 1)[0], "key_salt": token["key_salt"],
                      "key_hash": token["key_hash"],
                      "allowed": [{"model": name} for name in models]}],
        "services": [{"name": "refunds",
                      "non_repeatable": [{"method": "POST", "path_prefix": "/post"}]}],
    }
