"""Demonstrates one deployment, from a configuration change to responses, bills and the timeline."""

import json
import sys

from local_fleet import (Fleet, chat, expected_text, http, small_fleet_config, streamed_text,
                         wait_until)

TOKENS_PER_RESPONSE = 8


def check(condition, description):
    if not condition:
        raise AssertionError(description)
    print("ok   " + description)


def main():
    with Fleet() as fleet:
        control = fleet.control_group(3)
        entries = [fleet.serve("entry-1", "entry", control),
                   fleet.serve("entry-2", "entry", control)]
        fleet.engine("engine-1", "small@1,small@2", entries)
        fleet.engine("engine-2", "small@1,large@1", entries)
        refunds = fleet.service("service-1", "refunds", entries)

        key = fleet.account_key("duka-1")
        config = small_fleet_config(key, {"small": ("1", {"1": 100, "2": 120}),
                                          "large": ("1", {"1": 2000})})
        result = fleet.command(entries[0], "config", "set",
                               "--file=" + fleet.write("fleet.json", config))
        print(result.stdout.strip())
        for entry in entries:
            wait_until(lambda: http("GET", entry + "/readyz")[0] == 200, "entry ready")
            wait_until(lambda: len(json.loads(fleet.command(entry, "endpoint", "list").stdout)
                                   ["endpoints"]) == 3, "all endpoints are registered")

        messages = [{"role": "user", "content": "Tag this returned kettle."}]
        status, headers, text = chat(entries[0], key["token"], messages, "small")
        print(text)
        message_text = json.loads(text)["choices"][0]["message"]["content"]
        check(status == 200
              and message_text == expected_text("small@1", messages, TOKENS_PER_RESPONSE),
              "complete response from the stable version")
        status, headers, text = chat(entries[1], key["token"], messages, "large", stream=True)
        content, complete = streamed_text(text)
        check(complete and content == expected_text("large@1", messages, TOKENS_PER_RESPONSE),
              "streamed response through the other entry")
        status, headers, text = chat(entries[0], key["token"], messages, "small@2")
        check(status == 200 and headers["Fireflyroute-Version"] == "2",
              "the requested version responds")

        post = {"Authorization": "Bearer " + key["token"], "Idempotency-Key": "refund-17"}
        first = http("POST", entries[0] + "/services/refunds/post/17", '{"amount":5}', post)
        second = http("POST", entries[1] + "/services/refunds/post/17", '{"amount":5}', post)
        runs = json.loads(http("GET", refunds + "/runs")[2])
        check(first[0] == 200 and second[2] == first[2],
              "a repeated posting gets the first response")
        check(list(runs.values()) == [1], "the posting was executed once")

        fleet.command(entries[1], "version", "withdraw", "--model=small", "--model_version=2",
                      "--reason=wrong totals", "--yes")
        status, headers, text = chat(entries[0], key["token"], messages, "small@2")
        check(status == 410 and json.loads(text)["ran"] == "no", "a withdrawn version is refused")

        fleet.kill("entry-1")
        status, headers, text = chat(entries[1], key["token"], messages, "small")
        check(status == 200, "the other entry continues to serve after a kill")

        bills = [json.loads(line)
                 for line in fleet.command(entries[1], "bill", "export").stdout.splitlines()]
        for bill in bills:
            print(json.dumps(bill))
        check(len(bills) == 5, "one bill for each of the five completed requests")
        timeline = fleet.command(entries[1], "timeline").stdout
        print(timeline)
        check("version_withdrawn" in timeline and "request_finished" in timeline,
              "the timeline shows the changes of all processes")
        check(fleet.terminate("entry-2") == 0, "graceful shutdown")
    print("demo: every response was correct")


if __name__ == "__main__":
    try:
        main()
    except AssertionError as problem:
        print("demo: FAILED: %s" % problem)
        sys.exit(1)
