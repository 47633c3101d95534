"""Large bodies through an instance whose link has a pace.

Pattern: a body fills the link of its instance, and everything else waits.
"""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from bench.layout import free_address
from bench.machines import Upstream
from tests.joined_heads import JoiningTarget, head
from tests.running_edge import RunningEdge, target_at, without_probes
from turmericmast.balance.linkpace import BODY_SHARE, LinkPace
from turmericmast.balance.load import LoadReport
from turmericmast.ids import Seconds

RATE = 1_000_000
"""Octets a second of the link."""
SIZE = 400_000
LEAST = 0.7 * SIZE / (RATE * BODY_SHARE)
"""Seconds that a body takes at least; its first 64 KiB have no pace."""
OWN = (b'X-Request-Id: r', b'X-Response-Signature: 1')
LARGE = head(b'200 OK', *OWN, b'Content-Length: %d' % SIZE) + b'x' * SIZE
SMALL = head(b'200 OK', *OWN, b'Content-Length: 4') + b'good'


class PacedBodyTest(unittest.IsolatedAsyncioTestCase):
    """A large body takes the time that its pace gives it."""

    # Guards against downloads that fill the link both ways.
    async def test_download(self) -> None:
        async with _edge(LARGE) as own:
            began_at = time.monotonic()
            received = await _request(own, 'GET')
        self.assertEqual((received.code, len(received.body)), (200, SIZE))
        self.assertGreater(time.monotonic() - began_at, LEAST)

    # Guards against uploads that do, and against parts that are lost.
    async def test_upload(self) -> None:
        address = free_address()
        with Upstream('1', 'tirol-a', address):
            async with _edge_with(address, 'orders') as own:
                began_at = time.monotonic()
                received = await _request(own, 'POST')
        self.assertEqual(received.code, 200)
        self.assertGreater(time.monotonic() - began_at, LEAST)

    # Guards against small responses that wait for large ones.
    async def test_small_response(self) -> None:
        async with _edge(LARGE, SMALL) as own:
            large = asyncio.ensure_future(_request(own, 'GET'))
            await asyncio.sleep(LEAST / 4)
            small = await _request(own, 'GET')
            self.assertFalse(large.done())
            received = await large
        self.assertEqual((small.code, small.body), (200, b'good'))
        self.assertEqual(len(received.body), SIZE)


@contextlib.asynccontextmanager
async def _edge(*responses: bytes) -> AsyncIterator[RunningEdge]:
    """Run an edge whose target answers with one after the other."""
    asyncio.get_running_loop().set_debug(enabled=False)
    target = JoiningTarget(
        [(response,) for response in responses], in_turn=True
    )
    async with (
        target.run() as address,
        _edge_with(address, 'stock') as own,
    ):
        yield own


@contextlib.asynccontextmanager
async def _edge_with(address: str, service: str) -> AsyncIterator[RunningEdge]:
    with RunningEdge('own') as own, without_probes():
        own.context.curl.link_pace = LinkPace(RATE)
        await own.open(targets=[target_at('1', address, service)])
        for view in own.edge.views():
            view.verify(Seconds(0), own.clock.now())
            view.update_load(LoadReport(0, 0, 4), own.clock.now())
        yield own


async def _request(own: RunningEdge, method: str) -> HTTPResponse:
    host, path = {
        'GET': ('shop.example', '/stock/1'),
        'POST': ('pay.example', '/orders/1'),
    }[method]
    request = HTTPRequest(
        f'http://{own.address}{path}',
        method=method,
        body=b'x' * SIZE if method == 'POST' else None,
        headers={'Host': host, 'X-Request-Id': 'r'},
        request_timeout=10,
    )
    return await AsyncHTTPClient().fetch(request, raise_error=False)
