"""Memory of an edge whose target sends bytes without end.

The edge runs in a process of its own, since what curl keeps shows only in the
resident size of a process.
"""

import asyncio
import contextlib
import itertools
import multiprocessing
import unittest
from collections.abc import AsyncIterator
from multiprocessing.connection import Connection
from pathlib import Path

from parameterized import parameterized

from tests.running_edge import RunningEdge, target_at

MAX_GROWTH_BYTES = 33_554_432
"""Bytes by which the resident size of an edge may grow."""
RESET_PEAK = '5'
"""Written to ``clear_refs``, it resets the peak of the resident size."""
FLOOD_SECONDS = 0.2
"""Seconds for which a caller lets a response without end go on."""
READY_WITHIN = 20.0
"""Seconds within which the edge must answer, under any load."""
CHUNKED = b'Transfer-Encoding: chunked\r\n'
SIGNED = b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'
ENDLESS = [
    ('header_line', b'HTTP/1.1 200 OK\r\nA: ', b'', b'a'),
    ('headers', b'HTTP/1.1 200 OK\r\n', b'', b'A: b\r\n'),
    ('interim_heads', b'', b'', b'HTTP/1.1 102 P\r\n\r\n'),
    ('interim_headers', b'', b'', b'HTTP/1.1 103 H\r\nA: b\r\n\r\n'),
    ('no_protocol', b'', b'', b'\0'),
    ('success', SIGNED, b'Content-Length: 99999999999\r\n\r\n', b'a'),
    ('tiny_chunks', SIGNED + CHUNKED, b'\r\n', b'1\r\na\r\n'),
    ('rejection', b'HTTP/1.1 404 N\r\n' + CHUNKED, b'\r\n', b'1\r\na\r\n'),
    ('failure', b'HTTP/1.1 500 E\r\n' + CHUNKED, b'\r\n', b'1\r\na\r\n'),
    ('failure_without_length', b'HTTP/1.1 500 E\r\n', b'\r\n', b'a'),
    (
        'refusal',
        b'HTTP/1.1 503 B\r\nX-Not-Executed: 1\r\n' + CHUNKED,
        b'\r\n',
        b'1\r\na\r\n',
    ),
    ('extension', SIGNED + CHUNKED, b'\r\n5;', b'a'),
    ('trailers', SIGNED + CHUNKED, b'\r\n0\r\n', b'A: b\r\n'),
]
"""What comes before the id of the request, after it, and again and again."""


class EdgeMemoryTest(unittest.IsolatedAsyncioTestCase):
    """An edge keeps little of a response without end, and answers others."""

    pipe: Connection

    @classmethod
    def setUpClass(cls) -> None:
        """Start the process of the edges."""
        ours, theirs = multiprocessing.Pipe()
        cls.pipe = ours
        process = multiprocessing.get_context('spawn').Process(
            target=_run_edges, args=(theirs,), daemon=True
        )
        process.start()
        # Otherwise recv() would wait for a process that has ended.
        theirs.close()
        cls.addClassCleanup(process.join)
        cls.addClassCleanup(process.kill)

    # Guards against an edge that runs out of memory by what a target sends.
    @parameterized.expand(
        [
            (f'{name}_{"read" if is_read else "unread"}', *flood, is_read)
            for (name, *flood), is_read in itertools.product(
                ENDLESS, (True, False)
            )
        ]
    )
    async def test_growth(
        self, _name: str, first: bytes, then: bytes, again: bytes, is_read: bool
    ) -> None:
        async with _flooding_target(first, then, again) as target:
            self.pipe.send(target)
            address = await asyncio.to_thread(self.pipe.recv)
            await _call(address, is_read=is_read)
            self.assertTrue(await _is_answering(address))
            self.pipe.send('')
            growth = await asyncio.to_thread(self.pipe.recv)
        self.assertLess(growth, MAX_GROWTH_BYTES)


@contextlib.asynccontextmanager
async def _flooding_target(
    first: bytes, then: bytes, again: bytes
) -> AsyncIterator[str]:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            if b'/health' in head:
                writer.write(
                    b'HTTP/1.1 200 OK\r\nX-Instance-Id: 1\r\n'
                    b'Connection: close\r\nX-Server-Load: 0/0/4\r\n\r\n'
                )
            else:
                has_id = b'\r\n' in then
                writer.write(first + (b'X-Request-Id: r\r\n' * has_id) + then)
                while not writer.is_closing():
                    writer.write(again * (65_536 // len(again)))
                    await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    server.close()


def _run_edges(pipe: Connection) -> None:
    """Serve with each target that is named; send how much memory has grown."""
    while target := pipe.recv():
        asyncio.run(_run_edge(pipe, target))


async def _run_edge(pipe: Connection, target: str) -> None:
    with RunningEdge('e') as edge:
        await edge.open(targets=[target_at('1', target)])
        Path('/proc/self/clear_refs').write_text(RESET_PEAK)
        before = _peak_bytes()
        pipe.send(edge.address)
        await asyncio.to_thread(pipe.recv)
        pipe.send(_peak_bytes() - before)


def _peak_bytes() -> int:
    status = Path('/proc/self/status').read_text()
    return int(status.split('VmHWM:')[1].split()[0]) * 1024


async def _call(address: str, *, is_read: bool) -> None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'GET /stock/x HTTP/1.1\r\n'
        b'Host: shop.example\r\nX-Request-Id: r\r\n\r\n'
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FLOOD_SECONDS):
            while is_read and await reader.read(65_536):
                await asyncio.sleep(0)
            await asyncio.sleep(FLOOD_SECONDS)
    writer.close()


async def _is_answering(address: str) -> bool:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET / HTTP/1.1\r\nHost: unknown.example\r\n\r\n')
    line = await asyncio.wait_for(reader.readline(), READY_WITHIN)
    writer.close()
    return line.startswith(b'HTTP/1.1 404')
