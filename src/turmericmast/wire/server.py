"""Serves requests of peers over TCP."""

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
    FrameReader,
    pack_frame,
    set_socket_options,
)
from turmericmast.wire.link import ProcessContext

MAX_CONCURRENT_REQUESTS = 256
"""Requests of one connection that are handled concurrently."""


class Handler(abc.ABC):
    """Answers the messages that a ``PeerServer`` receives."""

    @abc.abstractmethod
    async def handle(self, sender: str, body: Any) -> Any:
        """Return the answer, or ``None`` for a message that needs none."""


@final
class PeerServer(TCPServer):
    """Accepts connections of peers and answers their requests.

    An invalid frame closes its own connection and no other.
    """

    def __init__(self, context: ProcessContext, handler: Handler) -> None:
        """Pass every message to ``handler``."""
        super().__init__()
        self._context = context
        self._handler = handler
        self._streams: set[IOStream] = set()

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Answer requests on one connection until it ends."""
        set_socket_options(stream)
        self._streams.add(stream)
        try:
            await self._serve(stream, f'{address[0]}:{address[1]}')
        except StreamClosedError:
            self._context.metrics.count('connections_ended')
        finally:
            stream.close()
            self._streams.discard(stream)

    def close_all(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for stream in tuple(self._streams):
            stream.close()

    async def _serve(self, stream: IOStream, peer: str) -> None:
        limit = MAX_FIRST_FRAME_BYTES
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        reader = FrameReader(stream, peer, self._context.long_frames)
        while True:
            frame = await reader.read(limit)
            if not isinstance(frame, Success):
                self._context.metrics.count('frames_bad')
                return
            limit = MAX_FRAME_BYTES
            await semaphore.acquire()
            asyncio.ensure_future(
                self._handle_and_release(stream, frame.unwrap(), semaphore),
            )

    async def _handle_and_release(
        self,
        stream: IOStream,
        envelope: Envelope,
        semaphore: asyncio.Semaphore,
    ) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(semaphore.release)
            await self._handle_request(stream, envelope)

    async def _handle_request(
        self,
        stream: IOStream,
        envelope: Envelope,
    ) -> None:
        self._context.clock.update(envelope.clock)
        answer = await self._handler.handle(envelope.sender, envelope.body)
        if answer is None or not envelope.id or stream.closed():
            return
        stamp = self._context.clock.tick().pack()
        frame = pack_frame(
            Envelope(0, envelope.id, stamp, self._context.name, answer),
        )
        self._context.metrics.count('bytes_sent', len(frame))
        self._context.metrics.count(
            'message_bytes', len(frame), message=type(answer).__name__
        )
        try:
            await stream.write(frame)
        except StreamClosedError:
            self._context.metrics.count('answers_unsent')
