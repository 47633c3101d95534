"""Requests that arrive before any target has been probed.

Pattern: after a loss of power everywhere, all instances probe all targets at
once, and the first results come late.
"""

import asyncio
import unittest.mock

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    pool,
    requirements,
    target_view,
)
from tests.virtual_time import LoopClock, VirtualTimeLoop
from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import Loss
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.probing import Prober
from turmericmast.web.targetselection import TargetSelector

LONG_AGO = NOW - 60


class FirstProbeTest(unittest.TestCase):
    """A request waits for the first probe, not for all and not for long."""

    @parameterized.expand(
        [
            ('answers_at_once', (0.0, 0.0), '1', 0.1),
            ('answers_late', (0.1, 9.0), '1', 0.2),
            ('second_answers', (9.0, 0.1), '2', 0.2),
            ('first_is_lost', (-0.05, 0.1), '2', 0.2),
            ('both_are_lost', (-0.05, -0.05), None, 0.2),
            ('none_answers', (9.0, 9.0), None, 0.45),
        ]
    )
    def test_selection(
        self,
        _name: str,
        delays: tuple[float, float],
        expected: str | None,
        within: float,
    ) -> None:
        views = [target_view(name, verified_at=LONG_AGO) for name in '12']
        clock = LoopClock()
        prober = _SlowProber(clock, dict(zip('12', delays, strict=True)))
        context = unittest.mock.Mock(
            clock=clock, prober=prober.prober, metrics=Metrics()
        )

        async def select() -> None:
            selector = TargetSelector(context, pool(*views))
            chosen = await selector.select(requirements())
            self.assertEqual(chosen and chosen.view.record.target, expected)
            self.assertLess(clock.now() - NOW, within)

        with prober, asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(select())

    @parameterized.expand(
        [
            ('one_after_the_other', (0.01, 0.03, 0.05), 12, 6),
            ('one_answers', (0.01, 9.0, 9.0), 5, 5),
            ('few_requests', (0.01, 0.03, 0.05), 3, 3),
        ]
    )
    def test_waiting_requests_do_not_all_take_the_first_target(
        self,
        _name: str,
        delays: tuple[float, ...],
        requests: int,
        most: int,
    ) -> None:
        views = [target_view(name, verified_at=LONG_AGO) for name in '123']
        clock = LoopClock()
        prober = _SlowProber(clock, dict(zip('123', delays, strict=True)))
        context = unittest.mock.Mock(
            clock=clock, prober=prober.prober, metrics=Metrics()
        )
        stock_pool = pool(*views)

        async def send() -> None:
            selector = TargetSelector(context, stock_pool)
            chosen = await selector.select(requirements())
            if chosen:
                stock_pool.begin_request(chosen.view, clock.now())

        async def send_all() -> None:
            for view in views:
                prober.prober.start(view, '/health')
            await asyncio.gather(*(send() for _ in range(requests)))

        with prober, asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(send_all())
        sent = [view.in_flight for view in views]
        self.assertEqual(sum(sent), requests)
        self.assertLessEqual(max(sent), most)


class _SlowProber:
    """A prober whose probes take as long as is told; below 0 they are lost."""

    def __init__(
        self, clock: LoopClock, delay_by_target: dict[str, float]
    ) -> None:
        self._clock = clock
        self._delay_by_target = delay_by_target
        self.prober = Prober(
            unittest.mock.Mock(),
            PlatformHeaders(),
            clock,
            Metrics(),
            unittest.mock.Mock(),
        )
        self._patch = unittest.mock.patch.object(
            self.prober, '_run_probe', self._run_probe
        )

    def __enter__(self) -> None:
        self._patch.start()

    def __exit__(self, *_: object) -> None:
        self._patch.stop()

    async def _run_probe(self, view: TargetView, _path: str) -> bool:
        delay = self._delay_by_target[view.record.target]
        await asyncio.sleep(abs(delay))
        if delay < 0:
            view.end_request(Loss.never_sent, self._clock.now())
        else:
            view.verify(0, self._clock.now())
        return delay >= 0
