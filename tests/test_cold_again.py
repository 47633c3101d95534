"""Targets that become cold again without a restart.

Pattern: 180 requests a second in each of three failure domains, whose two
targets take 20 ms for one; three targets in turn are cold for 3 s.
"""

import unittest

from parameterized import parameterized

from tests.cold_site import ALLOWED, ColdSite, Load

SEEDS = range(1, 7)


class ColdAgainTest(unittest.TestCase):
    """A cold target gets no more requests in a second than it bears."""

    # Guards against targets that get requests at full speed until their last
    # confirmation has expired.
    @parameterized.expand(
        [
            (f'{instances}_instances_{seed}', seed, instances)
            for instances in (1, 3)
            for seed in SEEDS
        ]
    )
    def test_requests_of_a_second(
        self, _name: str, seed: int, instances: int
    ) -> None:
        site = ColdSite(seed, Load(instances_of_a_domain=instances))
        site.run()
        most = [cold.most_in_a_second() for cold in site.targets.values()]
        self.assertLessEqual(max(most), ALLOWED, most)
