"""Targets that send bytes without end, until their caller closes."""

import asyncio
import collections
import contextlib
import unittest.mock
from collections.abc import AsyncIterator
from typing import Any

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
from turmericmast.web.responselimits import (
    MAX_BYTES_PER_TURN,
    MAX_CHUNKS_PER_TURN,
    MAX_HEAD_LINES,
    OversizedPart,
)
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

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
        'failure_in_tiny_chunks',
        b'HTTP/1.1 500 Error\r\n' + CHUNKED,
        b'1\r\na\r\n',
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

OVERSIZED = [
    (
        'few_long_headers',
        b'HTTP/1.1 200 OK\r\n',
        b'A: ' + b'b' * 8000 + b'\r\n',
        OversizedPart.head,
    ),
    (
        'many_short_headers',
        b'HTTP/1.1 200 OK\r\n',
        b'A: b\r\n',
        OversizedPart.head,
    ),
    ('interim_heads', b'', b'HTTP/1.1 102 P\r\n\r\n', OversizedPart.head),
    (
        'interim_heads_with_headers',
        b'',
        b'HTTP/1.1 103 Hints\r\n' + b'A: b\r\n' * 50 + b'\r\n',
        OversizedPart.head,
    ),
    (
        'many_short_trailers',
        SIGNED + CHUNKED + b'0\r\n',
        b'A: b\r\n',
        OversizedPart.trailers,
    ),
    (
        'few_long_trailers',
        SIGNED + CHUNKED + b'0\r\n',
        b'A: ' + b'b' * 4000 + b'\r\n',
        OversizedPart.trailers,
    ),
    ('extension', SIGNED + CHUNKED + b'5;', b'a', OversizedPart.framing),
    (
        'extension_of_a_failure',
        b'HTTP/1.1 500 Error\r\n' + CHUNKED + b'5;',
        b'a',
        OversizedPart.framing,
    ),
]
"""Bytes once, bytes again and again, and what is over its limit."""

WITHIN_LIMITS = [
    (
        'lines',
        SIGNED
        + b'A: b\r\n' * (MAX_HEAD_LINES - 9)
        + CHUNKED
        + b'1\r\na\r\n0\r\nA: b\r\n\r\n',
    ),
    (
        'bytes',
        SIGNED
        + (b'A: ' + b'b' * 4091 + b'\r\n') * 15
        + CHUNKED
        + b'1\r\na\r\n0\r\n\r\n',
    ),
    (
        'interim_heads',
        b'HTTP/1.1 102 P\r\n\r\n' * 64
        + SIGNED
        + CHUNKED
        + b'1\r\na\r\n0\r\n\r\n',
    ),
]


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


class _OneAnswer:
    """A target that sends the same answer to everything."""

    def __init__(self, sent: bytes) -> None:
        self._sent = sent

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
        writer.write(self._sent)
        writer.close()


def _transfer(
    curl: CurlClient, address: str, response: ResponseSink, timeout: float
) -> Transfer:
    request = TransferRequest(f'http://{address}/', 'GET', (), timeout, None, 0)
    return Transfer(curl, request, response, lambda: True)


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An attempt ends after few bytes, and closes the connection."""

    @parameterized.expand(ENDLESS)
    async def test_attempt(
        self, _name: str, once: bytes, again: bytes, losses: set[Loss]
    ) -> None:
        errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
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
        self.assertFalse(errors)
        self.assertLess(target.sent_bytes, MOST_BYTES)

    # Guards against heads and trailers whose memory only curl limits.
    # Guards against a chunk extension that takes all the time of its request.
    @parameterized.expand(OVERSIZED)
    async def test_part_over_its_limit(
        self, _name: str, once: bytes, again: bytes, part: OversizedPart
    ) -> None:
        target = EndlessTarget(once, again)
        relay = unittest.mock.Mock()
        response = EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
        metrics = Metrics()
        async with target.run() as address:
            with CurlClient(metrics=metrics) as curl:
                transfer = _transfer(curl, address, response, TIMEOUT)
                loss = await asyncio.wait_for(transfer.run(), TIMEOUT / 2)
                await asyncio.wait_for(target.is_closed.wait(), 1)
        has_begun = CHUNKED in once
        self.assertIs(
            loss, Loss.cut_short if has_begun else Loss.connection_lost
        )
        self.assertFalse(relay.on_chunk.called)
        self.assertEqual(
            dict(metrics.count_by_name),
            {('responses_oversized', (('part', part.value),)): 1},
        )
        self.assertLess(target.sent_bytes, MOST_BYTES)

    @parameterized.expand(WITHIN_LIMITS)
    async def test_part_within_its_limit(self, _name: str, sent: bytes) -> None:
        relay = unittest.mock.Mock()
        response = EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
        metrics = Metrics()
        async with _OneAnswer(sent).run() as address:
            with CurlClient(metrics=metrics) as curl:
                transfer = _transfer(curl, address, response, TIMEOUT)
                self.assertIsNone(await transfer.run())
        self.assertFalse(metrics.count_by_name)

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


class _TurnSink(ResponseSink):
    """Notes what arrives in each iteration of the loop."""

    def __init__(self) -> None:
        self.body = b''
        self.chunks_by_turn: collections.Counter[int] = collections.Counter()
        self.octets_by_turn: collections.Counter[int] = collections.Counter()
        self._turn = 0

    async def count_turns(self) -> None:
        """Count the iterations of the loop."""
        while True:
            await asyncio.sleep(0)
            self._turn += 1

    def on_head(self, head: ResponseHead) -> bool:
        """Accept the head."""
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Accept a part of the body."""
        self.chunks_by_turn[self._turn] += 1
        self.octets_by_turn[self._turn] += len(chunk)
        self.body += chunk[: LONG_BODY - len(self.body)]
        return True


LONG_BODY = 200_000
"""Bytes of a body that arrives in parts of one byte."""
MOST_TURNS = 2
"""Times that curl may read one transfer in one iteration of the loop."""
BUFFER_BYTES = 16_384
"""Bytes that curl reads from a connection at once."""


class SharedLoopTest(unittest.IsolatedAsyncioTestCase):
    """A body that arrives at full speed leaves the loop to others."""

    # Guards against a body in tiny chunks that holds up all other requests
    # of its edge for seconds.
    @parameterized.expand(
        [
            ('tiny_chunks', CHUNKED, b'1\r\na\r\n'),
            ('long_chunks', CHUNKED, b'4000\r\n' + b'a' * 0x4000 + b'\r\n'),
            ('without_chunks', b'\r\n', b'a'),
        ]
    )
    async def test_parts_in_one_turn(
        self, _name: str, head: bytes, again: bytes
    ) -> None:
        target = EndlessTarget(SIGNED + head, again)
        sink = _TurnSink()
        async with target.run() as address:
            with CurlClient() as curl:
                turns = asyncio.ensure_future(sink.count_turns())
                await _transfer(curl, address, sink, 0.3).run()
                turns.cancel()
        self.assertGreater(len(sink.chunks_by_turn), 1)
        self.assertLessEqual(
            max(sink.chunks_by_turn.values()),
            MOST_TURNS * MAX_CHUNKS_PER_TURN,
        )
        self.assertLessEqual(
            max(sink.octets_by_turn.values()),
            MOST_TURNS * (MAX_BYTES_PER_TURN + BUFFER_BYTES),
        )

    async def test_body_of_many_turns_is_complete(self) -> None:
        body = bytes(octet % 251 for octet in range(LONG_BODY))
        chunks = b''.join(b'1\r\n%c\r\n' % octet for octet in body)
        answer = _OneAnswer(SIGNED + CHUNKED + chunks + b'0\r\n\r\n')
        sink = _TurnSink()
        async with answer.run() as address:
            with CurlClient() as curl:
                transfer = _transfer(curl, address, sink, TIMEOUT)
                self.assertIsNone(await transfer.run())
        self.assertEqual(sink.body, body)
