"""Process tests of clients that ignore the limits: an entry and control VMs over loopback, with a small
crowd of such clients and the settings of a small VM.

Each test checks what doesn't depend on the machine's speed: the process lives, its memory and open
descriptors stay under a bound, and one ordinary request is answered afterwards, while the crowd is still
connected. Guards against clients that end a process because it runs out of memory or descriptors.
"""

import contextlib
import http.client
import os
import socket
import sys
import threading
import time
import unittest
import unittest.mock

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from platform_stand_in import Site, call, wait_until  # noqa: E402

MB = 1 << 20
MEMORY_MB = 64  # of each VM
CROWD = 24  # connections
BODY_BYTES = 4 * MB  # the longest legal body
FLOOD_BYTES = 8 * MB  # sent by each client that knows no end
MISSING_BYTES = 10  # of a body that stops just short of its end
MAX_FILES = 128  # open descriptors of a process
FIELD_CROWD = 300  # connections with heads of small fields
FIELDS = 2600  # of such a head, within the limit of 16 KB
IDLE_CROWD = 200  # connections, more than the descriptors of the process
SEND_TIMEOUT_S = 2  # of a client whose bytes aren't read


class Client:
    """A connection that sends bytes until it is refused, and then stays open."""

    def __init__(self, address, parts):
        self.socket = socket.socket()
        self.address, self.parts = address, parts
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        try:
            self.socket.settimeout(SEND_TIMEOUT_S)
            self.socket.connect(self.address)
            for part in self.parts:
                self.socket.sendall(part)
        except OSError:
            pass  # refused, closed or not read


def head(framing, path="/calls/hostile", host="desk.example"):
    return ("POST %s HTTP/1.1\r\nHost: %s\r\nFireflyroute-Request-Id: hostile\r\n"
            "Authorization: Token k1\r\nFireflyroute-Deadline-Ms: 6000\r\n%s\r\n\r\n"
            % (path, host, framing)).encode()


LENGTH = "Content-Length: %d"
CHUNKED = "Transfer-Encoding: chunked"


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"b" * size)


def repeated(piece, total):
    for _ in range(total // len(piece)):
        yield piece


def trailer_lines():
    yield head(CHUNKED) + b"5\r\nhello\r\n0\r\n"
    yield from repeated(b"X-Filler: %s\r\n" % (b"t" * 1000) * 16, FLOOD_BYTES)


def one_trailer():
    yield head(CHUNKED) + b"5\r\nhello\r\n0\r\nX-Filler: "
    yield from repeated(b"t" * 16384, FLOOD_BYTES)


def chunk_extension():
    yield head(CHUNKED) + b"5;"
    yield from repeated(b"e" * 16384, FLOOD_BYTES)


def chunked_flood():
    yield head(CHUNKED)
    yield from repeated(chunk(16384), FLOOD_BYTES)


def announced_flood():
    yield head(LENGTH % (8 << 30))
    yield from repeated(b"b" * 16384, FLOOD_BYTES)


def whole_body():
    yield head(LENGTH % BODY_BYTES)
    yield from repeated(b"b" * 16384, BODY_BYTES)


def whole_chunked_body():
    yield head(CHUNKED)
    yield from repeated(chunk(16384), BODY_BYTES)
    yield b"0\r\n\r\n"


def open_body(path="/calls/hostile"):
    yield head(LENGTH % BODY_BYTES, path)
    yield from repeated(b"b" * 16384, BODY_BYTES - 16384)
    yield b"b" * (16384 - MISSING_BYTES)


def open_chunked_body():
    yield head(CHUNKED)
    yield from repeated(chunk(16384), BODY_BYTES - 16384)


def endless_head():
    yield b"GET /calls/1 HTTP/1.1\r\n"
    yield from repeated(b"X-Filler: %s\r\n" % (b"h" * 1000) * 16, FLOOD_BYTES)


def head_of_small_fields():
    yield head("".join("a:b\r\n" for _ in range(FIELDS)) + LENGTH % 0)


class HostileClientTest(unittest.TestCase):
    @contextlib.contextmanager
    def site(self, network, limits=None, **options):
        site = Site(network)
        site.memory_mb = MEMORY_MB
        with site:
            site.configure(1, change=lambda config: config.update(limits=limits or {}))
            site.worker("i-1", "ledger", **options)
            site.wait_until_served("/calls/1")
            yield site

    @contextlib.contextmanager
    def crowd(self, address, size, make_parts):
        """Connects the clients and waits until each has sent all of its bytes, or is refused or not read."""
        clients = [Client(address, make_parts()) for _ in range(size)]
        try:
            for client in clients:
                client.thread.join()
            yield
        finally:
            for client in clients:
                client.socket.close()

    def open_files(self, site, ip):
        return len(os.listdir("/proc/%d/fd" % site.processes[ip].pid))

    def assert_bounded(self, site, ip):
        self.assertIsNone(site.processes[ip].poll(), "the process has ended")
        self.assertLess(site.peak_bytes(ip), MEMORY_MB * MB)
        self.assertLess(self.open_files(site, ip), MAX_FILES)

    def assert_served(self, site, path="/calls/1"):
        def is_served():
            with contextlib.suppress(OSError):
                return site.request(path)[0] == 200

        wait_until(is_served, "an ordinary request is answered")

    def attack_entry(self, network, make_parts, **options):
        with self.site(network, **options) as site:
            entry = site.entries[0]
            with self.crowd((entry, 8227), CROWD, make_parts):
                self.assert_bounded(site, entry)
                self.assert_served(site)
                self.assert_bounded(site, entry)

    def test_trailer_lines_without_end(self):
        self.attack_entry(131, trailer_lines)

    def test_one_trailer_without_end(self):
        self.attack_entry(132, one_trailer)

    def test_chunk_extension_without_end(self):
        self.attack_entry(133, chunk_extension)

    def test_chunked_bodies_over_the_limit(self):
        self.attack_entry(134, chunked_flood)

    def test_announced_bodies_over_the_limit(self):
        self.attack_entry(135, announced_flood)

    def test_heads_without_end(self):
        self.attack_entry(136, endless_head)

    def test_bodies_that_stop_short_of_their_end(self):
        self.attack_entry(137, open_body)

    def test_chunked_bodies_that_stop_short_of_their_end(self):
        self.attack_entry(138, open_chunked_body)

    # The worker keeps each request for a while, so that the entry holds them at the same time.
    def test_whole_bodies_at_once(self):
        self.attack_entry(139, whole_body, faults={"hostile": lambda worker, request: time.sleep(3)})

    def test_whole_chunked_bodies_at_once(self):
        self.attack_entry(140, whole_chunked_body,
                          faults={"hostile": lambda worker, request: time.sleep(3)})

    # A field takes many times its bytes once it is parsed, and a request is kept until it is answered.
    @unittest.mock.patch.object(http.client, "_MAXHEADERS", 2 * FIELDS)  # of the worker's parser
    def test_heads_of_many_small_fields_at_once(self):
        with self.site(146, faults={"hostile": lambda worker, request: time.sleep(3)}) as site:
            entry = site.entries[0]
            with self.crowd((entry, 8227), FIELD_CROWD, head_of_small_fields):
                self.assert_served(site)
                self.assertIsNone(site.processes[entry].poll(), "the process has ended")
                self.assertLess(site.peak_bytes(entry), MEMORY_MB * MB)

    def test_bodies_for_a_control_vm_that_stop_short_of_their_end(self):
        path = "/fireflyroute/Config.Replace"
        with self.site(141) as site:
            vm = site.control[0]
            with self.crowd((vm, 8229), CROWD, lambda: open_body(path)):
                self.assert_bounded(site, vm)
                # A VM that doesn't lead redirects the call.
                self.assertIn(call("GET", vm + ":8229", "/fireflyroute/Config.Read")[0], (200, 307))
                self.assert_bounded(site, vm)

    # A document of many small values takes many times its length once it is parsed.
    def test_document_of_many_values_for_a_control_vm(self):
        with self.site(145) as site:
            vm = site.control[0]
            body = '{"version":9,"routes":[' + "0," * (BODY_BYTES // 2 - 50) + "0]}"
            self.assertEqual(call("POST", vm + ":8229", "/fireflyroute/Config.Replace", body)[0],
                             400)
            self.assert_bounded(site, vm)
            self.assert_served(site)

    def attack_descriptors(self, network, make_parts):
        # Time-outs of the connections don't end the attack.
        with self.site(network, limits={"headerTimeoutMs": 60000, "idleTimeoutMs": 60000}) as site:
            entry = site.entries[0]
            site.kill(entry)
            site.start(entry, max_files=MAX_FILES)
            site.wait_until_served("/calls/1")
            with self.crowd((entry, 8227), IDLE_CROWD, make_parts):
                self.assertIsNone(site.processes[entry].poll(), "the process has ended")
                self.assertLess(self.open_files(site, entry), MAX_FILES)
                self.assert_served(site)
                self.assertTrue(site.is_ready())
                self.assertEqual(site.entry_metric("entry_ready"), 1)

    def test_connections_that_say_nothing(self):
        self.attack_descriptors(142, lambda: iter(()))

    def test_connections_that_send_a_part_of_a_head(self):
        self.attack_descriptors(143, lambda: iter((b"G", b"E")))

    # A request inside the limits is served in calm, also the largest one.
    def test_largest_legal_request_is_served(self):
        for framing in (whole_body, whole_chunked_body):
            with self.site(144) as site, socket.create_connection((site.entries[0], 8227)) as client:
                client.settimeout(20)
                for part in framing():
                    client.sendall(part)
                self.assertTrue(client.recv(12).startswith(b"HTTP/1.1 200"))


if __name__ == "__main__":
    unittest.main()
