"""Instances that have no target for requests that were tried elsewhere.

Guards against RECOVER: each repeat at a partly cut-off instance was forwarded
to instances in vain, instead of being sent to another target of its own.
"""

import asyncio
import contextlib
import time
import unittest

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from tests.edge_samples import NOW, edge, feed, instance
from tests.running_edge import RunningEdge, target_at
from tests.scripted_target import Reply, ScriptedTarget
from turmericmast.call.call import Loss
from turmericmast.edge.peers import REFUSAL_BACKOFF, PeerOutcome
from turmericmast.ids import ServiceId

STOCK = ServiceId('stock')
REQUESTS = 100
REQUEST_INTERVAL = 0.01
"""Seconds from one request to the next."""
LOST = tuple(f'lost-{number}' for number in range(13))
"""Targets to which no instance has a path."""
REACHED = tuple(f'reached-{number}' for number in range(12))
"""Targets to which one instance has a path."""
PEERS = ('peer-1', 'peer-2', 'peer-3')
OUTCOMES = [
    ('declined', PeerOutcome.declined, True, False),
    ('refused', PeerOutcome.refused, False, False),
    ('answered', PeerOutcome.answered, True, True),
]
"""How a request ended, and whether the instance then gets first tries, and
repeats."""


class DecliningPeersTest(unittest.IsolatedAsyncioTestCase):
    """No other instance has a path to any target."""

    @parameterized.expand([('rejected', Reply.reject), ('failed', Reply.fail)])
    async def test_forwarded(self, _name: str, reply: Reply) -> None:
        replies = (reply, Reply.answer) * REQUESTS
        async with contextlib.AsyncExitStack() as stack:
            reached = [
                await stack.enter_async_context(ScriptedTarget(name, *replies))
                for name in REACHED
            ]
            own, *peers = (
                stack.enter_context(RunningEdge(name))
                for name in ('own', *PEERS)
            )
            lost = [target_at(name, '127.0.0.1:9') for name in LOST]
            known = [target_at(each.name, each.address) for each in reached]
            await own.open(*peers, targets=[*known, *lost])
            for peer in peers:
                await peer.open(own, targets=lost)
            _lose_paths(own)
            began_at = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for number in range(REQUESTS):
                    group.create_task(_request(own.address, f'r-{number}'))
                    await asyncio.sleep(REQUEST_INTERVAL)
            waited = time.monotonic() - began_at
        backoffs = 1 + int(waited / REFUSAL_BACKOFF)
        # An instance is asked for first tries and for repeats apart.
        self.assertLessEqual(own.count('forwarded'), 2 * len(PEERS) * backoffs)


class NextRequestTest(unittest.TestCase):
    """What one outcome tells about first tries and repeats."""

    @parameterized.expand(OUTCOMES)
    def test_next_request(
        self,
        _name: str,
        outcome: PeerOutcome,
        *may_be_chosen: bool,
    ) -> None:
        own, other = map(instance, ('own', 'other'))
        peers = edge(own, feed(own, other)).peers
        peers.begin(other.instance, NOW)
        peers.end(other.instance, STOCK, outcome, NOW)
        chosen = [
            peers.choose(STOCK, (), (), NOW, is_repeat=is_repeat) is other
            for is_repeat in (False, True)
        ]
        self.assertEqual(chosen, list(may_be_chosen))


def _lose_paths(running: RunningEdge) -> None:
    for view in running.edge.views():
        if view.record.target in LOST:
            view.begin_request()
            view.end_request(Loss.never_sent, running.clock.now())


async def _request(address: str, request_id: str) -> None:
    await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/stock/1',
            headers={
                'Host': 'shop.example',
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '800',
            },
            request_timeout=2,
        ),
        raise_error=False,
    )
