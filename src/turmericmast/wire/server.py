"""The server for frames of peers."""

import abc
import asyncio
import contextlib
from typing import Any, final

from returns.result import Success
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from turmericmast.wire.codec import Envelope
from turmericmast.wire.frame import (
    MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES,
    pack_frame,
    read_frame,
    tune,
)
from turmericmast.wire.link import Node

MAX_RUNNING = 256
"""Requests of one connection that are worked on at a time."""


class Handler(abc.ABC):
    """Answers requests of peers."""

    @abc.abstractmethod
    async def handle(self, sender: str, body: Any) -> Any:
        """Return the answer; ``None`` for a message that needs none."""


@final
class PeerServer(TCPServer):
    """Reads frames; a bad one costs its connection and nothing else."""

    def __init__(self, node: Node, handler: Handler) -> None:
        """Give every message to ``handler``."""
        super().__init__()
        self._node = node
        self._handler = handler
        self._streams: set[IOStream] = set()

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Serve one connection until it ends."""
        tune(stream)
        self._streams.add(stream)
        try:
            await self._serve(stream, f'{address[0]}:{address[1]}')
        except StreamClosedError:
            self._node.metrics.count('connections_ended')
        finally:
            stream.close()
            self._streams.discard(stream)

    def close_all(self) -> None:
        """Stop listening and drop every connection."""
        self.stop()
        for stream in tuple(self._streams):
            stream.close()

    async def _serve(self, stream: IOStream, peer: str) -> None:
        limit = MAX_FIRST_FRAME_BYTES
        running = asyncio.Semaphore(MAX_RUNNING)
        while True:
            frame = await read_frame(stream, peer, limit)
            if not isinstance(frame, Success):
                self._node.metrics.count('frames_bad')
                return
            limit = MAX_FRAME_BYTES
            await running.acquire()
            asyncio.ensure_future(
                self._answer(stream, frame.unwrap(), running),
            )

    async def _answer(
        self,
        stream: IOStream,
        envelope: Envelope,
        running: asyncio.Semaphore,
    ) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(running.release)
            await self._answer_one(stream, envelope)

    async def _answer_one(self, stream: IOStream, envelope: Envelope) -> None:
        self._node.clock.update(envelope.clock)
        answer = await self._handler.handle(envelope.sender, envelope.body)
        if answer is None or not envelope.id or stream.closed():
            return
        stamp = self._node.clock.tick().pack()
        frame = pack_frame(
            Envelope(0, envelope.id, stamp, self._node.name, answer),
        )
        self._node.metrics.count('bytes_sent', len(frame))
        try:
            await stream.write(frame)
        except StreamClosedError:
            self._node.metrics.count('answers_unsent')
