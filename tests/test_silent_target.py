"""A target that only stopped reporting goes on with its running requests.

Pattern: reports of a target are lost or late for seconds, while it works.
"""

import asyncio
import unittest.mock
from collections.abc import Callable

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    REGION_BY_DOMAIN,
    document,
    feed,
    instance,
    target,
)
from turmericmast.balance.candidate import Candidate
from turmericmast.balance.profile import RouteProfile
from turmericmast.balance.scoring import Distance
from turmericmast.edge.edge import Edge
from turmericmast.ids import ServiceId
from turmericmast.instancesettings import Bounds
from turmericmast.metrics import Metrics
from turmericmast.web.edgeattempt import EdgeAttempt

TARGET = target('1')


def _remove(edge: Edge) -> None:
    edge.apply(feed(index=2), None)


def _lose_a_probe(edge: Edge) -> None:
    for view in edge.views():
        view.mark_unverified()


def _eject(edge: Edge) -> None:
    for view in edge.views():
        view.eject(NOW)


class SilentTargetTest(unittest.IsolatedAsyncioTestCase):
    """Nothing that is learned of a target ends a request that it runs."""

    @parameterized.expand(
        [
            ('removed_by_the_core', _remove),
            ('probe_of_another_instance_lost', _lose_a_probe),
            ('ejected_by_this_instance', _eject),
        ]
    )
    async def test_running_attempt(
        self, _name: str, disturb: Callable[[Edge], None]
    ) -> None:
        edge = Edge(instance('a'), REGION_BY_DOMAIN, Bounds())
        edge.apply(feed(instance('a'), targets=(TARGET,)), document())
        view = edge.view(TARGET.target)
        assert view is not None
        response = unittest.mock.Mock(
            load=None, is_superseded=False, rejection=None, octets=0
        )
        response.final_loss.side_effect = lambda loss: loss
        context = unittest.mock.Mock(edge=edge, metrics=Metrics())
        context.clock.now.return_value = NOW
        attempt = EdgeAttempt(
            context,
            edge.pool_by_service[ServiceId('stock')],
            Candidate(view, Distance.domain, 1),
            response,
            RouteProfile(0.25),
        )
        answered = asyncio.Event()
        with unittest.mock.patch(
            'turmericmast.web.edgeattempt.Transfer'
        ) as transfer:
            transfer.return_value.run.side_effect = lambda: _answer(answered)
            attempt.start(lambda *_: unittest.mock.Mock(body_size=0))
            await asyncio.sleep(0)
            disturb(edge)
            await asyncio.sleep(0)
            self.assertFalse(attempt.task.done())
            answered.set()
            self.assertIsNone(await attempt.task)
        self.assertFalse(transfer.return_value.cancel.called)


async def _answer(answered: asyncio.Event) -> None:
    await answered.wait()
