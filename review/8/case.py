"""The manifest grows by many routes, and many changes follow. The platform kills a process that uses more memory
than its machine has."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness2 import (BOUNDS, BROKEN, HELD, LIMITS, MEMORY_MB, TROUBLE, NotRun, route, run,  # noqa: E402
                      wait_until)

GROWTH = 1300  # routes more with each of the first manifests; the largest dose of big_config is 1,400
GROWTHS = 5
CHANGES = 100  # in all
CHANGE_S = 75.0  # time for them
SHOWN_KILLS = 12
READ_S = 20.0  # for which the manifest is read back, beyond recoveryS


def manifest(version):
    routes = [route("lookup", "/lookup/", "safe", "ledger")]
    for number in range(GROWTH * min(version - 1, GROWTHS) if TROUBLE else 0):
        routes.append({"name": "r-%07d" % number, "host": "ficu95.example", "pathPrefix": "/lohu%d/" % number,
                       "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 8000, "priority": 2,
                       "sizes": ["daka510000", "rada7437b5", "ravo486f6a"],
                       "trafficSplit": [{"service": "huvo11a", "weight": 90}, {"service": "ledger", "weight": 10}],
                       "maxAttempts": 3, "public": False, "sticky": True, "resumable": True, "targetGapMs": 1000})
    routes[0]["timeoutMs"] = 3000 + version  # what each change changes
    models = [{"name": "daka510000", "cost": 0.024}, {"name": "rada7437b5", "cost": 0.18},
              {"name": "ravo486f6a", "cost": 0.36}]
    return json.dumps({"version": version, "routes": routes,
                       "services": [{"name": "ledger", "healthPath": "/health", "maxConnections": 110},
                                    {"name": "huvo11a", "healthPath": "/health", "maxConnections": 370,
                                     "engine": {"slots": 64, "kvCapacityTokens": 402347, "models": models}}],
                       "limits": LIMITS, "tenants": [{"name": "shop", "apiKeys": ["key-1"]}]})


def case(site, record):
    site.start_all()
    kills = []

    def on_kill(ip, used):
        kills.append((time.monotonic(), ip))
        if len(kills) > SHOWN_KILLS:
            return
        record("the platform kills the process on %s: %.0f MB, memoryMb is %d" % (ip, used, MEMORY_MB["core"]))

    site.watch_memory(on_kill)
    if not site.order("POST", "/fireflyroute/Config.Replace", manifest(1)):
        raise NotRun("the site does not serve")
    if not wait_until(lambda: site.is_ready(site.entries[0]), 15):
        raise NotRun("the entry is not ready")
    time.sleep(2)
    newest, end = 1, time.monotonic() + CHANGE_S
    for version in range(2, CHANGES + 1):
        body = manifest(version)
        left = end - time.monotonic()
        answer = site.order("POST", "/fireflyroute/Config.Replace", body, seconds=min(left, 15), answer_s=5) \
            if left > 0 else None
        if not answer or answer[0] != 200:
            record("manifest %d (%d bytes): no confirmation" % (version, len(body)))
            break
        newest = version
        if version <= GROWTHS + 1 or version % 10 == 0:
            record("manifest %d (%d bytes) is confirmed; memory: %s MB"
                   % (version, len(body), [round(site.resident_mb(ip)) for ip in site.controls]))
    record("newest confirmed manifest: %d; largest memory: %s MB"
           % (newest, {ip: round(used) for ip, used in site.peak_mb.items()}))
    time.sleep(BOUNDS["recoveryS"])
    answer = site.order("GET", "/fireflyroute/Config.Read", seconds=READ_S, answer_s=2)
    read = json.loads(answer[1])["version"] if answer and answer[0] == 200 else None
    record("read back for %.0f s, from recoveryS after the last change: version %s" % (READ_S, read))
    record("processes of the core that ended because of their memory: %d times, %d of %d machines"
           % (len(kills), len({ip for _, ip in kills}), len(site.controls)))
    return BROKEN if read is None or read < newest else HELD


run(__file__, case)
