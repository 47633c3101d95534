"""Idle connections that are closed just as their next request arrives.

Pattern: the idle time-out becomes shorter by a change of the routes, so that
connections which callers still use are closed in that moment.
"""

import asyncio
import contextlib
import unittest.mock
from typing import Any

from parameterized import parameterized
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.edge_samples import (
    REGION_BY_DOMAIN,
    SkewedClock,
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
from turmericmast.web.firstroutes import FirstRoutes

REQUEST = (
    b'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Request-Id: r\r\nX-Deadline-Ms: 800\r\n\r\n'
)


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A request on a closed connection does not reach a target."""

    @parameterized.expand(
        [
            ('open', False, 1),
            ('closed_between_reading_and_parsing', True, 0),
        ]
    )
    async def test_requests_sent_to_targets(
        self, _name: str, is_closed: bool, sent: int
    ) -> None:
        context = _context()
        frontend = EdgeFrontend(context)
        server = HTTPServer(frontend)
        sock, port = bind_unused_port()
        server.add_socket(sock)
        parse = HTTP1Connection._parse_headers

        def close_and_parse(connection: Any, head: bytes) -> Any:
            if is_closed:
                frontend.idle_connections.close_older(-1)
            return parse(connection, head)

        with (
            unittest.mock.patch.object(
                HTTP1Connection, '_parse_headers', close_and_parse
            ),
            unittest.mock.patch(
                'turmericmast.web.edgefrontend.EdgeExchange'
            ) as exchange,
        ):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(), 0.2)
            writer.close()
            self.assertEqual(exchange.call_count, sent)
        server.stop()


def _context() -> EdgeContext:
    edge = Edge(instance('a'), REGION_BY_DOMAIN, Bounds())
    edge.apply(feed(targets=(target('1'),)), document())
    return EdgeContext(
        edge=edge,
        clock=SkewedClock(),
        curl=unittest.mock.Mock(),
        header_format=PlatformHeaders(),
        prober=unittest.mock.Mock(),
        crash_detector=unittest.mock.Mock(),
        load_sharing=unittest.mock.Mock(),
        metrics=Metrics(),
        events=unittest.mock.Mock(),
        first_routes=FirstRoutes(),
    )
