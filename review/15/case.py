"""A first manifest with the version 0 is acknowledged: is it there afterwards?"""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness3 import BOUNDS, CONTROL, exchange, route, run  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"


def manifest(version):
    return {"version": version,
            "routes": [route("r-lookup", "/pufi791/", "safe", "wayleave")],
            "services": [{"name": "wayleave", "healthPath": "/health", "maxConnections": 110,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


def read_back(site):
    """Reads the manifest at every node, following redirects. Returns what the nodes answered."""
    answers = []
    for ip in site.control:
        address = "%s:%d" % (ip, CONTROL)
        for _ in range(3):
            try:
                status, headers, body = exchange(address, "GET", "/fireflyroute/Config.Read", timeout=1)
            except OSError:
                break
            if status != 307:
                answers.append((status, body))
                break
            address = headers["Location"].split("//", 1)[1].split("/", 1)[0]
    return answers


def main(site, trouble):
    time.sleep(5)  # machines start before the first manifest arrives
    sent = manifest(0 if trouble else 1)
    status = site.send_manifest(sent)
    site.add_worker("wayleave", "praha-a")
    site.add_worker("wayleave", "brno-a")
    time.sleep(BOUNDS["configApplyMs"] / 1000 + 5)
    statuses = [site.request(entry, "GET", "/pufi791/1", KEY)[1] for entry in site.entries for _ in range(5)]
    came, refusals, end = 0, [], time.monotonic() + 2 * BOUNDS["contactMs"] / 1000
    while time.monotonic() < end:
        for code, body in read_back(site):
            if code == 200 and json.loads(body) == sent:
                came += 1
            else:
                refusals.append(code)
        time.sleep(0.5)
    site.record.add("the manifest with version %d was answered %d" % (sent["version"], status))
    site.record.add("read back: it came %d times, other answers: %s" % (came, sorted(refusals)))
    site.record.add("requests on its route with its key: %s" % statuses)
    return status == 200 and came == 0


sys.exit(run(main, os.path.dirname(os.path.abspath(__file__))))
