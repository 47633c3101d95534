"""Requests that are refused before their headers lead to a target.

Pattern: callers reuse connections, so that what a refusal says of its length
and of the connection decides what becomes of the next request.
"""

import asyncio
import contextlib
import unittest

from parameterized import parameterized

from tests.running_edge import RunningEdge, target_at

REFUSALS = [
    ('no_route', '/none/', '', 404),
    ('headers_too_large', '/stock/1', 'x' * 20_000, 431),
    ('no_target', '/stock/1', '', 503),
]


class RefusedHeadTest(unittest.IsolatedAsyncioTestCase):
    """A HEAD request gets the head of its refusal and no body.

    Guards against LOST: the connection was closed without a response.
    """

    @parameterized.expand(REFUSALS)
    async def test_response(
        self, _name: str, path: str, filling: str, expected: int
    ) -> None:
        head, rest, _ = await _refuse('HEAD', path, filling)
        self.assertEqual(int(head.split()[1]), expected)
        self.assertEqual(rest, b'')


class ClosedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A refusal after which the connection is closed says so.

    Guards against requests without an answer: callers sent the next one on a
    connection that was about to be closed, for example beside a change that
    drops a route.
    """

    @parameterized.expand(REFUSALS)
    async def test_header(
        self, _name: str, path: str, filling: str, expected: int
    ) -> None:
        head, _, is_closed = await _refuse('GET', path, filling)
        self.assertEqual(int(head.split()[1]), expected)
        self.assertIs('Connection: close' in head, is_closed)


async def _refuse(
    method: str, path: str, filling: str
) -> tuple[str, bytes, bool]:
    """Return the head and the rest of a response, and if it ended there."""
    with RunningEdge('own') as running, contextlib.ExitStack() as stack:
        await running.open(targets=[target_at('1', '127.0.0.1:9')])
        host, _, port = running.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.close)
        writer.write(
            f'{method} {path} HTTP/1.1\r\n'
            'Host: shop.example\r\nX-Request-Id: r\r\n'
            f'X-Filling: {filling}\r\n\r\n'.encode()
        )
        await asyncio.sleep(0.5)
        octets = await asyncio.wait_for(reader.read(65_536), 5)
        head, _, rest = octets.partition(b'\r\n\r\n')
        return head.decode(), rest, reader.at_eof()
