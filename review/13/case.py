"""A manifest takes the only tenant away: its key and unknown keys must not run anything afterwards."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness3 import BOUNDS, route, run  # noqa: E402

HELD, NEVER_HELD = "n2ctnfzs989anu6wsjnb", "zzzzzzzzzz989anu6wsj"


def manifest(version, tenants):
    return {"version": version,
            "routes": [route("r-lookup", "/pufi791/", "safe", "wayleave"),
                       route("r-record", "/puxa403/", "unsafe", "wayleave", maxAttempts=1)],
            "services": [{"name": "wayleave", "healthPath": "/health", "maxConnections": 110,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants}


def main(site, trouble):
    tenant = {"name": "hule930", "apiKeys": [HELD], "priority": 1}
    site.send_manifest(manifest(3, [tenant]))
    site.add_worker("wayleave", "praha-a")
    site.add_worker("wayleave", "brno-a")
    for entry in site.entries:
        site.wait(lambda entry=entry: site.is_ready(entry), "a ready entry")
        site.wait(lambda entry=entry: site.request(entry, "GET", "/pufi791/1", HELD)[1] == 200,
                  "an answer with the key")
        site.wait(lambda entry=entry: site.request(entry, "GET", "/pufi791/1", NEVER_HELD)[1] == 401,
                  "a refusal without the key")
    time.sleep(5)  # calm
    site.send_manifest(manifest(8, [] if trouble else [tenant]))
    time.sleep(BOUNDS["revokeMs"] / 1000 + 1)
    taken_away, never_held = set(), set()
    for number in range(10):
        for entry in site.entries:
            kind = ("GET", "/pufi791/2") if number % 2 else ("POST", "/puxa403/2")
            taken_away.add(site.request(entry, *kind, key=HELD)[0])
            never_held.add(site.request(entry, *kind, key=NEVER_HELD)[0])
            never_held.add(site.request(entry, *kind)[0])
        time.sleep(0.2)
    if not trouble:
        taken_away = set()  # the key is still held
    ran = {run[1] for run in site.runs()}
    site.record.add("of %d requests with the key that was taken away, %d ran" % (
        len(taken_away), len(ran & taken_away)))
    site.record.add("of %d requests with a key that no manifest held or without one, %d ran" % (
        len(never_held), len(ran & never_held)))
    return bool(ran & (taken_away | never_held))


sys.exit(run(main, os.path.dirname(os.path.abspath(__file__))))
