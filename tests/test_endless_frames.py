"""Peers that send frames, or bytes that are no frame, without end.

The same as tests/test_endless_answers.py, for the links between processes.
"""

import asyncio
import collections
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator, Callable
from typing import Any

from tornado.iostream import IOStream
from tornado.testing import bind_unused_port

from turmericmast.clock import HybridClock, SystemClock
from turmericmast.ids import Index, InstanceId
from turmericmast.metrics import Metrics
from turmericmast.wire import requests
from turmericmast.wire.codec import Envelope
from turmericmast.wire.frame import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    MAX_FRAMES_PER_TURN,
    MAX_LONG_FRAME_BYTES,
    pack_frame,
)
from turmericmast.wire.link import Link, ProcessContext
from turmericmast.wire.server import Handler, PeerServer

FRAMES = 1000
"""Frames that a peer sends at full speed."""
WITHIN = 5.0
"""Seconds within which a peer must get rid of them."""
WATCH = requests.Watch(InstanceId('e'), Index(1))


def _context() -> ProcessContext:
    return ProcessContext('me', HybridClock(SystemClock()), Metrics())


class _Turns:
    """Counts something in each iteration of the loop."""

    def __init__(self) -> None:
        self.count_by_turn: collections.Counter[int] = collections.Counter()
        self._turn = 0

    async def run(self, count: Callable[[], int]) -> None:
        """Note in each iteration how much ``count`` has grown."""
        before = 0
        while True:
            await asyncio.sleep(0)
            self._turn += 1
            now = count()
            self.count_by_turn[self._turn] = now - before
            before = now


class _CountingHandler(Handler):
    """Counts the requests."""

    def __init__(self) -> None:
        self.requests = 0

    async def handle(self, sender: str, body: Any) -> Any:
        """Count a request."""
        self.requests += 1
        return requests.Changed()


@contextlib.asynccontextmanager
async def _flooding_server(octets: bytes) -> AsyncIterator[str]:
    """Send ``octets`` on each connection, which stays open."""
    is_done = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            writer.write(octets)
            await writer.drain()
            await is_done.wait()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        is_done.set()


async def _wait_for(count: Callable[[], int], wanted: int) -> None:
    async with asyncio.timeout(WITHIN):
        while count() < wanted:
            await asyncio.sleep(0.01)


class SharedLoopTest(unittest.IsolatedAsyncioTestCase):
    """Frames that arrive at full speed leave the loop to others."""

    # Guards against a process that does nothing else for as long as one peer
    # sends frames: reading what has arrived never suspends.
    async def test_answers_to_a_link(self) -> None:
        frame = pack_frame(Envelope(0, 9, 1, 'peer', requests.Changed()))
        context = _context()
        turns = _Turns()
        async with _flooding_server(frame * FRAMES) as address:
            with Link(context, address) as link:
                late = ('answers_late', (('peer', address),))

                def count() -> int:
                    return context.metrics.count_by_name[late]

                counting = asyncio.ensure_future(turns.run(count))
                link.send(WATCH)
                await _wait_for(count, FRAMES)
                counting.cancel()
        self.assertLessEqual(
            max(turns.count_by_turn.values()), 2 * MAX_FRAMES_PER_TURN
        )

    async def test_requests_to_a_server(self) -> None:
        frame = pack_frame(Envelope(0, 0, 1, 'peer', WATCH))
        handler = _CountingHandler()
        turns = _Turns()
        sock, port = bind_unused_port()
        server = PeerServer(_context(), handler)
        server.add_socket(sock)
        counting = asyncio.ensure_future(turns.run(lambda: handler.requests))
        _reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(frame * FRAMES)
        await _wait_for(lambda: handler.requests, FRAMES)
        counting.cancel()
        writer.close()
        server.close_all()
        self.assertLessEqual(
            max(turns.count_by_turn.values()), 2 * MAX_FRAMES_PER_TURN
        )


class LongFramesTest(unittest.IsolatedAsyncioTestCase):
    """Peers that claim long frames share the room of one process."""

    # Guards against peers that claim long frames and send bytes without end
    # until the memory of the process is full.
    async def test_frames_without_room(self) -> None:
        context = _context()
        count_by_name = context.metrics.count_by_name
        server = PeerServer(context, _CountingHandler())
        sock, port = bind_unused_port()
        server.add_socket(sock)
        fitting = MAX_LONG_FRAME_BYTES // MAX_FRAME_BYTES
        writers = [await _claim(port) for _ in range(fitting + 2)]
        await _wait_for(lambda: count_by_name['frames_bad', ()], 2)
        self.assertEqual(count_by_name['frames_bad', ()], 2)
        for writer in writers:
            writer.close()
        await _wait_for(lambda: count_by_name['connections_ended', ()], fitting)
        (await _claim(port)).close()
        await _wait_for(
            lambda: count_by_name['connections_ended', ()], fitting + 1
        )
        self.assertEqual(count_by_name['frames_bad', ()], 2)
        server.close_all()

    def test_streams_can_buffer_the_longest_frame(self) -> None:
        with contextlib.closing(socket.socket()) as sock:
            stream = IOStream(sock)
            self.assertLess(
                MAX_FRAME_BYTES + stream.read_chunk_size,
                stream.max_buffer_size,
            )


async def _claim(port: int) -> asyncio.StreamWriter:
    """Send a valid frame, and the length of the longest one."""
    frame = pack_frame(Envelope(0, 0, 1, 'peer', WATCH))
    _reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(frame + LENGTH_PREFIX.pack(MAX_FRAME_BYTES))
    return writer
