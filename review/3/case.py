"""A planned stop of one front machine, in calm. Clients use the channels that they have kept: a stream
that began before the stop ends over 3 s after it, and the client sends its next stream on the same
channel. A request that is passed on has to get its complete answer."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins import (Site, event, main, manifest, reply, route, stream, troubled,  # noqa: E402
                      wait_until)

CLIENTS = 6
EVENTS, GAP_S = 20, 0.4  # of the second streams: 8 s
CALM_S = 5  # over contactMs
GRACE_S = 8
EXCUSED_S = 3  # requests that are sent this soon after SIGTERM may be cut at the end of the grace


def answer(worker, request):
    if request.path.startswith("/letters/first"):
        return stream(request, int(request.path.rsplit("/", 1)[1]), 0.1)
    if request.path.startswith("/letters/second"):
        return stream(request, EVENTS, GAP_S)
    return stream(request, 2, 0.01)


def run(case):
    broken = []
    with Site(case) as site:
        site.configure(manifest(1, [route("letters", "/letters/", "streaming", "letter-app",
                                          resumable=True)], ["letter-app"]))
        for number in range(3):
            site.worker("i-%d" % (number + 1), "letter-app", answer)
        site.wait_until_ready()
        site.wait_until_served("GET", "/letters/0")
        time.sleep(CALM_S)
        stopping = site.entries[0]
        channels = [site.channel(stopping) for _ in range(CLIENTS)]
        stopped_at = time.monotonic() + 0.5
        results = []

        def use(number):
            channel = channels[number]
            # 3.9 s and more, so that it ends over 3.2 s after the signal.
            site.send(channel, "POST", "/letters/first/%d" % (39 + number))
            sent_at = time.monotonic() - stopped_at
            if not channel.open:
                site.record("client %d: its channel has ended" % number)
                return
            identity, response = site.send(channel, "POST", "/letters/second")
            results.append((number, sent_at, identity, response))

        clients = [threading.Thread(target=use, args=(number,)) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(max(0, stopped_at - time.monotonic()))
        if troubled():
            site.signal(stopping, signal.SIGTERM)
        # The platform kills what still runs at the end of the grace.
        while any(client.is_alive() for client in clients):
            if troubled() and site.end_status(stopping) is None \
                    and time.monotonic() - stopped_at > GRACE_S:
                site.signal(stopping, signal.SIGKILL)
            time.sleep(0.05)
        site.record("the process ended with %s" % site.end_status(stopping))
        expected = b"".join(event(number) for number in range(1, EVENTS + 1))
        for number, sent_at, identity, response in sorted(results):
            runs = site.runs_of(identity)
            is_whole = response.complete and (response.status != 200 or response.body == expected)
            if sent_at > EXCUSED_S and runs and not is_whole:
                broken.append("LOST: request %s of client %d, sent %.2f s after SIGTERM, was passed on "
                              "to %s and its channel ended without a complete answer: status %d, "
                              "%d bytes" % (identity, number, sent_at, runs[0][3], response.status,
                                            len(response.body)))
    return broken


main(os.path.dirname(os.path.abspath(__file__)), run)
