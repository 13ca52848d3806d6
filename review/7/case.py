"""The last tenant is removed: its key is taken away by a manifest whose list of tenants is empty."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness2 import BOUNDS, BROKEN, HELD, LIMITS, TROUBLE, NotRun, Worker, route, run, wait_until  # noqa: E402

KEY = "key-of-the-shop"
NEVER_HELD = "key-that-no-manifest-held"
REQUESTS = 20  # with each key


def manifest(version, tenants):
    return json.dumps({"version": version,
                       "routes": [route("refund", "/refunds/", "unsafe", "ledger", maxAttempts=1),
                                  route("lookup", "/lookup/", "safe", "ledger")],
                       "services": [{"name": "ledger", "healthPath": "/health", "maxConnections": 110}],
                       "limits": LIMITS, "tenants": tenants})


def case(site, record):
    site.start_all()
    worker = Worker(site, "i-1", "ledger")
    first = [{"name": "shop", "apiKeys": [KEY]}]
    if not TROUBLE:
        first.append({"name": "other", "apiKeys": ["key-of-another"]})
    answer = site.order("POST", "/fireflyroute/Config.Replace", manifest(1, first))
    record("manifest 1 with %d tenants: %s" % (len(first), answer))
    served = wait_until(lambda: site.request("GET", "/lookup/1", KEY)[0] == 200, 20)
    if not served or site.request("GET", "/lookup/1", NEVER_HELD)[0] != 401:
        raise NotRun("the site does not serve")
    record("key of the shop: 200; key that no manifest held: 401")
    left = first[1:]
    answer = site.order("POST", "/fireflyroute/Config.Replace", manifest(2, left))
    record("manifest 2, which takes the key of the shop away, with %d tenants left: %s" % (len(left), answer))
    if not answer or answer[0] != 200:
        return HELD  # not confirmed, so nothing is owed
    time.sleep(BOUNDS["revokeMs"] / 1000 + 1)
    record("%.1f s after the confirmation; revokeMs is %d, revokeFailClosed is true"
           % (BOUNDS["revokeMs"] / 1000 + 1, BOUNDS["revokeMs"]))
    broken = 0
    for number in range(REQUESTS):
        for key, what in ((KEY, "taken away"), (NEVER_HELD, "never held")):
            path = "/refunds/%s-%d" % (what.replace(" ", "-"), number)
            status = site.request("POST", path, key)[0]
            runs = [item for item in worker.runs if item[2] == path]
            broken += len(runs)
            record("POST %s with the key %s: %d; runs: %s" % (path, what, status, runs))
    record("requests that ran without a key that is in force: %d of %d" % (broken, 2 * REQUESTS))
    return BROKEN if broken else HELD


run(__file__, case)
