"""Two targets that are known at one address, one of which has ended.

Guards against REFUSED and MIXED: the response of an address to the first
attempt of a request came once more on the kept connection, and was taken for
that to the second attempt, which bore the same request id.
"""

import unittest

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from tests.running_edge import RunningEdge, target_at, without_probes
from tests.scripted_target import Kind, Reply, ScriptedTarget
from turmericmast.balance.load import LoadReport
from turmericmast.ids import Seconds

ATTEMPTS = [
    ('order', 'POST', 'pay.example/orders/1', 'orders', Reply.misdirect),
    ('rejected_order', 'POST', 'pay.example/orders/1', 'orders', Reply.reject),
    ('look_up', 'GET', 'shop.example/stock/1', 'stock', Reply.misdirect),
    ('failed_look_up', 'GET', 'shop.example/stock/1', 'stock', Reply.fail),
]
"""Method, host and path of a request, the service, and how its first attempt
ends. The second one succeeds."""


class ReusedAddressTest(unittest.IsolatedAsyncioTestCase):
    """A request that goes to one address twice gets a new connection."""

    @parameterized.expand(ATTEMPTS)
    async def test_late_response_to_the_first_attempt(
        self, _name: str, method: str, url: str, service: str, reply: Reply
    ) -> None:
        async with ScriptedTarget(
            'new', reply, Reply.answer, repeated={Kind.request}
        ) as target:
            with RunningEdge('own') as own:
                await own.open(
                    targets=[
                        target_at(name, target.address, service)
                        for name in ('old', 'new')
                    ]
                )
                now = own.clock.now()
                for view in own.edge.views():
                    view.verify(Seconds(0), now)
                    view.update_load(LoadReport(0, 0, 4), now)
                with without_probes():
                    status = await _status(own.address, method, url)
        self.assertEqual(target.request_ids, ['r-1', 'r-1'])
        self.assertEqual(len(set(target.connections)), 2)
        self.assertEqual(status, 200)


async def _status(address: str, method: str, url: str) -> int:
    """Send a request for ``url``, a host and a path, to an instance."""
    host, _, path = url.partition('/')
    answer = await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/{path}',
            method=method,
            body=b'x' if method == 'POST' else None,
            headers={
                'Host': host,
                'X-Request-Id': 'r-1',
                'X-Deadline-Ms': '800',
            },
            request_timeout=2,
        ),
        raise_error=False,
    )
    return answer.code
