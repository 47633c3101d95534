"""Targets that write one response into the head or the body of another."""

import asyncio
import contextlib
import unittest.mock
from collections.abc import AsyncIterator
from typing import Any

from parameterized import parameterized

from tests.entry_harness import EntryHarness, RawTarget
from tests.platform_samples import ROUTES, changed, encoded
from tests.test_cut_answers import serving_target
from tests.test_front import call
from turmericmast.platform.documents import DocumentFormat

TIMEOUT = 5.0
"""Seconds for one request; each must end long before, also beside load."""
FAILED_LINE = b'HTTP/1.1 500 Error: broken\r\n'
GOOD_LINE = b'HTTP/1.1 200 OK: found\r\n'
"""curl takes a status line with a colon for a header."""
ID = b'X-Request-Id: r\r\n'
SIGNATURE = b'X-Response-Signature: s\r\n'
FAILED = FAILED_LINE + ID
GOOD = GOOD_LINE + ID + SIGNATURE
END = b'Content-Length: 2\r\n\r\nab'
IN_CHUNKS = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'\r\n2\r\nab\r\n0\r\n'
HINTS = b'HTTP/1.1 103 Hints: some\r\n'

MIXED_HEADS = [
    ('success_within_a_failure', FAILED + GOOD + END),
    ('failure_within_a_success', GOOD + FAILED + END),
    ('success_within_a_rejection', b'HTTP/1.1 404 None\r\n' + ID + GOOD + END),
    ('success_within_no_content', b'HTTP/1.1 204 None\r\n' + ID + GOOD + END),
    ('success_within_a_success', GOOD + GOOD + END),
    ('success_after_a_status_line', FAILED_LINE + GOOD + END),
    ('only_the_status_of_a_success', FAILED + SIGNATURE + GOOD_LINE + END),
    ('chunks_of_a_failure', FAILED + IN_CHUNKS + GOOD + CHUNKS + b'\r\n'),
    ('interim_within_a_failure', FAILED + HINTS + b'\r\n' + GOOD + END),
    ('interim_within_a_success', GOOD + HINTS + b'\r\n' + FAILED + END),
    ('success_within_an_interim', HINTS + GOOD + b'\r\n' + FAILED + END),
    ('failure_within_an_interim', HINTS + FAILED + b'\r\n' + GOOD + END),
    ('blank_line_after_an_interim', HINTS + b'\r\n\r\n' + GOOD + END),
    (
        'status_line_without_colon',
        FAILED + GOOD.replace(b'OK: found', b'OK') + END,
    ),
    ('status_line_in_lower_case', FAILED + GOOD.lower() + END),
    (
        'status_line_of_another_version',
        FAILED + GOOD.replace(b'1.1', b'2') + END,
    ),
    ('status_line_after_a_carriage_return', FAILED[:-2] + b'\r' + GOOD + END),
    (
        'status_line_in_a_folded_header',
        FAILED + b'A: b\r\n ' + GOOD_LINE + END,
    ),
    (
        'status_line_as_trailer',
        GOOD + IN_CHUNKS + CHUNKS + FAILED + b'\r\n',
    ),
    (
        'success_as_trailer_of_a_failure',
        FAILED + IN_CHUNKS + CHUNKS + GOOD + b'\r\n',
    ),
]
"""Heads and trailers that contain a status line as a line of their own."""
MIXED_HEADERS = [
    ('two_ids', GOOD + b'X-Request-Id: q\r\n' + END),
    (
        'signature_of_an_interim',
        HINTS + SIGNATURE + b'\r\n' + GOOD_LINE + ID + END,
    ),
    ('id_of_an_interim', HINTS + ID + b'\r\n' + GOOD_LINE + SIGNATURE + END),
    ('two_lengths', GOOD + b'Content-Length: 5\r\n' + END),
]
"""Heads whose headers come from two responses."""
SINGLE_HEADS = [
    ('plain', GOOD + END, 200, b'ab'),
    ('failure', FAILED + END, 500, b'ab'),
    ('status_line_with_colons', GOOD.replace(b':', b'::', 1) + END, 200, b'ab'),
    ('interim_before', HINTS + b'A: b\r\n\r\n' + GOOD + END, 200, b'ab'),
    ('two_interims', 2 * (HINTS + b'\r\n') + GOOD + END, 200, b'ab'),
    ('interim_before_a_failure', HINTS + b'\r\n' + FAILED + END, 500, b'ab'),
    (
        'status_line_in_a_trailer',
        GOOD + IN_CHUNKS + CHUNKS + b'A: ' + FAILED + b'\r\n',
        200,
        b'ab',
    ),
    (
        'success_in_a_trailer_of_a_failure',
        FAILED + IN_CHUNKS + CHUNKS + b'A: ' + GOOD + b'\r\n',
        500,
        b'ab',
    ),
    (
        'status_line_in_a_header',
        FAILED + b'A: b ' + GOOD_LINE + END,
        500,
        b'ab',
    ),
    (
        'head_in_the_body',
        FAILED + b'Content-Length: %d\r\n\r\n' % len(GOOD) + GOOD,
        500,
        GOOD,
    ),
    (
        'two_equal_lengths',
        GOOD + b'Content-Length: 2\r\n' + END,
        200,
        b'ab',
    ),
]
"""Valid responses, with the status and the body that the caller gets."""


class StutteringTarget:
    """A target that writes raw bytes as its response and keeps connections."""

    def __init__(self, response: bytes) -> None:
        self.connections = 0
        self.is_closed = asyncio.Event()
        self._response = response
        self._tasks: list[asyncio.Task[None] | None] = []

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        """Serve on loopback, and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        async with server:
            yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
            await asyncio.wait_for(self.is_closed.wait(), TIMEOUT)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                await reader.readuntil(b'\r\n\r\n')
                writer.write(self._response)
                await writer.drain()
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        self.is_closed.set()


class InterleavedHeadTest(unittest.IsolatedAsyncioTestCase):
    """A caller gets the status, headers and body of one head, or a 502."""

    # Guards against a success that is made of a failure, for a target whose
    # head contains the status line of another response (MIXED).
    @parameterized.expand(MIXED_HEADS + MIXED_HEADERS)
    async def test_mixed_head(self, _name: str, response: bytes) -> None:
        target = StutteringTarget(response)
        async with target.run() as address, _serving(address) as port:
            status, headers, _ = await _request(port)
            self.assertEqual(status, b'HTTP/1.1 502 Bad Gateway')
            self.assertNotIn(SIGNATURE.strip(), headers)
            # The connection may hold more of the other response.
            await asyncio.wait_for(target.is_closed.wait(), 1)

    # Guards against valid responses that are rejected as mixed ones.
    @parameterized.expand(SINGLE_HEADS)
    async def test_single_head(
        self, _name: str, response: bytes, status: int, body: bytes
    ) -> None:
        target = StutteringTarget(response)
        async with target.run() as address, _serving(address) as port:
            received = [await _request(port) for _ in range(2)]
        for status_line, headers, received_body in received:
            self.assertEqual(status_line.split()[1], b'%d' % status)
            self.assertEqual(headers.count(ID.strip()), 1)
            self.assertEqual(SIGNATURE.strip() in headers, status == 200)
            self.assertEqual(received_body, body)
        self.assertEqual(target.connections, 1)


class InterleavedHeadAtAnEntryTest(unittest.IsolatedAsyncioTestCase):
    """The same at an entry, the regional product."""

    # Guards against the fault of ``test_mixed_head`` at entries.
    @parameterized.expand(MIXED_HEADS)
    async def test_mixed_head(self, _name: str, response: bytes) -> None:
        async def mixed(*_request: Any) -> tuple[bytes, bool]:
            return (response, False)

        async with EntryHarness(targets=1) as harness:
            with unittest.mock.patch.object(RawTarget, '_answer', mixed):
                received = await call(harness, '/stock/ok')
        self.assertIn(received.code, {502, 503, 504})
        self.assertNotIn('X-Response-Signature', received.headers)


@contextlib.asynccontextmanager
async def _serving(address: str) -> AsyncIterator[int]:
    """Serve an edge whose only target has ``address``; return its port."""
    routes = changed(ROUTES, 'routes.look.timeout_s', TIMEOUT)
    parsed = DocumentFormat().parse(encoded(routes))
    async with serving_target(address, parsed.unwrap()) as served:
        yield served[-1]


async def _request(port: int) -> tuple[bytes, list[bytes], bytes]:
    """Return the status line, headers and body that a caller receives."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Request-Id: r\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n'
    )
    async with asyncio.timeout(TIMEOUT):
        received = await reader.read()
    writer.close()
    await writer.wait_closed()
    head, _, body = received.partition(b'\r\n\r\n')
    status, *headers = head.split(b'\r\n')
    return (status, headers, body)
