"""Peers that send bytes without end to the pages of a process.

The same as tests/test_endless_answers.py, from the other side: the directory,
the readiness address, the metrics and the operators' port.
"""

import asyncio
import contextlib
import unittest.mock
from collections.abc import AsyncIterator

from parameterized import parameterized
from tornado.httpserver import HTTPServer

from tests.edge_samples import edge, feed, instance
from turmericmast.clock import SystemClock
from turmericmast.metrics import Metrics
from turmericmast.platform.edgeapi import make_application
from turmericmast.web import pageserver

MOST_BYTES = 8_388_608
"""Bytes that a peer gets rid of, those in buffers of the kernel included."""
CLOSED_WITHIN = 3.0
"""Seconds within which the connection must be closed."""
HEAD = b'PUT /-/ready HTTP/1.1\r\nHost: x\r\n'

ENDLESS = [
    ('no_protocol', b'\0\1', b'\2\3'),
    ('request_line', b'GET /', b'a'),
    ('one_header', b'GET / HTTP/1.1\r\nA: ', b'b'),
    ('headers', b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
    ('body_with_a_length', HEAD + b'Content-Length: 99999999\r\n\r\n', b'a'),
    (
        'body_in_chunks',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'5\r\naaaaa\r\n',
    ),
    (
        'chunk_extension',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n5;a=',
        b'b',
    ),
]
"""Bytes once, and bytes again and again."""

SILENT = [
    ('before_the_head', b''),
    ('in_the_head', b'GET / HTTP/1.1\r\n'),
    ('in_the_body', HEAD + b'Content-Length: 9\r\n\r\n'),
]


class EndlessRequestTest(unittest.IsolatedAsyncioTestCase):
    """A process closes the connection and goes on serving others."""

    @parameterized.expand(ENDLESS)
    async def test_bytes_without_end(
        self, _name: str, once: bytes, again: bytes
    ) -> None:
        async with _serve() as port:
            sent = await asyncio.wait_for(
                _send(port, once, again), CLOSED_WITHIN
            )
            self.assertLess(sent, MOST_BYTES)
            self.assertTrue(await _is_serving(port))

    @parameterized.expand(SILENT)
    async def test_silence(self, _name: str, once: bytes) -> None:
        with contextlib.ExitStack() as stack:
            for limit in ('BODY_TIMEOUT', 'IDLE_TIMEOUT'):
                stack.enter_context(
                    unittest.mock.patch.object(pageserver, limit, 0.1)
                )
            async with _serve() as port:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', port
                )
                writer.write(once)
                await asyncio.wait_for(reader.read(), CLOSED_WITHIN)
                writer.close()


@contextlib.asynccontextmanager
async def _serve() -> AsyncIterator[int]:
    record = instance('e')
    application = make_application(
        edge(record, feed(record)), Metrics(), SystemClock()
    )
    server: HTTPServer = pageserver.make_page_server(application)
    server.listen(0, '127.0.0.1')
    sockets = list(server._sockets.values())
    yield sockets[0].getsockname()[1]
    server.stop()
    await server.close_all_connections()


async def _send(port: int, once: bytes, again: bytes) -> int:
    """Send until the connection is closed; return the bytes sent."""
    _reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(once)
    block = again * (65_536 // len(again))
    sent = 0
    with contextlib.suppress(OSError):
        while not writer.is_closing() and sent < MOST_BYTES:
            writer.write(block)
            await writer.drain()
            sent += len(block)
    writer.close()
    return sent


async def _is_serving(port: int) -> bool:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
    line = await asyncio.wait_for(reader.readline(), CLOSED_WITHIN)
    writer.close()
    return line.startswith(b'HTTP/1.1 200')
