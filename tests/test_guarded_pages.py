"""Servers of pages whose clients send too much or hold many connections."""

import asyncio
import contextlib
import unittest.mock
from collections.abc import AsyncIterator

from parameterized import parameterized
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from turmericmast.clock import SystemClock
from turmericmast.limits.processlimits import ProcessLimits
from turmericmast.metrics import Metrics
from turmericmast.platform.coreapi import (
    MAX_REPORT_BYTES,
    MAX_ROUTES_BYTES,
    body_limit,
)
from turmericmast.web.connectionguard import ConnectionGuard
from turmericmast.web.pageserver import make_page_server

ROUTES = '/-/config'
REPORT = '/-/instances/u'
CHUNKED = 'Transfer-Encoding: chunked'
ANSWER_WITHIN = 10.0
"""Seconds within which an answer must come, under any load."""


class _Page(RequestHandler):
    def put(self) -> None:
        """Tell how long the body was."""
        self.finish(str(len(self.request.body)))


def _length(octets: int) -> str:
    return f'Content-Length: {octets}'


class GuardedPageTest(unittest.IsolatedAsyncioTestCase):
    """What exceeds a limit is refused, and what does not is served."""

    # Guards against bodies that are collected though nobody will read them.
    @parameterized.expand(
        [
            ('report', REPORT, _length(9), b'a' * 9, 200),
            ('longest', REPORT, _length(MAX_REPORT_BYTES), None, 200),
            ('announced', REPORT, _length(MAX_REPORT_BYTES + 1), b'', 413),
            ('announced_routes', ROUTES, _length(10**12), b'', 413),
            ('routes', ROUTES, _length(MAX_ROUTES_BYTES), None, 200),
            ('query', f'{ROUTES}?known=1', _length(70_000), None, 200),
            ('in_chunks', REPORT, CHUNKED, b'3\r\nabc\r\n0\r\n\r\n', 200),
            (
                'too_many_chunks',
                REPORT,
                CHUNKED,
                (b'4000\r\n' + b'a' * 0x4000 + b'\r\n') * 5,
                413,
            ),
        ]
    )
    async def test_body(
        self,
        _name: str,
        path: str,
        header: str,
        body: bytes | None,
        status: int,
    ) -> None:
        octets = int(header.split()[-1]) if body is None else 0
        async with _serve(ProcessLimits()) as port:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            head = f'PUT {path} HTTP/1.1\r\nHost: x\r\n{header}\r\n\r\n'
            writer.write(head.encode() + (body or b'a' * octets))
            line = await asyncio.wait_for(reader.readline(), ANSWER_WITHIN)
            writer.close()
        self.assertEqual(int(line.split()[1]), status)

    # Guards against silent clients that keep all others out.
    async def test_oldest_idle_connection_is_closed(self) -> None:
        async with _serve(ProcessLimits(connections=2)) as port:
            opened = []
            for _ in range(3):
                opened.append(await asyncio.open_connection('127.0.0.1', port))
            ended = await asyncio.wait_for(opened[0][0].read(), ANSWER_WITHIN)
            self.assertEqual(ended, b'')
            for reader, writer in opened[1:]:
                writer.write(b'PUT / HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await asyncio.wait_for(reader.readline(), ANSWER_WITHIN)
                self.assertIn(b'200', line)
                writer.close()

    # Guards against memory that many bodies take, each within its limit.
    async def test_largest_body_is_dropped(self) -> None:
        async with _serve(ProcessLimits(held_octets=1_000_000)) as port:
            opened = []
            for octets in (600_000, 10):
                opened.append(await asyncio.open_connection('127.0.0.1', port))
                opened[-1][1].write(
                    f'PUT {ROUTES} HTTP/1.1\r\n{_length(700_000)}\r\n'
                    'Host: x\r\n\r\n'.encode()
                    + b'a' * octets
                )
            # Unread bytes may turn the end of the connection into a reset.
            with contextlib.suppress(ConnectionResetError):
                ended = opened[0][0].read()
                self.assertEqual(
                    await asyncio.wait_for(ended, ANSWER_WITHIN), b''
                )
            self.assertFalse(opened[1][0].at_eof())
            for _, writer in opened:
                writer.close()


@contextlib.asynccontextmanager
async def _serve(limits: ProcessLimits) -> AsyncIterator[int]:
    guard = ConnectionGuard(
        limits, SystemClock(), Metrics(), unittest.mock.Mock()
    )
    server: HTTPServer = make_page_server(
        Application([('/.*', _Page)], log_function=lambda _: None),
        MAX_ROUTES_BYTES,
        guard,
        body_limit,
    )
    sock, port = bind_unused_port()
    server.add_socket(sock)
    yield port
    server.stop()
    await server.close_all_connections()
