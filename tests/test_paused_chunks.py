"""Bodies in chunks whose receiver pauses, with octets that come again."""

import asyncio
import itertools
import random
import unittest

from parameterized import parameterized

from tests.joined_heads import JoiningTarget, head
from turmericmast.call.call import Loss
from turmericmast.web.curl import CurlClient
from turmericmast.web.responsehead import ResponseHead
from turmericmast.web.transfer import ResponseSink, Transfer, TransferRequest

MAX_BODY = 300_000
CHUNK_SIZES = (1, 7, 100, 5000, 40_000)
SEGMENT_PAUSE = 0.002
"""Seconds between two segments of a response."""
LONGEST_PAUSE = 0.01
"""Seconds until a paused transfer goes on, at most."""


class PausingSink(ResponseSink):
    """Refuses each second piece on average, to get it again."""

    def __init__(self, drawn: random.Random) -> None:
        self.body = b''
        self.transfer: Transfer | None = None
        self._drawn = drawn

    def on_head(self, head: ResponseHead) -> bool:
        """Accept any head."""
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Add a piece, or refuse it for a while."""
        if self.transfer and self._drawn.random() < 0.5:
            pause = self._drawn.uniform(0, LONGEST_PAUSE)
            loop = asyncio.get_running_loop()
            loop.call_later(pause, self.transfer.resume)
            return False
        self.body += chunk
        return True


class PausedChunksTest(unittest.IsolatedAsyncioTestCase):
    """A body is the same, however often its receiver pauses."""

    # Guards against chunks that are lost or doubled where curl passes the same
    # octets on again, and against a connection that is lost behind them.
    @parameterized.expand([(f'seed_{seed}', seed) for seed in range(12)])
    async def test_body(self, _name: str, seed: int) -> None:
        drawn = random.Random(seed)
        body = drawn.randbytes(drawn.randrange(MAX_BODY))
        target = JoiningTarget(
            [_segments(drawn, _in_chunks(drawn, body))] * 2, SEGMENT_PAUSE
        )
        async with target.run() as address:
            with CurlClient() as curl:
                received = [
                    await _receive(curl, f'http://{address}/{number}', drawn)
                    for number in range(2)
                ]
        self.assertEqual(received, [(None, body)] * 2)
        self.assertEqual(target.connections, 1)


async def _receive(
    curl: CurlClient, url: str, drawn: random.Random
) -> tuple[Loss | None, bytes]:
    sink = PausingSink(drawn)
    request = TransferRequest(url, 'GET', (), 30, None, 0)
    sink.transfer = Transfer(curl, request, sink, lambda: True)
    return await sink.transfer.run(), sink.body


def _in_chunks(drawn: random.Random, body: bytes) -> bytes:
    chunks = []
    while body:
        size = drawn.choice(CHUNK_SIZES)
        chunks.append(b'%x\r\n%b\r\n' % (len(body[:size]), body[:size]))
        body = body[size:]
    own = head(b'200 OK', b'Transfer-Encoding: chunked')
    return own + b''.join(chunks) + b'0\r\nX-Odd: a\r\n\r\n'


def _segments(drawn: random.Random, octets: bytes) -> list[bytes]:
    """Return the octets in one to six pieces."""
    inner = sorted(drawn.sample(range(len(octets)), drawn.randrange(6)))
    cuts = itertools.pairwise([0, *inner, len(octets)])
    return [octets[start:end] for start, end in cuts]
