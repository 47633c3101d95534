"""A request body on its way from the caller to a target."""

import asyncio
import collections
from collections.abc import Callable
from typing import final

METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
"""Methods whose requests have a body, though it may be empty."""
MAX_BUFFERED_BYTES = 65_536
"""A body up to this size is held whole, so that it can be sent again."""
HIGH_WATER_BYTES = 262_144
"""Octets waiting for the target at which reading from the caller pauses."""


@final
class RequestBody:
    """Octets of a request: held while small, passed through when large."""

    def __init__(self) -> None:
        """Start empty."""
        self.size = 0
        self.is_complete = False
        self._held: list[bytes] = []
        self._stream: collections.deque[bytes] = collections.deque()
        self._stream_bytes = 0
        self._room = asyncio.Event()
        self._room.set()
        self._on_more: Callable[[], None] | None = None

    @property
    def is_buffered(self) -> bool:
        """Tell whether the whole body is here and can be sent again."""
        return self.is_complete and self.size <= MAX_BUFFERED_BYTES

    @property
    def can_replay(self) -> bool:
        """Tell whether every octet so far can be sent again."""
        return self.is_buffered or not self.size

    def exceeds_buffer(self, more: int) -> bool:
        """Tell whether so many more octets are too much to hold."""
        return self.size + more > MAX_BUFFERED_BYTES

    def buffered(self) -> bytes:
        """Return the octets held: all of them, or the start."""
        return b''.join(self._held)

    async def push(self, chunk: bytes) -> None:
        """Take octets from the caller; returns when there is room for more."""
        self.size += len(chunk)
        if self.size <= MAX_BUFFERED_BYTES:
            self._held.append(chunk)
            return
        self._stream.append(chunk)
        self._stream_bytes += len(chunk)
        self._tell()
        if self._stream_bytes > HIGH_WATER_BYTES:
            self._room.clear()
            await self._room.wait()

    def mark_complete(self) -> None:
        """Note that the caller sent everything."""
        self.is_complete = True
        self._tell()

    def stop_reading(self) -> None:
        """Let a caller that waits for room go on, to no effect."""
        self._room.set()

    def open_reader(self, on_more: Callable[[], None]) -> 'BodyReader':
        """Return a reader for one attempt, told when more has come."""
        self._on_more = on_more
        return BodyReader(self, self.buffered())

    def read_stream(self, size: int) -> bytes | None:
        """Return streamed octets, none at the end, ``None`` for: wait."""
        if not self._stream:
            return b'' if self.is_complete else None
        chunk = self._stream.popleft()
        if len(chunk) > size:
            self._stream.appendleft(chunk[size:])
            chunk = chunk[:size]
        self._stream_bytes -= len(chunk)
        if self._stream_bytes <= HIGH_WATER_BYTES:
            self._room.set()
        return chunk

    def _tell(self) -> None:
        if self._on_more:
            self._on_more()


@final
class BodyReader:
    """Reads a body for one attempt."""

    def __init__(self, body: RequestBody, held: bytes) -> None:
        """Start with the octets held."""
        self._body = body
        self._held = memoryview(held)

    def read(self, size: int) -> bytes | None:
        """Return octets, none at the end, ``None`` for: wait."""
        if self._held:
            chunk = bytes(self._held[:size])
            self._held = self._held[size:]
            return chunk
        return self._body.read_stream(size)
