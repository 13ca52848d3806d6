"""A model reports low confidence in its answer on a streaming route that isn't resumable."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness2 import BROKEN, HELD, LIMITS, TROUBLE, NotRun, Worker, route, run, wait_until  # noqa: E402

KEY = "key-1"
REQUESTS = 20
MODELS = ["small", "large"]

MANIFEST = json.dumps({
    "version": 1,
    "routes": [route("letter", "/letters/", "streaming", "engine", maxAttempts=3, sticky=True, resumable=False,
                     sizes=MODELS, timeoutMs=20000, targetLatencyMs=4000, targetGapMs=1000)],
    "services": [{"name": "engine", "healthPath": "/health", "maxConnections": 370,
                  "engine": {"slots": 64, "kvCapacityTokens": 402347, "stride": 1,
                             "models": [{"name": "small", "cost": 0.024}, {"name": "large", "cost": 0.36}]}}],
    "limits": LIMITS, "tenants": [{"name": "shop", "apiKeys": [KEY]}]})


def send(site, number):
    """Returns the request's id and its answer."""
    identity = "request-%d" % number
    answer = site.request("POST", "/letters/%d" % number, KEY, deadline_ms=20000, timeout=21, request_id=identity,
                          headers={"Fireflyroute-Model": "*", "Fireflyroute-Token-Counts": "100,12",
                                   "Fireflyroute-Prompt-Prefix": "a:60,b%x:40" % number})
    return identity, answer


def case(site, record):
    site.start_all()
    confidence = {"small": 20 if TROUBLE else 95, "large": 95}
    workers = [Worker(site, "i-%d" % (i + 1), "engine", confidence=confidence) for i in range(3)]
    record("confidence of the models: %s" % confidence)
    answer = site.order("POST", "/fireflyroute/Config.Replace", MANIFEST)
    record("manifest 1, route letter: streaming, resumable false, sizes %s: %s" % (MODELS, answer))
    if not wait_until(lambda: send(site, 0)[1][0] == 200, 20):
        raise NotRun("the site does not serve")
    broken = 0
    for number in range(1, REQUESTS + 1):
        identity, (status, _, body) = send(site, number)
        runs = [(worker.name, item[3]) for worker in workers for item in worker.runs if item[0] == identity]
        broken += len(runs) > 1
        record("%s: %d, %d events; runs: %s" % (identity, status, body.count(b"id: "), runs))
    record("requests that ran more than once: %d of %d" % (broken, REQUESTS))
    return BROKEN if broken else HELD


run(__file__, case)
