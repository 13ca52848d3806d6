"""A short run of the soak of planned work, with fixed seeds."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "testing"))

from planned_soak import run_seed  # noqa: E402

SEEDS = {101: 118, 102: 119}  # with the networks that they use


class PlannedSoakTest(unittest.TestCase):
    # Guards against planned work that loses requests, runs them twice or after a refusal, mixes answers
    # up, or ends processes by itself, in orders that no other test has (LOST, TWICE, REFUSED, MIXED).
    def test_planned_work_loses_no_request(self):
        for seed, network in SEEDS.items():
            with self.subTest(seed=seed):
                passed, text = run_seed(seed, 22, network)
                print(text, flush=True)
                self.assertTrue(passed, text)


if __name__ == "__main__":
    unittest.main()
