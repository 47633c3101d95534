"""Requests that arrive before the routes, at an edge that has just started.

Pattern: all instances lose power, and their callers are back before the core.
"""

import asyncio
import unittest.mock

from parameterized import parameterized
from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.edge_samples import (
    NOW,
    REGION_BY_DOMAIN,
    document,
    feed,
    instance,
    target,
)
from turmericmast.edge.edge import Edge
from turmericmast.instancesettings import Bounds
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend
from turmericmast.web.firstroutes import MAX_WAIT, FirstRoutes, routes_wait

START = RequestStartLine('GET', '/stock/1', 'HTTP/1.1')
HEADERS = {'Host': 'shop.example', 'X-Request-Id': 'r'}


class RoutesWaitTest(unittest.TestCase):
    """A caller has most of its time left when it is refused."""

    @parameterized.expand(
        [
            ('short_timeout', 0.8, 0.2),
            ('long_timeout', 12.0, MAX_WAIT),
            ('unknown_timeout', None, 0.25),
            ('expired', 0.0, 0.0),
        ]
    )
    def test_wait(
        self, _name: str, caller_timeout: float | None, expected: float
    ) -> None:
        self.assertAlmostEqual(routes_wait(caller_timeout), expected)


class EarlyRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request that arrives early is served once the routes are known."""

    async def asyncSetUp(self) -> None:
        self.clock = unittest.mock.Mock()
        self.clock.now.return_value = NOW
        self.context = EdgeContext(
            edge=Edge(instance('a'), REGION_BY_DOMAIN, Bounds()),
            clock=self.clock,
            curl=unittest.mock.Mock(),
            header_format=PlatformHeaders(),
            prober=unittest.mock.Mock(),
            crash_detector=unittest.mock.Mock(),
            load_sharing=unittest.mock.Mock(),
            metrics=Metrics(),
            events=unittest.mock.Mock(),
            first_routes=FirstRoutes(),
        )
        self.reader = EdgeFrontend(self.context).start_request(
            object(), unittest.mock.Mock()
        )

    async def test_served_once_the_routes_are_known(self) -> None:
        with _exchange() as exchange:
            task = self._receive(8000)
            await asyncio.sleep(0.01)
            self.assertFalse(exchange.called)
            self._receive_routes(NOW + 0.3)
            await task
        incoming = exchange.call_args.args[2]
        self.assertEqual(incoming.began_at, NOW)
        self.assertEqual(incoming.call.deadline, NOW + 1.2)

    @parameterized.expand([('in_time', False, 0), ('too_late', True, 1)])
    async def test_refused_without_routes(
        self, _name: str, is_too_late: bool, refusals: int
    ) -> None:
        with (
            _exchange() as exchange,
            unittest.mock.patch(
                'turmericmast.web.edgefrontend.refuse_request'
            ) as refuse,
        ):
            task = self._receive(40)
            if not is_too_late:
                self._receive_routes(NOW)
            await task
        self.assertEqual(exchange.called, not is_too_late)
        self.assertEqual(refuse.call_count, refusals)
        if is_too_late:
            self.assertEqual(refuse.call_args.args[1].status, 503)

    async def test_not_sent_after_the_caller_has_left(self) -> None:
        with _exchange() as exchange:
            task = self._receive(8000)
            await asyncio.sleep(0)
            self.reader.on_connection_close()
            self._receive_routes(NOW)
            await task
        self.assertFalse(exchange.called)

    def _receive(self, timeout_ms: int) -> asyncio.Task[None]:
        headers = HTTPHeaders({**HEADERS, 'X-Deadline-Ms': str(timeout_ms)})
        waiting = self.reader.headers_received(START, headers)
        assert waiting is not None
        return asyncio.ensure_future(waiting)

    def _receive_routes(self, now: float) -> None:
        self.clock.now.return_value = now
        self.context.edge.apply(feed(targets=(target('1'),)), document())
        self.context.first_routes.announce()


def _exchange() -> unittest.mock._patch:
    return unittest.mock.patch('turmericmast.web.edgefrontend.EdgeExchange')
