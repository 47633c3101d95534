"""The retry budget that up to hundreds of instances share.

Patterns: connections of a tenth of the instances are reset at once, while
instances are killed, cut off and started again; all targets of a service
reject a part of their requests for a minute.
"""

import collections
import dataclasses
import random
import unittest

from parameterized import parameterized

from turmericmast.balance.affinity import affinity
from turmericmast.balance.retrybudget import SharedRetryBudget

RATIO = 0.2
WINDOW = 10
SIZES = [(16, 62), (122, 198), (315, 440), (874, 1160), (1300, 440)]
"""Instances, and the retries beyond the ratio that the users allow them."""


@dataclasses.dataclass
class Instance:
    """One instance of the model, with the size of the cluster it sees."""

    name: str
    instances: int
    slack: float
    budget: SharedRetryBudget = dataclasses.field(init=False)

    def start(self, now: float) -> None:
        """Start, or start again, with nothing but the settings."""
        self.budget = SharedRetryBudget(
            RATIO, affinity('stock', self.name), now + WINDOW
        )
        self.see(self.instances)

    def see(self, instances: int) -> None:
        """Learn of the number of instances."""
        self.instances = instances
        self.budget.share_slack(self.slack, instances)


def start_all(instances: int, slack: float) -> list[Instance]:
    """Return instances that have run for long."""
    cluster = [
        Instance(f'edge-{number}', instances, slack)
        for number in range(instances)
    ]
    for instance in cluster:
        instance.start(-100)
    return cluster


def spend_all(budget: SharedRetryBudget, now: float) -> int:
    """Spend the tokens that are usable, and return their number."""
    return sum(iter(lambda: budget.try_withdraw(now), False))


class RetryBudgetTest(unittest.TestCase):
    """Instances stay within the budget together, and can use it."""

    @parameterized.expand([(1, 100), (20, 10), (20, 100), (60, 3)])
    def test_retry_storm(self, instances: int, requests: int) -> None:
        slack = 68
        spent = 0
        for instance in start_all(instances, slack):
            for _request in range(requests):
                instance.budget.deposit(0)
                spent += sum(instance.budget.try_withdraw(0) for _ in range(3))
        self.assertLessEqual(spent, RATIO * requests * instances + slack)

    @parameterized.expand(SIZES[:4])
    def test_one_lost_connection_at_a_tenth(
        self, instances: int, slack: float
    ) -> None:
        cluster = start_all(instances, slack)
        reset = random.Random(slack).sample(cluster, instances // 10)
        retried = sum(instance.budget.try_withdraw(0) for instance in reset)
        self.assertGreaterEqual(retried, 0.9 * len(reset))

    @parameterized.expand(SIZES)
    def test_targets_reject_for_a_minute(
        self, instances: int, slack: float
    ) -> None:
        cluster = start_all(instances, slack)
        spent_by_window = [
            sum(
                spend_all(instance.budget, window * 1.2 * WINDOW)
                for instance in cluster
            )
            for window in range(5)
        ]
        self.assertEqual(len(set(spent_by_window)), 1)
        self.assertGreaterEqual(spent_by_window[0], slack / 2)
        self.assertLessEqual(spent_by_window[0], slack)

    @parameterized.expand(
        [
            ('usable_at_once', -100, 0, 3),
            ('used_by_the_process_before', 0, 0, 0),
            ('window_is_over', 0, WINDOW, 3),
        ]
    )
    def test_share_after_a_start(
        self, _name: str, started_at: float, now: float, expected: int
    ) -> None:
        budget = SharedRetryBudget(RATIO, 0, started_at + WINDOW)
        budget.share_slack(60, 14)
        self.assertEqual(spend_all(budget, now), expected)

    @parameterized.expand([('grown', 14, 3, 6), ('first_token', 874, 0, 6)])
    def test_share_of_lost_instances_is_usable_later(
        self, _name: str, instances: int, first: int, later: int
    ) -> None:
        budget = SharedRetryBudget(RATIO, rank=0.9)
        budget.share_slack(60, instances)
        self.assertEqual(spend_all(budget, 0), first)
        budget.share_slack(60, 7)
        self.assertEqual(spend_all(budget, 1), 0)
        self.assertEqual(spend_all(budget, 1 + 1.2 * WINDOW), later)

    @parameterized.expand(SIZES)
    def test_every_window_of_a_random_history(
        self, instances: int, slack: float
    ) -> None:
        draw = random.Random(instances)
        cluster = start_all(instances, slack)
        requests: collections.Counter[int] = collections.Counter()
        retries: collections.Counter[int] = collections.Counter()
        for second in range(60):
            self._disturb(cluster, second, draw)
            for instance in cluster:
                if draw.random() < 0.6:
                    requests[second] += 1
                    instance.budget.deposit(second)
                while instance.budget.try_withdraw(second):
                    retries[second] += 1
        for start in range(60 - WINDOW):
            window = range(start, start + WINDOW)
            allowed = RATIO * sum(requests[second] for second in window)
            spent = sum(retries[second] for second in window)
            self.assertLessEqual(spent, allowed + slack, start)
        self.assertGreater(sum(retries.values()), 0)

    def _disturb(
        self, cluster: list[Instance], second: int, draw: random.Random
    ) -> None:
        """Restart some, and let a third see no others or be unseen."""
        for instance in draw.sample(cluster, len(cluster) // 8):
            instance.start(second)
        third = len(cluster) // 3
        is_cut = second % 20 > 10
        for instance in cluster[third:]:
            instance.see(len(cluster) - third if is_cut else len(cluster))
