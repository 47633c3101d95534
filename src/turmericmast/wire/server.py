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


class StreamGuard(abc.ABC):
    """Limits what incoming connections make a process hold."""

    @abc.abstractmethod
    def accept(self, stream: IOStream) -> IOStream:
        """Return the stream to use; it is closed if there is no room."""

    @abc.abstractmethod
    def begin(self, stream: IOStream, octets: int) -> None:
        """Note that a connection is in use, and the bytes held for it."""


@final
class Unguarded(StreamGuard):
    """Limits nothing."""

    def accept(self, stream: IOStream) -> IOStream:
        """Return the stream itself."""
        return stream

    def begin(self, stream: IOStream, octets: int) -> None:
        """Do nothing."""


@final
class PeerServer(TCPServer):
    """Accepts connections of peers and answers their requests.

    An invalid frame closes its own connection and no other.
    """

    def __init__(
        self,
        context: ProcessContext,
        handler: Handler,
        guard: StreamGuard | None = None,
    ) -> None:
        """Pass every message to ``handler``; ``guard`` limits connections."""
        super().__init__()
        self._guard = guard or Unguarded()
        self._context = context
        self._handler = handler
        self._streams: set[IOStream] = set()

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Answer requests on one connection until it ends."""
        guarded = self._guard.accept(stream)
        if not guarded.closed():
            await self._serve_until_end(guarded, f'{address[0]}:{address[1]}')

    def close_all(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for stream in tuple(self._streams):
            stream.close()

    async def _serve_until_end(self, stream: IOStream, peer: str) -> None:
        set_socket_options(stream)
        self._streams.add(stream)
        try:
            await self._serve(stream, peer)
        except StreamClosedError:
            self._context.metrics.count('connections_ended')
        finally:
            stream.close()
            self._streams.discard(stream)

    async def _serve(self, stream: IOStream, peer: str) -> None:
        limit = MAX_FIRST_FRAME_BYTES
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        reader = FrameReader(stream, peer, self._context.first_frames)
        while True:
            frame = await reader.read(limit)
            if not isinstance(frame, Success):
                self._context.metrics.count('frames_bad')
                return
            if limit != MAX_FRAME_BYTES:
                # The first frame was decoded, so that the peer is known.
                limit = MAX_FRAME_BYTES
                reader.long_frames = self._context.long_frames
                self._guard.begin(stream, 0)
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
