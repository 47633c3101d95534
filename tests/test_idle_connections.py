"""Idle connections that are closed just as their next request arrives.

Pattern: callers use kept connections until these are closed, so requests arrive
beside the checks for idle ones; or the idle time-out becomes shorter by a
change of the routes, and hundreds of connections are closed in one check.
"""

import asyncio
import contextlib
import dataclasses
import socket
import time
import unittest.mock
from collections.abc import AsyncIterator, Callable
from typing import Any

from parameterized import parameterized
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate
from tornado.testing import bind_unused_port

from tests.edge_samples import (
    REGION_BY_DOMAIN,
    SkewedClock,
    document,
    feed,
    instance,
    target,
)
from turmericmast.balance.linkpace import LinkPace
from turmericmast.edge.edge import Edge
from turmericmast.ids import Seconds
from turmericmast.instancesettings import Bounds
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.programs.gracefulshutdown import (
    PROPAGATION_TIME,
    QUIET_TIME,
    GracefulShutdown,
)
from turmericmast.route.document import RouteLimits
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend
from turmericmast.web.firstroutes import FirstRoutes
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import ResponseHead

REQUEST = (
    b'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Request-Id: r\r\nX-Deadline-Ms: 800\r\n\r\n'
)
UPLOAD = REQUEST.replace(b'GET', b'PUT').replace(
    b'\r\n\r\n', b'\r\nContent-Length: 8\r\n\r\n12345678'
)
UNKNOWN = REQUEST.replace(b'shop.example', b'unknown.example')
TEST_TIMEOUT = 5
"""Seconds for a step on a busy machine; shorter than the grace period."""
IDLE_SECONDS = 16.0
"""Longer than the idle time-out of the sample routes, 15 s.

Shorter than that and the time for a head, 3 s, together."""


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
                connection.stream.close()
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


class CrossingRequestTest(unittest.IsolatedAsyncioTestCase):
    """A connection is closed as idle only when nothing has arrived on it.

    Otherwise a request that was read gets neither an answer nor a refusal.
    """

    @parameterized.expand(
        [
            ('in_the_socket', REQUEST, b'', False, 1),
            ('read_but_not_parsed', REQUEST, b'', True, 1),
            ('head_read_in_part', REQUEST[:40], REQUEST[40:], True, 1),
            ('body_read_in_part', UPLOAD[:-4], UPLOAD[-4:], True, 1),
            ('two_at_once', REQUEST + REQUEST, b'', True, 2),
        ]
    )
    async def test_request_beside_check_is_answered(
        self,
        _name: str,
        before: bytes,
        after: bytes,
        is_read: bool,
        answers: int,
    ) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            _skip_time(frontend)
            await _send(caller, before)
            if is_read:
                await _check_after_reading(frontend)
            else:
                frontend.close_idle()
            await _send(caller, after)
            octets = await _receive(caller, answers)
            self.assertEqual(octets.count(b'HTTP/1.1 200'), answers)

    async def test_connection_without_request_is_closed(self) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            _skip_time(frontend)
            frontend.close_idle()
            self.assertEqual(await _receive(caller), b'')
            self.assertEqual(caller.recv(1), b'')

    @parameterized.expand([('half_a_head', REQUEST[:40]), ('nothing', b'')])
    async def test_incomplete_head_is_closed_in_the_end(
        self, _name: str, octets: bytes
    ) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            await _send(caller, octets)
            _skip_time(frontend)
            _skip_time(frontend)
            await _check_after_reading(frontend)
            self.assertEqual(await _receive(caller), b'')
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(caller.recv(1), b'')

    async def test_shorter_time_out_leaves_connections_in_use(self) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            await _ask(caller, REQUEST)
            _set_idle_timeout(frontend, 5)
            new_caller = await connect()
            _skip_time(frontend, 10)
            frontend.close_idle()
            self.assertIn(b'HTTP/1.1 200', await _ask(caller, REQUEST))
            self.assertEqual(await _receive(new_caller), b'')
            self.assertEqual(new_caller.recv(1), b'')

    async def test_head_read_in_part_after_shorter_time_out(self) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            _set_idle_timeout(frontend, 5)
            _skip_time(frontend)
            await _send(caller, REQUEST[:40])
            await _check_after_reading(frontend)
            octets = await _ask(caller, REQUEST[40:])
            self.assertIn(b'HTTP/1.1 200', octets)

    async def test_closed_connections_are_forgotten(self) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            await _ask(caller, REQUEST)
            self.assertTrue(frontend.idle_connections.has_open)
            caller.close()
            async with asyncio.timeout(TEST_TIMEOUT):
                while frontend.idle_connections.has_open:
                    await asyncio.sleep(0.01)
            frontend.close_idle()
            self.assertFalse(frontend.idle_connections._wait_by_connection)

    async def test_hundreds_of_connections_while_the_loop_is_behind(
        self,
    ) -> None:
        async with _served() as (frontend, connect):
            callers = [await connect() for _ in range(200)]
            _skip_time(frontend)
            asyncio.get_running_loop().call_later(0, frontend.close_idle)
            for caller in callers[::2]:
                caller.send(REQUEST)
            time.sleep(0.05)  # noqa: ASYNC251
            received = await asyncio.gather(*map(_receive, callers))
        self.assertEqual(list(map(bool, received)), [True, False] * 100)


class ReuseTimeTest(unittest.IsolatedAsyncioTestCase):
    """Callers are told to stop using a connection before it is closed."""

    @parameterized.expand(
        [
            ('answer', REQUEST, 15, False, b'Keep-Alive: timeout=14'),
            ('refusal', UNKNOWN, 15, False, b'Connection: close'),
            ('fraction_of_a_second', REQUEST, 3.5, False, b'timeout=2\r\n'),
            ('too_short_to_tell', REQUEST, 1.5, False, b'HTTP/1.1 200'),
            ('leaving', REQUEST, 15, True, b'Connection: close'),
            ('refusal_when_leaving', UNKNOWN, 15, True, b'Connection: close'),
        ]
    )
    async def test_header(
        self,
        _name: str,
        request: bytes,
        idle_timeout: float,
        is_leaving: bool,
        wanted: bytes,
    ) -> None:
        async with _served() as (frontend, connect):
            _set_idle_timeout(frontend, idle_timeout)
            if is_leaving:
                edge = frontend._context.edge
                edge.leave(Seconds(frontend._context.clock.now() + 10))
            caller = await connect()
            octets = await _ask(caller, request)
            self.assertIn(wanted, octets)
            has_time = b'Keep-Alive' in octets
            self.assertIs(has_time, b'timeout=' in wanted)


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """A planned stop waits for requests that have arrived in part."""

    @parameterized.expand(
        [
            ('head_read_in_part', REQUEST[:40], REQUEST[40:], True),
            ('body_read_in_part', UPLOAD[:-4], UPLOAD[-4:], True),
            ('nothing', b'', b'', False),
        ]
    )
    async def test_request_is_answered(
        self, _name: str, before: bytes, after: bytes, is_answered: bool
    ) -> None:
        async with _served() as (frontend, connect):
            caller = await connect()
            await _send(caller, before)
            stop = asyncio.ensure_future(_shutdown(frontend))
            if is_answered:
                # The callers count as quiet by then.
                await asyncio.sleep(PROPAGATION_TIME + QUIET_TIME)
                self.assertFalse(stop.done())
                await _send(caller, after)
            octets = await _receive(caller)
            await asyncio.wait_for(stop, TEST_TIMEOUT)
        self.assertIs(b'HTTP/1.1 200' in octets, is_answered)


async def _shutdown(frontend: EdgeFrontend) -> None:
    context = frontend._context
    context.edge.bounds = Bounds(grace=6, directory_ttl=0)
    process = unittest.mock.Mock(clock=context.clock)
    process.settings.bounds = context.edge.bounds
    shutdown = GracefulShutdown(process, context, (frontend,))
    await shutdown.run((unittest.mock.Mock(),))


def _set_idle_timeout(frontend: EdgeFrontend, idle_timeout: float) -> None:
    edge = frontend._context.edge
    changed = dataclasses.replace(
        document(), limits=RouteLimits(idle_timeout=idle_timeout)
    )
    edge.apply(feed(targets=(target('1'),), index=edge.index + 1), changed)


def _skip_time(frontend: EdgeFrontend, seconds: float = IDLE_SECONDS) -> None:
    """Let time pass, by default more than a connection may be idle."""
    clock = frontend._context.clock
    assert isinstance(clock, SkewedClock)
    clock.offset += seconds


async def _send(caller: socket.socket, octets: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(caller, octets)


async def _ask(caller: socket.socket, octets: bytes) -> bytes:
    await _send(caller, octets)
    return await _receive(caller)


async def _receive(caller: socket.socket, answers: int = 1) -> bytes:
    """Return what arrives until the last answer or the end."""
    received = b''
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(TEST_TIMEOUT):
            while received.count(b'HTTP/1.1 ') < answers:
                octets = await loop.sock_recv(caller, 65536)
                if not octets:
                    break
                received += octets
    return received


async def _check_after_reading(frontend: EdgeFrontend) -> None:
    """Check in the iteration of the loop that reads what has arrived."""
    checked = asyncio.Event()

    def check() -> None:
        frontend.close_idle()
        checked.set()

    # The loop runs readers before timers that are due.
    asyncio.get_running_loop().call_later(0, check)
    await checked.wait()


class _AnsweringExchange(HTTPMessageDelegate):
    """Answers each request when its body is complete."""

    def __init__(self, context: Any, connection: Any, _request: Any) -> None:
        self._relay = Relay(connection, 'GET', context.connection_headers)

    def on_connection_close(self) -> None:
        """Do nothing: there is nothing to cancel."""

    def on_deadline(self) -> None:
        """Do nothing: the tests are about connections."""

    def finish(self) -> None:
        self._relay.on_head(ResponseHead(200, 'OK', HTTPHeaders()))
        self._relay.on_chunk(b'answer')
        self._relay.finish()


@contextlib.asynccontextmanager
async def _served() -> AsyncIterator[tuple[EdgeFrontend, Callable[[], Any]]]:
    """Serve an edge without targets; also return how to connect to it."""
    frontend = EdgeFrontend(_context())
    server = HTTPServer(frontend)
    listener, port = bind_unused_port()
    listener.setblocking(False)
    server.add_socket(listener)
    with contextlib.ExitStack() as stack:
        stack.callback(server.stop)
        stack.enter_context(
            unittest.mock.patch(
                'turmericmast.web.edgefrontend.EdgeExchange',
                _AnsweringExchange,
            )
        )

        async def connect() -> socket.socket:
            caller = stack.enter_context(socket.socket())
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            known = frontend.idle_connections._wait_by_connection
            expected = len(known) + 1
            await loop.sock_connect(caller, ('127.0.0.1', port))
            async with asyncio.timeout(TEST_TIMEOUT):
                while len(known) < expected:
                    await asyncio.sleep(0)
            return caller

        yield frontend, connect


def _context() -> EdgeContext:
    edge = Edge(instance('a'), REGION_BY_DOMAIN, Bounds())
    edge.apply(feed(targets=(target('1'),)), document())
    return EdgeContext(
        edge=edge,
        clock=SkewedClock(),
        curl=unittest.mock.Mock(link_pace=LinkPace()),
        header_format=PlatformHeaders(),
        prober=unittest.mock.Mock(),
        crash_detector=unittest.mock.Mock(),
        load_sharing=unittest.mock.Mock(),
        metrics=Metrics(),
        events=unittest.mock.Mock(),
        first_routes=FirstRoutes(),
    )
