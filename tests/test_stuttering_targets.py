"""Targets that write their responses once more, late, and the next requests.

Pattern: the copy of a response comes where the next one on the connection is
expected, or while nothing is asked. Each such copy costs an order its response.
"""

import asyncio
import collections
import contextlib
import unittest.mock
from collections.abc import AsyncIterator, Sequence
from typing import Any

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from tests.entry_harness import EntryHarness
from tests.running_edge import RunningEdge, target_at, without_probes
from tests.scripted_target import REPEAT_DELAY, Kind, ScriptedTarget
from tests.test_front import call
from turmericmast.balance.framing import FIRST_DOUBT, Stutter
from turmericmast.balance.load import LoadReport
from turmericmast.ids import Seconds

ORDERS = 20


class StutteringTargetTest(unittest.IsolatedAsyncioTestCase):
    """A target that has stuttered gets a new connection for each request.

    Guards against orders that run and get 502, one after the other: a
    connection was trusted again right after a late response.
    """

    @parameterized.expand(
        [
            ('never', (), False, 0, ORDERS, []),
            (
                'where_the_next_is_due',
                (Kind.request,),
                False,
                1,
                2,
                ['other_request'],
            ),
            ('while_nothing_is_asked', (Kind.request,), True, 0, 1, ['idle']),
        ]
    )
    async def test_orders(
        self,
        _name: str,
        repeated: Sequence[Kind],
        at_once: bool,
        lost: int,
        most: int,
        causes: list[str],
    ) -> None:
        statuses = []
        async with _edge(
            ScriptedTarget('1', repeated=repeated, repeats_at_once=at_once)
        ) as (own, target):
            for number in range(ORDERS):
                statuses.append(await _order(own, number))
                await asyncio.sleep(2 * REPEAT_DELAY)
        self.assertEqual(statuses.count(502), lost)
        self.assertEqual(statuses.count(200), ORDERS - lost)
        self.assertEqual(len(target.request_ids), ORDERS)
        uses = collections.Counter(target.connections)
        self.assertLessEqual(max(uses.values()), most)
        lines = _lines(own, 'target_framing')
        self.assertEqual([line['cause'] for line in lines], causes)
        self.assertEqual({line['target'] for line in lines} - {'1'}, set())
        strays = [line['stutter'] for line in _lines(own, 'stray_bytes')]
        # A copy may still come before the target sees a connection's end.
        self.assertEqual(strays[:1], causes if at_once else [])
        self.assertLessEqual(set(strays[1:]), {'excess'})

    @parameterized.expand([('never', False, 0), ('always', True, 1)])
    async def test_orders_at_an_entry(
        self, _name: str, repeats: bool, lost: int
    ) -> None:
        async with EntryHarness(targets=1) as harness:
            await call(harness, '/stock/ok')
            harness.targets[0].repeats = repeats
            answers = [
                await call(harness, '/stock/ok', 'POST', b'x')
                for _ in range(ORDERS)
            ]
        outcomes = [answer.headers['Turmericmast-Ran'] for answer in answers]
        self.assertEqual(outcomes.count('unknown'), lost)
        self.assertEqual(outcomes.count('yes'), ORDERS - lost)

    @parameterized.expand(
        [
            ('soon', 1, ['single']),
            ('late', int(FIRST_DOUBT) + 1, ['single', 'kept']),
        ]
    )
    async def test_trust_returns_with_use(
        self, _name: str, seconds: int, expected: list[str]
    ) -> None:
        target = ScriptedTarget('1')
        async with _edge(target) as (own, _target):
            framing = own.context.framing
            framing.apply_stutter(target.address, Stutter.other_request)
            self.assertFalse(framing.keeps_connections(target.address))
            now = own.clock.now()
            for number in range(seconds + 1):
                with unittest.mock.patch.object(
                    own.clock, 'now', return_value=now + number
                ):
                    _verify(own)
                    self.assertEqual(await _order(own, number), 200)
        self.assertEqual(
            [line['connections'] for line in _lines(own, 'target_framing')],
            expected,
        )


def _lines(own: RunningEdge, event: str) -> list[dict[str, Any]]:
    return [
        call.kwargs
        for call in own.events.write.call_args_list
        if call.args == (event,)
    ]


@contextlib.asynccontextmanager
async def _edge(
    target: ScriptedTarget,
) -> AsyncIterator[tuple[RunningEdge, ScriptedTarget]]:
    async with target:
        with without_probes(), RunningEdge('1') as own:
            await own.open(targets=[target_at('1', target.address, 'orders')])
            _verify(own)
            yield own, target


def _verify(own: RunningEdge) -> None:
    now = own.clock.now()
    for view in own.edge.views():
        view.verify(Seconds(0), now)
        view.confirm_path(now)
        view.update_load(LoadReport(0, 0, 4), now)


async def _order(own: RunningEdge, number: int) -> int:
    """Send an order once; return the status."""
    _verify(own)
    answer = await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{own.address}/orders/{number}',
            method='POST',
            body=b'x',
            headers={
                'Host': 'pay.example',
                'X-Request-Id': f'r-{number}',
                'X-Deadline-Ms': '2000',
            },
        ),
        raise_error=False,
    )
    return answer.code
