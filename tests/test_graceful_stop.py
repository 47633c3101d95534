"""Requests that come during a planned stop of an edge, over real sockets.

Pattern: a planned stop in calm; callers hold addresses and connections of the
instance until its grace period is nearly over.
"""

import asyncio
import contextlib
import socket
import types
import unittest.mock
from collections.abc import AsyncIterator
from typing import Any

from parameterized import parameterized
from tornado.httpserver import HTTPServer

from tests.platform_samples import ROUTES, changed, encoded
from tests.test_cut_answers import HEAD, serving_target
from turmericmast.balance.load import LoadReport
from turmericmast.instancesettings import Bounds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.gracefulshutdown import (
    GRACE_RESERVE,
    GracefulShutdown,
)
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend

GRACE = 2.8
"""Seconds of the grace period in these tests."""
LATE = GRACE - GRACE_RESERVE - 0.6
"""Seconds after the signal at which late requests are sent."""
QUICK = Bounds(directory_ttl=0.1)
"""Bounds with which an edge without requests stops after half a second."""
LARGE = 60_000
"""Bytes of a body that the relay holds, and the small buffers here do not."""
SMALL_BUFFER = 4096
"""Bytes of the buffers of sockets."""


class SlowTarget:
    """A target that answers after some time."""

    def __init__(self, delay: float, body: bytes = b'whole') -> None:
        self.requests = 0
        self.answered = 0
        self._delay = delay
        self._body = body

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        """Serve on loopback, and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        async with server:
            yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            await asyncio.sleep(self._delay)
            length = f'Content-Length: {len(self._body)}\r\n\r\n'
            writer.write(HEAD + length.encode() + self._body)
            await writer.drain()
            self.answered += 1
        writer.close()


class GracefulStopTest(unittest.IsolatedAsyncioTestCase):
    """A request is answered whole, or refused before a target gets it.

    Guards against requests that are passed on late in the grace period and
    cut off without an answer at its end.
    """

    @parameterized.expand(
        [
            ('late_long', LATE, 'POST', 8000, 503),
            ('late_long_look_up', LATE, 'GET', 8000, 503),
            ('early_long', 0.1, 'POST', 8000, 503),
            ('late_short', LATE, 'POST', 400, 200),
        ]
    )
    async def test_request(
        self,
        _name: str,
        after: float,
        method: str,
        timeout_ms: int,
        status: int,
    ) -> None:
        target = SlowTarget(0.1 if status == 200 else GRACE)
        async with target.run() as address, _serving(address) as stop:
            stopped = asyncio.ensure_future(stop.run())
            await asyncio.sleep(after)
            _, writer, received = await stop.send(method, timeout_ms, 'whole')
            await stopped
            answer = await _whole(received)
            writer.close()
        self.assertEqual(answer.split(b' ')[1], str(status).encode())
        if status == 503:
            self.assertIn(b'this instance is shutting down', answer)
            self.assertIn(b'Connection: close', answer)
            self.assertIn(b'Retry-After: 0.01', answer)
        self.assertEqual(target.requests, int(status == 200))

    @parameterized.expand([('long', 8000, 503), ('short', 1000, 200)])
    async def test_body_arrives_during_the_stop(
        self, _name: str, timeout_ms: int, status: int
    ) -> None:
        target = SlowTarget(0.1)
        async with target.run() as address, _serving(address) as stop:
            _, writer, received = await stop.send('POST', timeout_ms, 'who')
            await asyncio.sleep(0.1)
            stopped = asyncio.ensure_future(stop.run())
            await asyncio.sleep(0.1)
            writer.write(b'le')
            answer = await _whole(received)
            writer.close()
            await stopped
        self.assertEqual(answer.split(b' ')[1], str(status).encode())
        self.assertEqual(target.requests, int(status == 200))

    async def test_response_is_still_being_written(self) -> None:
        target = SlowTarget(0, b'x' * LARGE)
        async with target.run() as address, _serving(address) as stop:
            _, writer, received = await stop.send('GET', 1000, '')
            writer.transport.pause_reading()
            while not target.answered or stop.context.running:
                await asyncio.sleep(0.01)
            stop.context.edge.bounds = QUICK
            stopped = asyncio.ensure_future(stop.run())
            await asyncio.sleep(1)
            self.assertFalse(stopped.done())
            writer.transport.resume_reading()
            answer = await _whole(received)
            await stopped
            writer.close()
        _, _, body = answer.partition(b'\r\n\r\n')
        self.assertEqual(len(body), LARGE)

    async def test_nothing_is_taken_once_it_stops(self) -> None:
        async with _serving('127.0.0.1:1') as stop:
            stop.context.edge.bounds = QUICK
            await stop.run()
            now = stop.context.clock.now()
            self.assertFalse(stop.context.edge.can_finish(now))


class _Stop:
    """An edge that can be stopped as by a signal."""

    def __init__(
        self, context: EdgeContext, server: HTTPServer, frontend: EdgeFrontend
    ) -> None:
        self.context = context
        self.port = 0
        self._server = server
        self._frontend = frontend

    async def run(self) -> None:
        """Drain the edge; then close its connections, as its process does."""
        process: Any = types.SimpleNamespace(
            clock=self.context.clock,
            events=unittest.mock.Mock(),
            settings=types.SimpleNamespace(bounds=Bounds(grace=GRACE)),
        )
        shutdown = GracefulShutdown(process, self.context, (self._frontend,))
        await shutdown.run((self._server,))
        await self._server.close_all_connections()

    async def send(self, method: str, timeout_ms: int, body: str) -> Any:
        """Send a request with a body of 5 bytes, or the beginning of it.

        Returns the streams of the connection and the response as a task.
        """
        now = self.context.clock.now()
        for view in self.context.edge.views():
            view.verify(0, now)
            view.update_load(LoadReport(0, 0, 4), now)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.connect(('127.0.0.1', self.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(
            f'{method} /stock/1 HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Request-Id: r\r\nX-Deadline-Ms: {timeout_ms}\r\n'
            f'Connection: close\r\n'
            f'Content-Length: {5 if body else 0}\r\n\r\n{body}'.encode()
        )
        return reader, writer, asyncio.ensure_future(reader.read())


async def _whole(received: 'asyncio.Future[bytes]') -> bytes:
    """Return a response, or how the connection ended without one."""
    with contextlib.suppress(OSError):
        return await asyncio.wait_for(received, GRACE) or b'HTTP closed'
    return b'HTTP reset'


@contextlib.asynccontextmanager
async def _serving(address: str) -> AsyncIterator[_Stop]:
    """Serve an edge whose only target has ``address``."""
    routes = changed(ROUTES, 'routes.look.timeout_s', 10)
    async with serving_target(
        address, DocumentFormat().parse(encoded(routes)).unwrap()
    ) as (context, frontend, server, port):
        stop = _Stop(context, server, frontend)
        stop.port = port
        yield stop
