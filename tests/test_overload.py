"""Who is refused when requests arrive faster than targets can run them.

Pattern: callers come at a multiple of the capacity for some seconds, so that
either all wait and are late, or some are refused and the rest is in time.
"""

import collections
import heapq
import itertools
import unittest.mock
from typing import NamedTuple

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    edge,
    feed,
    instance,
    pool,
    target,
    target_view,
)
from turmericmast.balance.candidate import Candidate, Requirements
from turmericmast.balance.load import LoadReport
from turmericmast.balance.pool import Pool
from turmericmast.balance.profile import RouteProfile
from turmericmast.balance.scoring import Distance
from turmericmast.ids import ServiceId
from turmericmast.metrics import Metrics
from turmericmast.web.edgeattempt import EdgeAttempt

TARGETS = 5
SLOTS = 4
SERVICE_TIME = 0.16
CAPACITY = TARGETS * SLOTS / SERVICE_TIME
"""Requests a second that the targets can run."""
LATENCY_GOAL = 0.4
TIMEOUT = 1.0


class Outcome(NamedTuple):
    """What became of the requests."""

    in_goal: int
    late: int
    refused: int


class OverloadTest(unittest.TestCase):
    """Capacity goes to requests that can still be answered in time."""

    @parameterized.expand(
        [
            ('half', 0.5, 0.0),
            ('just_fits', 0.9, 0.0),
            ('burst', 1.5, 0.5),
            ('herd', 3.0, 0.75),
        ]
    )
    def test_answers_are_in_time(
        self, _name: str, load: float, most_refused: float
    ) -> None:
        count = int(load * CAPACITY * 5)
        outcome = _Service(load * CAPACITY).run(count)
        usable = min(count, CAPACITY * 5)
        self.assertGreater(outcome.in_goal, 0.9 * usable)
        self.assertLess(outcome.late, 0.05 * count)
        self.assertLessEqual(outcome.refused, most_refused * count)

    @parameterized.expand(
        [
            ('idle_but_slow_host', 0, 3, (), True),
            ('short_queue', 5, 1, (), True),
            ('long_queue', 12, 1, (), False),
            ('long_queue_after_another_attempt', 12, 1, ('2',), True),
            ('queue_beyond_the_deadline', 40, 1, ('2',), False),
        ]
    )
    def test_request_is_admitted(
        self,
        _name: str,
        busy: int,
        slowness: float,
        tried: tuple[str, ...],
        is_admitted: bool,
    ) -> None:
        view = target_view('1', slowness=slowness, busy=busy)
        candidate = Candidate(view, Distance.domain, 0)
        admits = _pool(view).admits(_requirements(NOW, tried), candidate, NOW)
        self.assertIs(admits, is_admitted)

    def test_refused_callers_come_back_spread_over_the_time_until_room(
        self,
    ) -> None:
        full = target_view('1', busy=16)
        service = _pool(full)
        candidate = Candidate(full, Distance.domain, 0)
        delays = sorted(
            service.retry_delay(_requirements(NOW), NOW, candidate)
            for _ in range(20)
        )
        gaps = [later - sooner for sooner, later in itertools.pairwise(delays)]
        until_room = service.excess_latency(_requirements(NOW), candidate, NOW)
        self.assertGreater(delays[0], 0.25 * until_room)
        self.assertLessEqual(delays[-1], 1.5 * until_room)
        self.assertLess(max(gaps), 0.15 * until_room)

    # Guards against callers of many instances that all return at one moment,
    # since each instance told its first refused caller the same time.
    @parameterized.expand([('one_each', 315, 1), ('two_each', 315, 2)])
    def test_callers_refused_by_many_instances_come_back_spread(
        self, _name: str, instances: int, refused: int
    ) -> None:
        candidate = Candidate(target_view('1', busy=8), Distance.domain, 0)
        pools = [
            edge(
                instance(f'edge-{number}'),
                feed(instance(f'edge-{number}'), targets=(target('1'),)),
            ).pool_by_service[ServiceId('stock')]
            for number in range(instances)
        ]
        delays = [
            service.retry_delay(_requirements(NOW), NOW, candidate)
            for service in pools
            for _ in range(refused)
        ]
        low, high = min(delays), max(delays)
        tenths = collections.Counter(
            int(10 * (delay - low) / (high - low + 1e-9)) for delay in delays
        )
        self.assertGreater(high, 2 * low)
        self.assertLess(max(tenths.values()), 0.2 * len(delays))


class ServiceTimeTest(unittest.IsolatedAsyncioTestCase):
    """What requests wait in queues does not count as service time."""

    @parameterized.expand(
        [
            ('free_slot', 2, 1, 0.3),
            ('free_slot_on_a_slow_host', 2, 3, 0.1),
            ('queue', 8, 1, SERVICE_TIME),
        ]
    )
    async def test_estimate_after_an_answer_of_300_ms(
        self, _name: str, busy: int, slowness: float, expected: float
    ) -> None:
        view = target_view('1', slowness=slowness, busy=busy)
        profile = RouteProfile(LATENCY_GOAL)
        context = unittest.mock.Mock(metrics=Metrics())
        context.clock.now.return_value = NOW
        response = unittest.mock.Mock(
            load=None, is_superseded=False, rejection=None, octets=0
        )
        response.final_loss.return_value = None
        attempt = EdgeAttempt(
            context,
            _pool(view),
            Candidate(view, Distance.domain, 1),
            response,
            profile,
        )
        with unittest.mock.patch(
            'turmericmast.web.edgeattempt.Transfer'
        ) as transfer:
            transfer.return_value.run = unittest.mock.AsyncMock()
            attempt.start(lambda *_: unittest.mock.Mock(body_size=0))
            context.clock.now.return_value = NOW + 0.3
            await attempt.task
        self.assertAlmostEqual(profile.service_time, expected)


class _Service:
    """Targets with queues, simulated, and requests at a steady rate."""

    def __init__(self, rate: float) -> None:
        self._views = [target_view(str(number)) for number in range(TARGETS)]
        self._pool = _pool(*self._views)
        self._rate = rate
        self._ends: list[tuple[float, int, int]] = []
        """Ends of the requests that run: time, number and target."""
        self._free_at = [[0.0] * SLOTS for _ in self._views]

    def run(self, count: int) -> Outcome:
        """Send ``count`` requests; return what became of them."""
        latencies = [
            self._send(NOW + number / self._rate, number)
            for number in range(count)
        ]
        served = [latency for latency in latencies if latency is not None]
        late = sum(latency > LATENCY_GOAL for latency in served)
        return Outcome(len(served) - late, late, count - len(served))

    def _send(self, now: float, number: int) -> float | None:
        """Return the latency of a request, ``None`` if it is refused."""
        self._finish(now)
        best = self._pool.best(_requirements(now), Distance.remote, now)
        assert best is not None
        if not self._pool.admits(_requirements(now), best, now):
            return None
        self._pool.begin_request(best.view, now)
        target = int(best.view.record.target)
        free_at = heapq.heappop(self._free_at[target])
        end = max(free_at, now) + SERVICE_TIME
        heapq.heappush(self._free_at[target], end)
        heapq.heappush(self._ends, (end, number, target))
        return end - now

    def _finish(self, now: float) -> None:
        """Take the answers until now, and the load that targets report."""
        ended = itertools.takewhile(
            lambda _: self._ends and self._ends[0][0] <= now,
            itertools.repeat(None),
        )
        for _ in ended:
            _, _, target = heapq.heappop(self._ends)
            self._views[target].end_request(None, now)
        for view in self._views:
            view.verify(0, now)
            busy = view.in_flight
            view.update_load(
                LoadReport(min(busy, SLOTS), max(busy - SLOTS, 0), SLOTS), now
            )


def _pool(*views: object) -> Pool:
    service = pool(*views)
    service.profile('look', LATENCY_GOAL).service_time = SERVICE_TIME
    return service


def _requirements(now: float, tried: tuple[str, ...] = ()) -> Requirements:
    return Requirements(
        'look', LATENCY_GOAL, now + LATENCY_GOAL, now + TIMEOUT, (), tried
    )
