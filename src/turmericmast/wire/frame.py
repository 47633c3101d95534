"""Frames on a TCP stream: a length, then an envelope of that many bytes."""

import asyncio
import collections
import contextlib
import socket
import struct
from collections.abc import Iterator
from typing import final

from returns.result import Failure, Result
from tornado.iostream import IOStream

from turmericmast.exceptions import WireError
from turmericmast.wire.codec import (
    Envelope,
    decode_envelope_pieces,
    encode_envelope,
)
from turmericmast.wire.receiving import (
    MAX_STRING_BYTES,
    MAX_STRUCTURE_BYTES,
    PIECE_BYTES,
    Pieces,
)

LENGTH_PREFIX = struct.Struct('>I')
"""Length of the envelope in bytes, an unsigned 32-bit big-endian integer."""
MAX_FRAME_BYTES = MAX_STRING_BYTES + MAX_STRUCTURE_BYTES
"""Bytes of the longest frame: the longest snapshot, and what is around it."""
MAX_LONG_FRAME_BYTES = 134_217_728
"""Bytes of the long frames that a process receives at the same time."""
SHORT_FRAME_BYTES = 65_536
"""Bytes of the longest frame that needs no room beside its connection's."""
MAX_FIRST_FRAME_BYTES = 4_194_304
"""Bytes of the longest first frame on an incoming connection.

Until a frame has been decoded, the peer may be any client."""
MAX_FRAMES_PER_TURN = 16
"""Frames of one connection that are read before the loop turns to others."""
FRAME_TIMEOUT = 10.0
"""Seconds after its length in which a frame must be complete."""
USER_TIMEOUT_MS = 1500
"""Milliseconds that sent data may stay unacknowledged by the peer's host.

Then the kernel ends the connection, early enough for a new one to be used
within the contact window of 3 s."""
KEEPALIVE_SECONDS = 1
"""Seconds of idle time before the first TCP keepalive, and between two."""
KEEPALIVE_PROBES = 2
"""Unanswered TCP keepalives after which the kernel ends a connection."""


def pack_frame(envelope: Envelope) -> bytes:
    """Return an envelope as a frame, with its length in front."""
    octets = encode_envelope(envelope)
    return LENGTH_PREFIX.pack(len(octets)) + octets


@final
class LongFrames:
    """Room for the long frames that a process receives at the same time."""

    def __init__(self) -> None:
        """Start with no frame."""
        self._octets = 0
        self.max_octets = MAX_LONG_FRAME_BYTES
        """Bytes of all frames together."""

    @contextlib.contextmanager
    def receive(self, length: int) -> Iterator[bool]:
        """Take room for a frame of ``length`` bytes, if there is enough.

        It is given back on exit. Short frames need none.
        """
        taken = length if length > SHORT_FRAME_BYTES else 0
        if self._octets + taken > self.max_octets:
            yield False
            return
        self._octets += taken
        try:
            yield True
        finally:
            self._octets -= taken


@final
class FrameReader:
    """Reads the frames of one connection, and leaves the loop to others."""

    def __init__(
        self, stream: IOStream, peer: str, long_frames: LongFrames
    ) -> None:
        """Read from ``stream``, which is connected to ``peer``."""
        self._stream = stream
        self._peer = peer
        self.long_frames = long_frames
        """Room for the frames that are read from now on."""
        self._frames = 0

    async def read(self, limit: int) -> Result[Envelope, WireError]:
        """Read one frame of at most ``limit`` bytes.

        Raises ``StreamClosedError`` when the connection ends.
        """
        self._frames += 1
        if self._frames % MAX_FRAMES_PER_TURN == 0:
            # Frames that have arrived are read without suspending the task.
            await asyncio.sleep(0)
        return await self._read_frame(limit)

    async def _read_frame(self, limit: int) -> Result[Envelope, WireError]:
        prefix = await self._stream.read_bytes(LENGTH_PREFIX.size)
        length = LENGTH_PREFIX.unpack(prefix)[0]
        if length > limit:
            return self._failure(
                f'the frame has {length} bytes, the limit is {limit}',
                'check that the peer is a turmericmast process',
            )
        with self.long_frames.receive(length) as has_room:
            if not has_room:
                return self._failure(
                    f'no room for {length} bytes beside other long frames',
                    'the peer sends it again; check which peer sends most',
                )
            return await self._read_envelope(length)

    async def _read_envelope(self, length: int) -> Result[Envelope, WireError]:
        try:
            pieces = await _read_in_time(self._stream, length)
        except TimeoutError:
            return self._failure(
                f'the frame was not complete after {FRAME_TIMEOUT:g} s',
                'check the network between this host and the peer',
            )
        return decode_envelope_pieces(pieces)

    def _failure(self, message: str, hint: str) -> Result[Envelope, WireError]:
        return Failure(
            WireError(message, step='read frame', peer=self._peer, hint=hint)
        )


async def _read_in_time(stream: IOStream, length: int) -> Pieces:
    pieces: Pieces = collections.deque()
    missing = length
    async with asyncio.timeout(FRAME_TIMEOUT):
        while missing > PIECE_BYTES:
            pieces.append(await stream.read_bytes(PIECE_BYTES))
            missing -= PIECE_BYTES
            # Bytes that have arrived are read without suspending the task.
            await asyncio.sleep(0)
        pieces.append(await stream.read_bytes(missing))
    return pieces


def set_socket_options(stream: IOStream) -> None:
    """Send without delay, and detect a peer that vanished without a FIN."""
    stream.set_nodelay(True)
    stream.socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        stream.socket.setsockopt(socket.IPPROTO_TCP, option, number)
