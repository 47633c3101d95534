"""Pass a request body from the caller to a target, with backpressure."""

import asyncio
import collections
from collections.abc import Callable
from typing import final

from turmericmast.web.heldbytes import HeldBytes

METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
"""Methods whose requests have a body, though it may be empty."""
MAX_BUFFERED_BYTES = 65_536
"""Bytes up to which a body is buffered, so that it can be sent again."""
HIGH_WATER_BYTES = 262_144
"""Bytes queued for the target above which reading from the caller pauses."""


@final
class RequestBody:
    """A request body: buffered while small, streamed past the buffer."""

    def __init__(self) -> None:
        """Start with no bytes received."""
        self.size = 0
        self.is_complete = False
        self._buffer = bytearray()
        self._stream: collections.deque[bytes] = collections.deque()
        self._stream_bytes = 0
        self._room: HeldBytes | None = None
        self._held_bytes = 0
        self._is_held = False
        self._is_end_held = False
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._on_data: Callable[[], None] | None = None

    @property
    def is_buffered(self) -> bool:
        """Tell whether the body is complete and can be sent again."""
        return self.is_complete and self.size <= MAX_BUFFERED_BYTES

    @property
    def can_replay(self) -> bool:
        """Tell whether the body received so far can be sent again.

        It is buffered and complete, or no byte of it has arrived yet.
        """
        return self.is_buffered or not self.size

    def exceeds_buffer(self, more: int) -> bool:
        """Tell whether ``more`` further bytes would exceed the buffer."""
        return self.size + more > MAX_BUFFERED_BYTES

    def buffered(self) -> bytes:
        """Return the buffered bytes: the whole body or its start."""
        return bytes(self._buffer)

    async def push(self, chunk: bytes) -> None:
        """Add bytes from the caller; wait while too many are queued."""
        self.size += len(chunk)
        if self.size <= MAX_BUFFERED_BYTES:
            self._buffer += chunk
            return
        self._stream.append(chunk)
        self._stream_bytes += len(chunk)
        self._notify_reader()
        if self._stream_bytes > HIGH_WATER_BYTES and not self._is_held:
            self._has_room.clear()
            await self._has_room.wait()

    def hold(self, size: int, room: HeldBytes) -> bool:
        """Queue the next ``size`` bytes without waiting for a reader.

        They take ``room`` until reading stops. Return whether there was room.
        """
        if not room.try_take(size):
            return False
        self._room = room
        self._held_bytes += size
        self._is_held = True
        return True

    def hold_end(self) -> None:
        """Send the body, but for the last chunk that has arrived."""
        self._is_held = False
        self._is_end_held = True

    def release_end(self) -> None:
        """Send the last chunk, too."""
        self._is_end_held = False
        self._notify_reader()

    @property
    def is_end_held(self) -> bool:
        """Tell whether the last chunk is held."""
        return self._is_end_held

    def mark_complete(self) -> None:
        """Note that the caller has sent the whole body."""
        self.is_complete = True
        self._notify_reader()

    def stop_reading(self) -> None:
        """Release a ``push`` that waits, and the room that the body took.

        What has arrived is not sent any more.
        """
        self._has_room.set()
        if self._room:
            self._room.release(self._held_bytes)
            self._held_bytes = 0
            self._room = None

    def open_reader(self, on_data: Callable[[], None]) -> 'BodyReader':
        """Return a reader for one attempt; new data calls ``on_data``."""
        self._on_data = on_data
        return BodyReader(self, self.buffered())

    def read_stream(self, size: int) -> bytes | None:
        """Return up to ``size`` streamed bytes.

        They are empty at the end of the body, ``None`` if none have arrived
        yet.
        """
        if self._is_end_held and len(self._stream) <= 1:
            return None
        if not self._stream:
            return b'' if self.is_complete else None
        chunk = self._stream.popleft()
        if len(chunk) > size:
            self._stream.appendleft(chunk[size:])
            chunk = chunk[:size]
        self._stream_bytes -= len(chunk)
        if self._stream_bytes <= HIGH_WATER_BYTES:
            self._has_room.set()
        return chunk

    def _notify_reader(self) -> None:
        if self._on_data:
            self._on_data()


@final
class BodyReader:
    """Reads a body for one attempt: first the buffer, then the stream."""

    def __init__(self, body: RequestBody, buffered: bytes) -> None:
        """Read ``buffered`` and then the stream of ``body``."""
        self._body = body
        self._buffer = memoryview(buffered)

    def read(self, size: int) -> bytes | None:
        """Return up to ``size`` bytes; empty at the end, ``None`` to wait."""
        if self._buffer:
            chunk = bytes(self._buffer[:size])
            self._buffer = self._buffer[size:]
            return chunk
        return self._body.read_stream(size)
