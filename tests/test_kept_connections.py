"""Links that take no new connections while those that are open live on.

Pattern: an instance is cut off from all targets, but requests and probes on
connections that it has kept are still answered.
"""

import asyncio
import contextlib
import unittest

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bench.layout import free_address
from bench.machines import Upstream
from tests.running_edge import RunningEdge, target_at

WAVES = 15
"""Times that all callers send a request at once."""
WAVE_INTERVAL = 0.1
"""Seconds from the end of a wave to the next one."""


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Requests that find no open connection are forwarded.

    Guards against RECOVER: each answer on an open connection made all targets
    count as in reach, while each new connection ejected one.
    """

    @parameterized.expand([('one_target', 1, 4), ('six_targets', 6, 10)])
    async def test_callers_are_served(
        self, _name: str, count: int, callers: int
    ) -> None:
        with contextlib.ExitStack() as stack:
            cut_off = stack.enter_context(RunningEdge('cut-off'))
            healthy = stack.enter_context(RunningEdge('healthy', 'tirol-b'))
            names = [str(number) for number in range(count)]
            await healthy.open(
                cut_off,
                targets=[
                    target_at(name, _serve(stack, name)) for name in names
                ],
            )
            with contextlib.ExitStack() as cut:
                await cut_off.open(
                    healthy,
                    targets=[
                        target_at(name, _serve(cut, name)) for name in names
                    ],
                )
                for number in range(2 * count):
                    await _status(cut_off.address, f'before-{number}')
            statuses: list[int] = []
            for wave in range(WAVES):
                statuses += await asyncio.gather(
                    *(
                        _status(cut_off.address, f'{wave}-{caller}')
                        for caller in range(callers)
                    )
                )
                await asyncio.sleep(WAVE_INTERVAL)
            failed = len(statuses) - statuses.count(200)
            self.assertLessEqual(failed, 10 + len(statuses) / 50)


def _serve(stack: contextlib.ExitStack, name: str) -> str:
    """Serve a target; the end of ``stack`` ends new connections only."""
    address = free_address()
    stack.enter_context(Upstream(name, 'tirol-a', address))
    return address


async def _status(address: str, number: str) -> int:
    answer = await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/stock/{number}',
            headers={
                'Host': 'shop.example',
                'X-Request-Id': number,
                'X-Deadline-Ms': '800',
            },
        ),
        raise_error=False,
    )
    return answer.code
