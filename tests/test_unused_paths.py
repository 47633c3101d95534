"""Links to targets are lost while hardly any request would use them.

Pattern: an instance is cut off from all targets, some of which it has not tried
since, because their service is hardly in use there or its domain is evacuated.
"""

import contextlib
import unittest

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bench.layout import free_address
from bench.machines import Upstream
from tests.edge_samples import NOW, edge, feed, instance, target
from tests.running_edge import RunningEdge, target_at
from turmericmast.cluster.records import TargetReach

NAMES = tuple('abcdefghijklmnopqrst')
"""Names of the targets of the service in use."""


class RareServiceTest(unittest.IsolatedAsyncioTestCase):
    """A request is forwarded although its own service has just been tried.

    Guards against RECOVER: a cut-off instance refused the first requests of
    each service, until it had lost most targets of that one too.
    """

    @parameterized.expand([('few', 1), ('many', 12)])
    async def test_first_request(self, _name: str, count: int) -> None:
        with contextlib.ExitStack() as stack:
            cut_off = stack.enter_context(RunningEdge('cut-off'))
            healthy = stack.enter_context(RunningEdge('healthy', 'tirol-b'))
            upstream = stack.enter_context(
                Upstream('orders-0', 'tirol-a', free_address())
            )
            rare = [
                target_at(f'orders-{number}', free_address(), 'orders')
                for number in range(count)
            ]
            await cut_off.open(
                healthy,
                targets=[
                    *(target_at(name, free_address()) for name in NAMES),
                    *rare,
                ],
            )
            working = target_at('orders-0', upstream.address, 'orders')
            await healthy.open(cut_off, targets=[working])
            _lose(cut_off, 'stock')
            answer = await AsyncHTTPClient().fetch(
                HTTPRequest(
                    f'http://{cut_off.address}/orders/1',
                    headers={
                        'Host': 'pay.example',
                        'X-Request-Id': 'r',
                        'X-Deadline-Ms': '800',
                    },
                ),
                raise_error=False,
            )
            self.assertEqual(answer.code, 200)


class EvacuatedDomainTest(unittest.TestCase):
    """Targets of an evacuated domain do not make an instance lose callers.

    Guards against instances that went without callers until the evacuation was
    taken back: nothing is sent to such targets, so they stay out of reach.
    """

    @parameterized.expand(
        [
            ('evacuated', ('tirol-a',), TargetReach.direct),
            ('in_use', (), TargetReach.forwarded),
        ]
    )
    def test_reach(
        self, _name: str, evacuated: tuple[str, ...], expected: TargetReach
    ) -> None:
        sample = edge(
            instance('own'),
            feed(
                instance('own'),
                targets=(
                    *(target(name) for name in '123'),
                    *(target(name, 'tirol-b') for name in '45'),
                ),
                evacuated=evacuated,
            ),
        )
        for view in sample.views():
            if view.record.domain == 'tirol-a':
                view.lose_path(NOW)
        sample.update_reach(NOW)
        self.assertIs(sample.record.reach, expected)


def _lose(running: RunningEdge, service: str) -> None:
    """Lose the paths to the targets of a service, and notice it."""
    now = running.clock.now()
    for view in running.edge.views():
        if view.record.service == service:
            view.lose_path(now)
    running.edge.update_reach(now)
