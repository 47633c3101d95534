"""Decisions about tokens: limits, buckets, the ledger, caches and batches."""

import unittest
from typing import Any

from parameterized import parameterized

from turmericmast.account.account import Account
from turmericmast.allowance.batch import DemandBatch
from turmericmast.allowance.bucket import Bucket
from turmericmast.allowance.ledger import MIN_WAIT_MS, TokenLedger
from turmericmast.allowance.limit import Limit, limit_of
from turmericmast.allowance.tokencache import Draw, Lease, TokenCache
from turmericmast.allowance.tokens import TokenDemand, TokenGrant
from turmericmast.ids import Seconds, TenantId
from turmericmast.instancesettings import Bounds

WINDOW = Seconds(5)
FARM = TenantId('farm')
LIMIT = Limit(10, 20, 20)
"""Ten tokens a second, 40 at once."""

CAPACITIES = [
    # name, rate, burst, bounds, capacity
    ('usual', 146, 146, Bounds(), 146 + 42),
    ('no_burst', 20, 0, Bounds(), 21),
    ('high_rate', 1000, 0, Bounds(), 70),
    ('no_overage', 100, 50, Bounds(quota_overage=0, quota_slack=0), 5),
    ('nothing_left', 1000, 0, Bounds(quota_overage=0, quota_slack=0), 1),
]

TAKEN = [
    # name, tokens in use, needed, spare, granted
    ('empty', 0, 1, 0, 1),
    ('spare_from_the_first_half', 0, 1, 9, 10),
    ('spare_to_the_half_only', 15, 1, 9, 5),
    ('no_spare_beyond_the_half', 30, 1, 9, 1),
    ('part_of_the_needed', 38, 5, 9, 2),
    ('none_left', 40, 1, 0, 0),
    ('part_of_a_token', 39.5, 1, 0, 0),
]

RETURNED = [
    # name, seconds since 30 were in use, returned, tokens free then
    ('at_once', 0, 10, 20),
    ('time_has_passed', 1, 10, 30),
    ('more_than_in_use', 0, 100, 40),
    # All had become free by time: taking them back frees no further ones.
    ('after_all_were_free', 3.5, 30, 40),
    ('negative', 0, -5, 10),
]

CHANGES = [
    # name, tokens in use, next limit, free at once, free a window later
    ('raised', 40, Limit(10, 80, 20), 60, 100),
    ('lowered', 40, Limit(2, 0, 10), -30, 10),
    ('lowered_while_idle', 0, Limit(2, 0, 10), 10, 10),
]


class LimitTest(unittest.TestCase):
    """Guards against a capacity that lets a window exceed its bound."""

    @parameterized.expand(CAPACITIES)
    def test_capacity(
        self, _name: str, rate: float, burst: float, bounds: Any, capacity: Any
    ) -> None:
        account = Account(FARM, frozenset(), rate=rate, burst=burst)
        limit = limit_of(account, bounds)
        assert limit is not None
        self.assertAlmostEqual(limit.capacity, capacity, 0)

    def test_no_limit(self) -> None:
        self.assertIsNone(limit_of(Account(FARM, frozenset()), Bounds()))


class SustainedLoadTest(unittest.TestCase):
    """Guards against refusals of an account that uses its burst steadily.

    Its requests of each window are within rate x window + burst.
    """

    @parameterized.expand([(146, 146), (20, 20), (3, 3), (20, 100), (20, 0)])
    def test_window_in_full(self, rate: float, burst: float) -> None:
        limit = limit_of(
            Account(FARM, frozenset(), rate=rate, burst=burst), Bounds()
        )
        assert limit is not None
        ledger = TokenLedger(WINDOW, Seconds(0))
        ledger.use_limits({FARM: limit}, Seconds(0))
        demand = TokenDemand(FARM, 1, 0, 0)
        pause = WINDOW / (rate * WINDOW + burst)
        grants = [
            ledger.grant(demand, Seconds(20 + number * pause)).tokens
            for number in range(int(60 / pause))
        ]
        self.assertEqual(sum(grants), len(grants))

    def test_burst_at_once_after_calm(self) -> None:
        limit = limit_of(
            Account(FARM, frozenset(), rate=20, burst=100), Bounds()
        )
        assert limit is not None
        ledger = TokenLedger(WINDOW, Seconds(0))
        ledger.use_limits({FARM: limit}, Seconds(0))
        grant = ledger.grant(TokenDemand(FARM, 100, 0, 0), Seconds(30))
        self.assertEqual(grant.tokens, 100)


class BucketTest(unittest.TestCase):
    """Guards against tokens that come from nowhere, or get lost."""

    @parameterized.expand(TAKEN)
    def test_take(
        self, _name: str, in_use: float, needed: int, spare: int, granted: int
    ) -> None:
        bucket = Bucket(LIMIT, in_use, Seconds(0))
        self.assertEqual(bucket.take(needed, spare, Seconds(0)), granted)

    @parameterized.expand(RETURNED)
    def test_give_back(
        self, _name: str, after: float, returned: int, free: float
    ) -> None:
        bucket = Bucket(LIMIT, 30, Seconds(0))
        bucket.give_back(returned, Seconds(after))
        self.assertAlmostEqual(bucket.free(Seconds(after)), free)

    @parameterized.expand(CHANGES)
    def test_change(
        self, _name: str, in_use: float, limit: Limit, at_once: Any, later: Any
    ) -> None:
        bucket = Bucket(LIMIT, in_use, Seconds(0))
        bucket.change(limit, WINDOW, Seconds(0))
        self.assertAlmostEqual(bucket.free(Seconds(0)), at_once)
        self.assertAlmostEqual(bucket.free(Seconds(WINDOW)), later)

    def test_limits_in_turn_free_nothing(self) -> None:
        # Guards against tokens gained by versions that undo each other.
        bucket = Bucket(LIMIT, LIMIT.capacity, Seconds(0))
        for limit in (Limit(10, 0, 1), LIMIT) * 5:
            bucket.change(limit, WINDOW, Seconds(0))
        self.assertEqual(bucket.take(100, 100, Seconds(0)), 0)

    def test_clock_that_stands(self) -> None:
        bucket = Bucket(LIMIT, 40, Seconds(10))
        self.assertEqual(bucket.free(Seconds(9)), 0)
        self.assertAlmostEqual(bucket.free(Seconds(11)), 10)


class LedgerTest(unittest.TestCase):
    """Guards against a leader that grants what the one before may have."""

    def setUp(self) -> None:
        """Let a leader begin."""
        self.ledger = TokenLedger(WINDOW, Seconds(0))
        self.ledger.use_limits({FARM: LIMIT}, Seconds(0))

    def _grant(self, needed: int, now: float) -> TokenGrant:
        demand = TokenDemand(FARM, needed, 0, 0)
        return self.ledger.grant(demand, Seconds(now))

    @parameterized.expand(
        [
            ('at_once', 0, TokenGrant(0, 100, filling=True)),
            ('after_a_while', 0.55, TokenGrant(5, MIN_WAIT_MS, filling=True)),
            ('once_filled', 6, TokenGrant(40, 500, filling=False)),
        ]
    )
    def test_new_leader(
        self, _name: str, after: float, granted: TokenGrant
    ) -> None:
        grant = self._grant(50, after)
        self.assertEqual(grant.tokens, granted.tokens)
        self.assertEqual(grant.filling, granted.filling)
        self.assertAlmostEqual(grant.wait_ms, granted.wait_ms, delta=50)

    def test_account_without_a_limit(self) -> None:
        # Guards against refusals where an edge has an older configuration.
        self.ledger.use_limits({}, Seconds(1))
        self.assertEqual(self._grant(7, 1), TokenGrant(7, 0, filling=False))

    def test_refusal_lasts_until_the_next_token(self) -> None:
        slow = Limit(0.1, 0, 1)
        self.ledger.use_limits({FARM: slow}, Seconds(0))
        self._grant(1, 100)
        self.assertEqual(self._grant(1, 100).wait_ms, 10_000)


class TokenCacheTest(unittest.TestCase):
    """Guards against tokens used after their time, and needless asks."""

    def setUp(self) -> None:
        """Let one request wait."""
        self.cache = TokenCache(FARM)
        self.cache.waiting = 1

    def _receive(self, grant: TokenGrant, sent_at: Any, now: Any) -> None:
        self.cache.receive(TokenDemand(FARM, 1, 0, 0), grant, sent_at, now)

    def _drawn(self, now: float) -> Draw:
        return self.cache.draw(Seconds(now))[0]

    @parameterized.expand(
        [
            # name, grant, asked at, received at, drawn at, outcome
            ('fresh', (1, 0), 0, 0.1, 0.29, Draw.granted),
            ('expired', (1, 0), 0, 0.1, 0.3, Draw.asked),
            # The time of the ask counts, not that of the answer.
            ('late', (1, 0), 0, 0.35, 0.36, Draw.asked),
            ('refused', (0, 100), 0, 0.05, 0.14, Draw.refused),
            ('refusal_over', (0, 100), 0, 0.05, 0.16, Draw.asked),
            # An answer from before a freeze must refuse nobody after it.
            ('late_refusal', (0, 100), 0, 5, 5.01, Draw.asked),
            ('part', (1, 100), 0, 0.05, 0.1, Draw.granted),
        ]
    )
    def test_draw(
        self,
        _name: str,
        granted: tuple[int, int],
        asked_at: float,
        received_at: float,
        drawn_at: float,
        outcome: Draw,
    ) -> None:
        grant = TokenGrant(*granted, filling=False)
        self._receive(grant, Seconds(asked_at), Seconds(received_at))
        self.assertIs(self._drawn(drawn_at), outcome)

    def test_filling(self) -> None:
        grant = TokenGrant(0, 100, filling=True)
        self._receive(grant, Seconds(0), Seconds(0))
        self.assertIs(self._drawn(0.05), Draw.filling)

    def test_asks_once_for_each_request(self) -> None:
        first = self.cache.make_demand(Seconds(0))
        self.assertEqual(first, TokenDemand(FARM, 1, 0, 0))
        self.assertIsNone(self.cache.make_demand(Seconds(0.01)))
        self.cache.waiting = 3
        second = self.cache.make_demand(Seconds(0.02))
        self.assertEqual(second, TokenDemand(FARM, 2, 0, 0))

    def test_asks_nothing_while_refused(self) -> None:
        grant = TokenGrant(0, 100, filling=False)
        self._receive(grant, Seconds(0), Seconds(0))
        self.assertIsNone(self.cache.make_demand(Seconds(0.05)))
        self.assertIsNotNone(self.cache.make_demand(Seconds(0.2)))

    def test_asks_for_expected_requests(self) -> None:
        for number in range(200):
            self.cache.arrive(Seconds(number / 100))
        demand = self.cache.make_demand(Seconds(2))
        assert demand is not None
        self.assertAlmostEqual(demand.spare, 10, delta=1)

    def test_returns_what_has_expired(self) -> None:
        self._receive(TokenGrant(5, 0, False), Seconds(0), Seconds(0.1))
        self._drawn(0.1)
        self.cache.waiting = 0
        self.assertEqual(
            self.cache.make_demand(Seconds(0.31)), TokenDemand(FARM, 0, 0, 4)
        )
        self.assertIsNone(self.cache.make_demand(Seconds(0.32)))

    def test_returns_nothing_that_is_too_old(self) -> None:
        # The leader does not know any more whether they were in use.
        self._receive(TokenGrant(5, 0, False), Seconds(0), Seconds(0.1))
        self.cache.waiting = 0
        self.assertIsNone(self.cache.make_demand(Seconds(0.6)))

    @parameterized.expand(
        [('valid', 0.2, Draw.granted), ('expired', 0.4, Draw.asked)]
    )
    def test_token_of_a_request_that_has_not_run(
        self, _name: str, now: float, outcome: Draw
    ) -> None:
        self.cache.give_back(Lease(Seconds(0), 1), Seconds(now))
        self.assertIs(self._drawn(now), outcome)


class BatchTest(unittest.TestCase):
    """Guards against tokens that a member gives to another edge."""

    def test_split(self) -> None:
        batch = DemandBatch()
        asks: list[tuple[TokenDemand, ...]] = [
            tuple(TokenDemand(FARM, count, 0, 0) for count in counts)
            for counts in ((1, 2), (), (3,))
        ]
        self.assertEqual([batch.add(ask) for ask in asks], [0, 1, 2])
        grants = tuple(
            TokenGrant(demand.needed, 0, filling=False)
            for demand in batch.merged()
        )
        shares = [
            tuple(grant.tokens for grant in part)
            for part in batch.split(grants)
        ]
        self.assertEqual(shares, [(1, 2), (), (3,)])
