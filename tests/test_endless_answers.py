"""Targets that send bytes without end, until their caller closes."""

import asyncio
import contextlib
import unittest.mock
from collections.abc import AsyncIterator

from parameterized import parameterized

from tests.edge_samples import NOW, target_view
from turmericmast.balance.targetview import Eligibility, TargetView
from turmericmast.call.call import Loss
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgeresponse import MAX_BUFFERED_BYTES, EdgeResponse
from turmericmast.web.probing import Prober
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import Transfer, TransferRequest

TIMEOUT = 3.0
"""Seconds for one transfer; each must end long before."""
MOST_BYTES = 8_388_608
"""Bytes that a target gets rid of, those in buffers of the kernel included."""
CHUNKED = b'X-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n'
SIGNED = b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'

ENDLESS = [
    ('no_protocol', b'\0\1', b'\2\3', {Loss.connection_lost}),
    ('status_line', b'HTTP/1.1 200 ', b'a', {Loss.connection_lost}),
    ('one_header', b'HTTP/1.1 200 OK\r\nX: ', b'a', {Loss.connection_lost}),
    ('headers', b'HTTP/1.1 200 OK\r\n', b'A: b\r\n', {Loss.connection_lost}),
    ('interim', b'', b'HTTP/1.1 103 Hints\r\n\r\n', {Loss.connection_lost}),
    (
        'failure_without_length',
        b'HTTP/1.1 500 Error\r\nX-Request-Id: r\r\n\r\n',
        b'a',
        {Loss.failed},
    ),
    (
        'failure_in_chunks',
        b'HTTP/1.1 500 Error\r\n' + CHUNKED,
        b'5\r\naaaaa\r\n',
        {Loss.failed},
    ),
    (
        'refusal',
        b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n' + CHUNKED,
        b'5\r\naaaaa\r\n',
        {Loss.shed},
    ),
    ('trailers', SIGNED + CHUNKED + b'0\r\n', b'A: b\r\n', {Loss.cut_short}),
]
"""Bytes once, bytes again and again, and how the attempt may fail."""


class EndlessTarget:
    """A target that answers everything with bytes without end."""

    def __init__(self, once: bytes, again: bytes) -> None:
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()
        self._once = once
        self._again = again * (65_536 // len(again))

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        """Serve on loopback, and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        async with server:
            yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._once)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(self._again)
                await writer.drain()
                self.sent_bytes += len(self._again)
        self.is_closed.set()


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An attempt ends after few bytes, and closes the connection."""

    @parameterized.expand(ENDLESS)
    async def test_attempt(
        self, _name: str, once: bytes, again: bytes, losses: set[Loss]
    ) -> None:
        target = EndlessTarget(once, again)
        relay = unittest.mock.Mock()
        response = EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
        async with target.run() as address:
            with CurlClient() as curl:
                request = TransferRequest(
                    f'http://{address}/', 'GET', (), TIMEOUT, None, 0
                )
                transfer = Transfer(curl, request, response, lambda: True)
                loss = await asyncio.wait_for(transfer.run(), TIMEOUT / 2)
                await asyncio.wait_for(target.is_closed.wait(), 1)
        self.assertIn(response.final_loss(loss), losses)
        self.assertLess(target.sent_bytes, MOST_BYTES)

    async def test_chunk_extension_ends_with_the_time_of_the_request(
        self,
    ) -> None:
        # curl skips the extension without telling, so only time limits it.
        target = EndlessTarget(SIGNED + CHUNKED + b'5;', b'a')
        relay = unittest.mock.Mock()
        response = EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
        async with target.run() as address:
            with CurlClient() as curl:
                request = TransferRequest(
                    f'http://{address}/', 'GET', (), 0.3, None, 0
                )
                transfer = Transfer(curl, request, response, lambda: True)
                loss = await asyncio.wait_for(transfer.run(), TIMEOUT / 2)
                await asyncio.wait_for(target.is_closed.wait(), 1)
        self.assertIs(loss, Loss.timed_out)
        self.assertFalse(relay.on_chunk.called)

    async def test_long_rejection_is_forwarded(self) -> None:
        target = EndlessTarget(
            b'HTTP/1.1 404 Not Found\r\n' + CHUNKED, b'5\r\naaaaa\r\n'
        )
        connection = unittest.mock.Mock()
        relay = Relay(connection, 'GET', dict)
        response = EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
        async with target.run() as address:
            with CurlClient() as curl:
                request = TransferRequest(
                    f'http://{address}/', 'GET', (), 0.3, None, 0
                )
                transfer = Transfer(curl, request, response, lambda: True)
                await transfer.run()
        start = connection.write_headers.call_args.args[0]
        self.assertEqual(start.code, 404)
        self.assertGreater(relay.sent_bytes, MAX_BUFFERED_BYTES)

    @parameterized.expand(
        [
            ('head', b'HTTP/1.1 200 OK\r\n', b'A: b\r\n'),
            ('body', b'HTTP/1.1 200 OK\r\nX-Instance-Id: 1\r\n\r\n', b'a'),
            ('earlier_response', SIGNED + CHUNKED, b'5\r\naaaaa\r\n'),
        ]
    )
    async def test_health_check(
        self, _name: str, once: bytes, again: bytes
    ) -> None:
        target = EndlessTarget(once, again)
        async with target.run() as address:
            with CurlClient() as curl:
                view = await self._probe(curl, address)
                await asyncio.wait_for(target.is_closed.wait(), 1)
        self.assertIs(view.eligibility(NOW), Eligibility.ejected)
        self.assertLess(target.sent_bytes, MOST_BYTES)

    async def _probe(self, curl: CurlClient, address: str) -> TargetView:
        clock = unittest.mock.Mock()
        clock.now.return_value = NOW
        prober = Prober(
            curl, PlatformHeaders(), clock, Metrics(), unittest.mock.Mock()
        )
        view = target_view('1')
        url_of = unittest.mock.Mock(address=address, target='1')
        with unittest.mock.patch.object(view, 'record', url_of):
            await prober.start(view, '/')
        return view
