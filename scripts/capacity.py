"""Measures the resource use that docs/CAPACITY.md extrapolates from, with small processes on
loopback: processor time and memory of the control leader by number of entries, of entries by number
of requests, and the size of one heartbeat in bytes. Prints one line per measurement."""

import json
import os
import sys
import threading
import time

from local_fleet import Fleet, chat, http, small_fleet_config, wait_until

MEASUREMENT_SECONDS = 8
MESSAGES = [{"role": "user", "content": "Tag this returned kettle."}]


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(pid):
    with open("/proc/%d/statm" % pid) as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def core_utilisation(pid):
    before = cpu_seconds(pid)
    time.sleep(MEASUREMENT_SECONDS)
    return (cpu_seconds(pid) - before) / MEASUREMENT_SECONDS


def measure_by_entries(counts):
    for count in counts:
        with Fleet() as fleet:
            control = fleet.control_group(1)
            for i in range(count):
                fleet.serve("entry-%d" % i, "entry", control, extra=["--traffic_threads=2"])
            time.sleep(2)
            leader = fleet.processes["control-1"].pid
            entry = fleet.processes["entry-0"].pid
            print("entries=%d leader_core=%.4f leader_mb=%.1f entry_core=%.4f entry_mb=%.1f"
                  % (count, core_utilisation(leader), resident_megabytes(leader),
                     core_utilisation(entry), resident_megabytes(entry)))


def measure_by_requests(counts):
    with Fleet() as fleet:
        control = fleet.control_group(1)
        entry = fleet.serve("entry-0", "entry", control)
        fleet.engine("engine-1", "small@1", [entry], ["--first_token_ms=1", "--token_ms=1",
                                                     "--concurrency=64"])
        key = fleet.account_key("duka-1")
        config = small_fleet_config(key, {"small": ("1", {"1": 100})})
        fleet.command(entry, "config", "set", "--file=" + fleet.write("f.json", config))
        wait_until(lambda: chat(entry, key["token"], MESSAGES, "small")[0] == 200, "served")
        pids = {name: fleet.processes[name].pid for name in ("control-1", "entry-0")}
        for count in counts:
            before = {name: cpu_seconds(pid) for name, pid in pids.items()}

            def send_requests():
                for _ in range(count // 8):
                    status, _, text = chat(entry, key["token"], MESSAGES, "small")
                    if status != 200:
                        raise AssertionError("status %d: %s" % (status, text))

            threads = [threading.Thread(target=send_requests) for _ in range(8)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            print("requests=%d " % count + " ".join(
                "%s_cpu_us_per_request=%.0f %s_mb=%.1f"
                % (name, (cpu_seconds(pid) - before[name]) / count * 1e6, name,
                   resident_megabytes(pid)) for name, pid in pids.items()))


def heartbeat_bytes():
    request = {"group": 0, "entry": {"id": "entry-1", "incarnation": 1796375412466,
                                     "address": "http://10.21.1.11:8080",
                                     "data_centre": "nairobi"},
               "number": 100000, "confirmed": 11000, "leaving": False}
    print("heartbeat_request_bytes=%d" % len(json.dumps(request, separators=(",", ":"))))


if __name__ == "__main__":
    heartbeat_bytes()
    measure_by_entries([1, 8, 32])
    measure_by_requests([400, 1600])
