"""The manifest changes once, after 94 s in which nothing changed: no machine, worker or manifest. The new
version adds a route. Requests on the first route and on the added one have to be served as before."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import Site, main, manifest, route, run_call, troubled  # noqa: E402

CALM_S = 94
APPLY_S = 2.5  # configApplyMs
REQUESTS = 20  # on each route and front machine, after the change


def version(number, has_second):
    routes = [route("refunds", "/refunds/", "unsafe", "ledger-app", timeoutMs=3000)]
    if has_second:
        routes.append(route("stock", "/stock/", "safe", "ledger-app", timeoutMs=3000))
    return manifest(number, routes, ["ledger-app"])


def run(case):
    with Site(case) as site:
        # Without the disruption the first version has both routes and stays in force.
        site.configure(version(1, has_second=not troubled()))
        for number in range(3):
            site.worker("i-%d" % (number + 1), "ledger-app", run_call(0.01))
        site.wait_until_ready()
        site.wait_until_served("POST", "/refunds/0")
        served = {"/refunds/": [0, 0], "/stock/": [0, 0]}  # requests, and those that were served

        def request(ip, method, path):
            channel = site.channel(ip)
            _, response = site.send(channel, method, path + "x", deadline_ms=3000)
            channel.close()
            served[path][0] += 1
            served[path][1] += response.status == 200

        calm_until = time.monotonic() + CALM_S
        while time.monotonic() < calm_until:
            for ip in site.entries:
                request(ip, "POST", "/refunds/")
            time.sleep(1)
        if troubled():
            site.configure(version(2, has_second=True))
        time.sleep(2 * APPLY_S)
        late = {path: list(counts) for path, counts in served.items()}
        for _ in range(REQUESTS):
            for ip in site.entries:
                request(ip, "POST", "/refunds/")
                request(ip, "GET", "/stock/")
            time.sleep(0.1)
        for path, counts in served.items():
            site.record("%s: %d of %d requests served, of them %d of %d after the change"
                        % (path, counts[1], counts[0], counts[1] - late[path][1],
                           counts[0] - late[path][0]))
        first, added = (counts[1] / counts[0] for counts in served.values())
        if added < first / 4:
            return ["CONFIG: of %d requests on the route that was added, %d were served; of %d on the "
                    "first route, %d" % (served["/stock/"][0], served["/stock/"][1],
                                         served["/refunds/"][0], served["/refunds/"][1])]
    return []


main(os.path.dirname(os.path.abspath(__file__)), run)
