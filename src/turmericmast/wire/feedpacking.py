"""Compressed feeds of the cluster.

The names and addresses in a feed are alike, so that it shrinks to about a
fifth. One packed feed serves all edges that know the same index.
"""

import zlib

from returns.result import Failure, Result, Success

from turmericmast.cluster.records import ClusterFeed
from turmericmast.exceptions import WireError
from turmericmast.wire.codec import decode_received, encode

COMPRESSION_LEVEL = 1
"""Level of zlib; higher ones save little on feeds and take longer."""
MAX_FEED_BYTES = 67_108_864
"""Bytes of the largest feed that is unpacked."""


def pack_feed(feed: ClusterFeed) -> bytes:
    """Return a feed encoded and compressed."""
    return zlib.compress(encode(feed), COMPRESSION_LEVEL)


def unpack_feed(octets: bytes) -> Result[ClusterFeed, WireError]:
    """Return the feed that ``pack_feed`` packed."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(octets, MAX_FEED_BYTES)
    except zlib.error as error:
        return Failure(_error(str(error)))
    if not decompressor.eof:
        return Failure(
            _error(f'it is cut off or has over {MAX_FEED_BYTES} bytes')
        )
    return decode_received(encoded).bind(_checked)


def _checked(feed: object) -> Result[ClusterFeed, WireError]:
    if isinstance(feed, ClusterFeed):
        return Success(feed)
    return Failure(_error(f'it holds {type(feed).__name__}'))


def _error(cause: str) -> WireError:
    return WireError(
        f'the packed feed cannot be read: {cause}',
        step='unpack feed',
        hint='check that all processes run the same version',
    )
