"""Frames on a TCP stream: a length, then an envelope of that many bytes."""

import asyncio
import socket
import struct
from typing import final

from returns.result import Failure, Result
from tornado.iostream import IOStream

from turmericmast.exceptions import WireError
from turmericmast.wire.codec import Envelope, decode_envelope, encode_envelope

LENGTH_PREFIX = struct.Struct('>I')
"""Length of the envelope in bytes, an unsigned 32-bit big-endian integer."""
MAX_FRAME_BYTES = 268_435_456
"""Bytes of the longest frame; only snapshots come near to it."""
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
class FrameReader:
    """Reads the frames of one connection, and leaves the loop to others."""

    def __init__(self, stream: IOStream, peer: str) -> None:
        """Read from ``stream``, which is connected to ``peer``."""
        self._stream = stream
        self._peer = peer
        self._frames = 0

    async def read(self, limit: int) -> Result[Envelope, WireError]:
        """Read one frame of at most ``limit`` bytes.

        Raises ``StreamClosedError`` when the connection ends.
        """
        self._frames += 1
        if self._frames % MAX_FRAMES_PER_TURN == 0:
            # Frames that have arrived are read without suspending the task.
            await asyncio.sleep(0)
        return await read_frame(self._stream, self._peer, limit)


async def read_frame(
    stream: IOStream,
    peer: str,
    limit: int,
) -> Result[Envelope, WireError]:
    """Read one frame of at most ``limit`` bytes.

    Raises ``StreamClosedError`` when the connection ends.
    """
    length = LENGTH_PREFIX.unpack(await stream.read_bytes(LENGTH_PREFIX.size))[
        0
    ]
    if length > limit:
        return Failure(
            WireError(
                f'the frame has {length} bytes, the limit is {limit}',
                step='read frame',
                peer=peer,
                hint='check that the peer is a turmericmast process',
            ),
        )
    try:
        octets = await _read_in_time(stream, length)
    except TimeoutError:
        return Failure(
            WireError(
                f'the frame was not complete after {FRAME_TIMEOUT:g} s',
                step='read frame',
                peer=peer,
                hint='check the network between this host and the peer',
            ),
        )
    return decode_envelope(octets)


async def _read_in_time(stream: IOStream, length: int) -> bytes:
    async with asyncio.timeout(FRAME_TIMEOUT):
        return await stream.read_bytes(length)


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
