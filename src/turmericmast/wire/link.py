"""An outgoing connection to a peer, for messages and requests."""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import time
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self, final

from returns.result import Failure, Result, Success
from tornado.iostream import IOStream, StreamClosedError

from turmericmast.clock import HybridClock
from turmericmast.exceptions import WireError
from turmericmast.metrics import Metrics
from turmericmast.wire.codec import Envelope
from turmericmast.wire.frame import (
    MAX_FRAME_BYTES,
    FrameReader,
    LongFrames,
    pack_frame,
    set_socket_options,
)

MAX_QUEUE_BYTES = 8_388_608
"""Bytes of frames that wait to be sent; one longer frame may wait alone."""
MAX_QUEUE_FRAMES = 512
"""Frames that wait to be sent."""
CONNECT_TIMEOUT = 0.3
"""Seconds for one attempt to connect; a dozen round trips between regions.

The first packet to a host without power is lost, and the kernel retransmits
it only after a second: with short attempts the link is up again as soon as the
host is."""
SILENCE_TIMEOUT = 2.0
"""Seconds without any answer after which a connection is given up.

Where downloads fill the link of a host, answers take more than a second."""
RECONNECT_INTERVAL = 0.1
"""Seconds between two attempts to connect."""


@final
@dataclasses.dataclass(frozen=True)
class ProcessContext:
    """Name, clock and metrics of a process, for its links and servers."""

    name: str
    clock: HybridClock
    metrics: Metrics
    long_frames: LongFrames = dataclasses.field(default_factory=LongFrames)
    first_frames: LongFrames = dataclasses.field(default_factory=LongFrames)
    """Room for the first frames of incoming connections.

    Until a frame has been decoded the peer may be any client, which must not
    take the room of known peers."""


@final
class Link:
    """A connection to one peer that is reopened whenever it is lost.

    Frames wait in a bounded queue while there is no connection. A full queue
    drops its oldest frames; the protocols on top send again.
    """

    def __init__(self, context: ProcessContext, address: str) -> None:
        """Connect to ``address`` when the first message is sent."""
        self.address = address
        self.on_late_answer: Callable[[Any], object] = _ignore_answer
        """Called with an answer that comes after its request was given up."""
        self._context = context
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._future_by_id: dict[
            int, asyncio.Future[Result[Any, WireError]]
        ] = {}
        self._last_id = 0
        self._wakeup = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._is_closed = False
        self._stream: IOStream | None = None
        self._last_received_at = float(0)
        """When the connection was opened, or its last frame arrived."""

    def __enter__(self) -> Self:
        """Return the link."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection and fail the pending requests."""
        self._is_closed = True
        if self._task:
            self._task.cancel()
        self._fail_pending('the link was closed')

    def send(self, body: object) -> None:
        """Queue a message that needs no answer."""
        self._enqueue(body, 0)

    async def request(
        self,
        body: object,
        timeout: float,
    ) -> Result[Any, WireError]:
        """Return the answer to a request, or why none came in ``timeout`` s."""
        self._last_id += 1
        request_id = self._last_id
        future: asyncio.Future[Result[Any, WireError]] = asyncio.Future()
        self._future_by_id[request_id] = future
        sent_at = time.monotonic()
        self._enqueue(body, request_id)
        future.add_done_callback(
            lambda _: self._future_by_id.pop(request_id, None),
        )
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            self._close_if_silent(sent_at)
            return Failure(self._error(f'no answer in {timeout:g} s'))

    def _close_if_silent(self, since: float) -> None:
        """Close a connection that has received nothing since a time.

        A new connection may work where this one does not. A connection that
        answered in the last ``SILENCE_TIMEOUT`` may only be slow.
        """
        silent_since = min(since, time.monotonic() - SILENCE_TIMEOUT)
        if self._stream and self._last_received_at < silent_since:
            self._context.metrics.count('links_silent', peer=self.address)
            self._stream.close()

    def _enqueue(self, body: object, request_id: int) -> None:
        stamp = self._context.clock.tick().pack()
        frame = pack_frame(
            Envelope(request_id, 0, stamp, self._context.name, body),
        )
        self._context.metrics.count(
            'message_bytes', len(frame), message=type(body).__name__
        )
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        while self._is_overfull():
            self._queued_bytes -= len(self._queue.popleft())
            self._context.metrics.count('frames_dropped', peer=self.address)
        self._wakeup.set()
        if self._task is None and not self._is_closed:
            self._task = asyncio.ensure_future(self._stay_connected())

    def _is_overfull(self) -> bool:
        too_many = len(self._queue) > MAX_QUEUE_FRAMES
        return len(self._queue) > 1 and (
            too_many or self._queued_bytes > MAX_QUEUE_BYTES
        )

    async def _stay_connected(self) -> None:
        host, _, port = self.address.rpartition(':')
        while not self._is_closed:
            try:
                await self._connect(host.strip('[]'), int(port))
            except (OSError, StreamClosedError, TimeoutError):
                self._context.metrics.count('links_lost', peer=self.address)
            self._fail_pending('the connection was lost')
            await asyncio.sleep(RECONNECT_INTERVAL)

    async def _connect(self, host: str, port: int) -> None:
        # Addresses are numeric: resolving host names would need a thread.
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        with contextlib.ExitStack() as stack:
            stack.callback(stream.close)
            await asyncio.wait_for(
                stream.connect((host, port)),
                CONNECT_TIMEOUT,
            )
            stack.pop_all()
        set_socket_options(stream)
        self._stream = stream
        self._last_received_at = time.monotonic()
        reader = asyncio.ensure_future(self._read(stream))
        with contextlib.ExitStack() as stack:
            stack.callback(reader.cancel)
            stack.callback(stream.close)
            await self._write(stream)

    async def _write(self, stream: IOStream) -> None:
        # The reader closes the stream when it ends, which ends this loop.
        stream.set_close_callback(self._wakeup.set)
        while not stream.closed():
            frames = b''.join(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            self._wakeup.clear()
            if frames:
                self._context.metrics.count('bytes_sent', len(frames))
                await stream.write(frames)
            else:
                await self._wakeup.wait()

    async def _read(self, stream: IOStream) -> None:
        try:
            await self._read_answers(stream)
        except StreamClosedError:
            stream.close()

    async def _read_answers(self, stream: IOStream) -> None:
        reader = FrameReader(stream, self.address, self._context.long_frames)
        while True:
            frame = await reader.read(MAX_FRAME_BYTES)
            if not isinstance(frame, Success):
                self._context.metrics.count('frames_bad', peer=self.address)
                stream.close()
                return
            envelope = frame.unwrap()
            self._last_received_at = time.monotonic()
            self._context.clock.update(envelope.clock)
            future = self._future_by_id.get(envelope.answers)
            if future and not future.done():
                future.set_result(Success(envelope.body))
            else:
                self._context.metrics.count('answers_late', peer=self.address)
                # An error of the callback must not end the reading.
                asyncio.get_running_loop().call_soon(
                    self.on_late_answer, envelope.body
                )

    def _fail_pending(self, cause: str) -> None:
        for future in tuple(self._future_by_id.values()):
            if not future.done():
                future.set_result(Failure(self._error(cause)))

    def _error(self, cause: str) -> WireError:
        return WireError(
            cause,
            step='ask peer',
            peer=self.address,
            hint='check that the process at this address runs',
        )


def _ignore_answer(answer: Any) -> None:
    """Do nothing; the default until a callback is set."""
