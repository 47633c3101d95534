"""No window over the bound, and nothing refused below the limit."""

import itertools
import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from tests.allowance_model import ACCOUNT, WINDOW, AllowanceModel, Fault
from turmericmast.account.account import Account
from turmericmast.allowance.limit import Limit, limit_of
from turmericmast.instancesettings import Bounds

SECONDS = 12.0
LIMITS = [(5.0, 0.0), (20.0, 10.0), (146.0, 146.0), (400.0, 0.0)]
FAULTS = st.builds(
    Fault,
    st.sampled_from(['frozen', 'cut_off', 'restart', 'leader_lost']),
    st.integers(0, 3),
    st.floats(0, SECONDS).map(lambda at: round(at, 2)),
    st.floats(0.05, 3),
)
CHECKED = settings(
    max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)

ONE_FAULT = [
    # name, faults, share of messages lost, share of the rate served at the end
    ('none', (), 0, 0.9),
    ('leader_lost', (Fault('leader_lost', 0, 3, 1.5),), 0, 0.9),
    ('leaders_lost_in_turn', (Fault('leader_lost', 0, 2, 0.7), Fault('leader_lost', 0, 3.5, 0.7)), 0, 0.9),  # noqa: E501
    ('member_lost', (Fault('cut_off', 0, 3, 0.2), Fault('cut_off', 1, 3, 0.2)), 0, 0.9),  # noqa: E501
    ('messages_lost', (), 0.3, 0.5),
    ('edge_frozen_with_tokens', (Fault('frozen', 0, 3, 2),), 0, 0.9),
    ('edge_cut_off', (Fault('cut_off', 1, 3, 4),), 0, 0.9),
    ('edge_restarted', (Fault('restart', 1, 3, 0.1),), 0, 0.9),
]  # fmt: skip


def _limit(rate: float, burst: float) -> Limit:
    account = Account(ACCOUNT, frozenset(), rate=rate, burst=burst)
    limit = limit_of(account, Bounds())
    assert limit is not None
    return limit


def _bound(limit: Limit) -> float:
    return (limit.rate * WINDOW + limit.burst) * 1.1 + 20


def _hot(limit: Limit, factor: float, seed: int) -> list[tuple[float, int]]:
    """Return requests at a multiple of the rate, at four edges."""
    chance = random.Random(seed)
    pause = 1 / (limit.rate * factor)
    count = int(SECONDS / pause)
    return [(number * pause, chance.randrange(4)) for number in range(count)]


def _within(limit: Limit, seed: int) -> list[tuple[float, int]]:
    """Return requests that just stay within the rate and the burst.

    They come in bursts of random sizes, at edges that change.
    """
    chance = random.Random(seed)
    now = float(0)
    free_at = now
    free = limit.burst + 1
    arrivals = []
    while now < SECONDS - 1:
        free = min(free + (now - free_at) * limit.rate, limit.burst + 1)
        free_at = now
        sent = min(int(free), chance.choice([1, 1, 3, 1000]))
        free -= sent
        edges = chance.choice([(0,), (1,), (0, 1, 2, 3)])
        arrivals += [(now, chance.choice(edges)) for _ in range(sent)]
        now += chance.choice([0.2, 1, 3]) / limit.rate
    return arrivals


class WindowTest(unittest.TestCase):
    """Guards against more requests than the bound in a window."""

    @given(
        st.sampled_from(LIMITS),
        st.lists(FAULTS, max_size=6),
        st.sampled_from([0.5, 1.2, 8]),
        st.sampled_from([0, 0.1, 0.5]),
        st.integers(0, 10**6),
    )
    @CHECKED
    def test_any_faults(
        self,
        chosen: tuple[float, float],
        faults: list[Fault],
        factor: float,
        loss: float,
        seed: int,
    ) -> None:
        limit = _limit(*chosen)
        model = AllowanceModel(limit, 4, tuple(faults), seed, loss, 0.2)
        model.run(_hot(limit, factor, seed), SECONDS)
        self.assertLessEqual(model.most_in_a_window(), _bound(limit))

    @parameterized.expand(
        [
            (f'{name}_{rate:g}', faults, loss, served, rate, burst)
            for (name, faults, loss, served), (
                rate,
                burst,
            ) in itertools.product(ONE_FAULT, LIMITS)
        ]
    )
    def test_one_fault(
        self,
        _name: str,
        faults: tuple[Fault, ...],
        loss: float,
        served: float,
        rate: float,
        burst: float,
    ) -> None:
        limit = _limit(rate, burst)
        model = AllowanceModel(limit, 4, faults, 1, loss)
        model.run(_hot(limit, 8, 1), SECONDS)
        self.assertLessEqual(model.most_in_a_window(), _bound(limit))
        # Guards against an account that stays refused after the fault.
        late = [at for at in model.ran if at >= SECONDS - 2]
        self.assertGreaterEqual(len(late), 2 * limit.rate * served)


class BelowTheLimitTest(unittest.TestCase):
    """Guards against refusals of an account within its limit."""

    @given(st.sampled_from(LIMITS), st.integers(0, 10**6))
    @CHECKED
    def test_nothing_is_refused(
        self, chosen: tuple[float, float], seed: int
    ) -> None:
        limit = _limit(*chosen)
        model = AllowanceModel(limit, 4, (), seed)
        arrivals = _within(limit, seed)
        model.run(arrivals, SECONDS)
        self.assertEqual(model.refusals, [])
        self.assertEqual(len(model.ran), len(arrivals))
