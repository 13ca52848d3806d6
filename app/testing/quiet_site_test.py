"""Process test of a site in which nothing changes for longer than endpoint records are kept."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from platform_stand_in import Site, call, wait_until  # noqa: E402

# Longer than entries keep the records of removed endpoints.
QUIET_S = 95


class QuietSiteTest(unittest.TestCase):
    # Guards against entries that forget all workers in calm and refuse every request after the next
    # change of the configuration (review/1).
    def test_workers_are_used_after_a_calm_period_and_a_change_of_the_configuration(self):
        with Site(51, entries=2) as site:
            site.configure(1)
            workers = [site.worker("i-%d" % number, "ledger") for number in range(1, 4)]
            for entry in range(2):
                wait_until(lambda entry=entry: site.is_ready(entry), "the entry is ready")
                wait_until(lambda entry=entry: site.request("/calls/1", entry=entry)[0] == 200,
                           "the call is served")
            # The last change of any endpoint is the loss of one worker, early in the calm.
            workers[2].stop()
            time.sleep(QUIET_S)
            site.configure(2, prefix="/lookups/")
            for entry in range(2):
                wait_until(lambda entry=entry: site.entry_metric("site_config_version", entry) == 2,
                           "the entry applies version 2")
                statuses = [site.request("/lookups/1", entry=entry)[0] for _ in range(20)]
                self.assertEqual(statuses, [200] * 20)
                metrics = call("GET", site.entries[entry] + ":9464", "/metrics")[2]
                self.assertIn("fireflyroute_entry_ready 1", metrics)


if __name__ == "__main__":
    unittest.main()
