"""Frames on a stream: a length, then that many octets."""

import asyncio
import socket
import struct

from returns.result import Failure, Result
from tornado.iostream import IOStream

from turmericmast.exceptions import WireError
from turmericmast.wire.codec import Envelope, decode_envelope, encode_envelope

LENGTH_PREFIX = struct.Struct('>I')
MAX_FRAME_BYTES = 268_435_456
"""Room for a snapshot; other messages are far smaller."""
MAX_FIRST_FRAME_BYTES = 4_194_304
"""Limit for a frame of a peer that has not sent a good one yet."""
FRAME_TIMEOUT = 10.0
"""Seconds in which a frame that has begun must be complete."""
USER_TIMEOUT_MS = 1500
"""Time without an acknowledgement of the peer's host that ends a connection.

Short enough to use a new connection within the contact window of 3 s."""
KEEPALIVE_SECONDS = 1
"""Seconds without traffic, and between probes, that find a dead connection."""
KEEPALIVE_PROBES = 2


def pack_frame(envelope: Envelope) -> bytes:
    """Return an envelope as a frame."""
    octets = encode_envelope(envelope)
    return LENGTH_PREFIX.pack(len(octets)) + octets


async def read_frame(
    stream: IOStream,
    peer: str,
    limit: int,
) -> Result[Envelope, WireError]:
    """Read one frame; raises ``StreamClosedError`` when the peer is gone."""
    length = LENGTH_PREFIX.unpack(await stream.read_bytes(LENGTH_PREFIX.size))[
        0
    ]
    if length > limit:
        return Failure(
            WireError(
                f'a frame of {length} octets, more than {limit}',
                step='read frame',
                peer=peer,
                hint='check that the peer is a process of this system',
            ),
        )
    try:
        octets = await _read_in_time(stream, length)
    except TimeoutError:
        return Failure(
            WireError(
                f'a frame was not complete after {FRAME_TIMEOUT:g} s',
                step='read frame',
                peer=peer,
                hint='look at the link to the peer',
            ),
        )
    return decode_envelope(octets)


async def _read_in_time(stream: IOStream, length: int) -> bytes:
    async with asyncio.timeout(FRAME_TIMEOUT):
        return await stream.read_bytes(length)


def tune(stream: IOStream) -> None:
    """Send at once, and notice a link that is cut silently."""
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
