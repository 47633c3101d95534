"""Uploads that are admitted or refused before their bodies are read.

Pattern: a body of some megabytes is received over a slow link, and then no
target can serve it in time.
"""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from parameterized import parameterized

from bench.layout import free_address
from bench.machines import Upstream
from tests.platform_samples import changed, encoded
from tests.running_edge import (
    ONE_SERVICE,
    RunningEdge,
    target_at,
    without_probes,
)
from turmericmast.balance.linkpace import LinkPace
from turmericmast.balance.load import LoadReport
from turmericmast.balance.uploadplan import UploadPlan
from turmericmast.cluster.records import ClusterFeed
from turmericmast.ids import Seconds
from turmericmast.platform.documents import DocumentFormat

LARGE = 5_000_000
SIZE = 300_000
RATE = 1_000_000
"""Octets a second of the link."""
BUSY, FULL, IDLE = (
    LoadReport(4, 4, 4),
    LoadReport(4, 0, 4),
    LoadReport(0, 0, 4),
)
LENGTH = f'Content-Length: {LARGE}'
CHUNKS = 'Transfer-Encoding: chunked'
REFUSED = [
    ('no_target', False, IDLE, LENGTH, 'No target in time'),
    ('no_target_chunks', False, IDLE, CHUNKS, 'No target in time'),
    ('no_free_slot', True, BUSY, LENGTH, 'No target in time'),
    ('link', True, IDLE, LENGTH, 'Link busy'),
]
"""Whether there is a target, its load, the framing, and the refusal."""


class UploadTest(unittest.IsolatedAsyncioTestCase):
    """An upload that cannot be served is refused at its head."""

    # Guards against bodies that are received in vain, and against refusals
    # that do not say when to come again, or that nothing ran.
    @parameterized.expand(REFUSED)
    async def test_refused(
        self,
        _name: str,
        has_target: bool,
        load: LoadReport,
        framing: str,
        title: str,
    ) -> None:
        address = free_address()
        with Upstream('1', 'tirol-a', address) as upstream:
            async with _edge(address if has_target else '') as own:
                if title == 'Link busy':
                    _limit(own)
                _report(own, load)
                # No octet of the body is sent.
                received = await _send(own, framing, b'')
            self.assertEqual(upstream.paths, [])
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertIn(b' 503 ', head)
        self.assertIn(b'Retry-After: ', head)
        self.assertIn(b'Turmericmast-Ran: no', head)
        self.assertIn(b'Connection: close', head)
        self.assertIn(title.encode(), body)
        refused = own.metrics.count_by_name[
            ('uploads', (('outcome', 'refused'),))
        ]
        self.assertEqual(refused, 1)
        self.assertEqual(own.context.uploads.time_until_room(Seconds(0)), 0)

    # Guards against uploads that are refused while a slot becomes free, and
    # against connections that close, or plans that stay, behind an upload.
    @parameterized.expand([('idle', IDLE, 0), ('slot_becomes_free', FULL, 0.2)])
    async def test_admitted(
        self, _name: str, load: LoadReport, free_after: float
    ) -> None:
        address = free_address()
        with Upstream('1', 'tirol-a', address):
            async with _edge(address) as own:
                _limit(own)
                _report(own, load)
                asyncio.get_running_loop().call_later(
                    free_after, _report, own, IDLE
                )
                received = await _send(
                    own, f'Content-Length: {SIZE}', b'x' * SIZE, count=2
                )
                room = own.context.uploads.time_until_room(own.clock.now())
        self.assertEqual(received.count(b'HTTP/1.1 200 '), 2)
        self.assertEqual(room, 0)


@contextlib.asynccontextmanager
async def _edge(address: str) -> AsyncIterator[RunningEdge]:
    document = changed(ONE_SERVICE, 'routes.order.kind', 'upload')
    document = changed(document, 'routes.order.timeout_s', 4)
    document = changed(document, 'routes.order.target_latency_s', 2)
    targets = [target_at('1', address, 'orders')] if address else []
    with RunningEdge('own') as own, without_probes():
        await own.open(targets=targets)
        own.edge.apply(
            ClusterFeed(2, False, None, (), (), (), (), ()),
            DocumentFormat().parse(encoded(document)).unwrap(),
        )
        yield own


def _limit(own: RunningEdge) -> None:
    own.context.curl.link_pace = LinkPace(RATE)
    own.context.uploads = UploadPlan(own.context.curl.link_pace)


def _report(own: RunningEdge, load: LoadReport) -> None:
    for view in own.edge.views():
        view.verify(Seconds(0), own.clock.now())
        view.update_load(load, own.clock.now())


async def _send(
    own: RunningEdge, framing: str, body: bytes, count: int = 1
) -> bytes:
    """Send an upload ``count`` times on one connection."""
    host, _, port = own.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        'POST /orders/1 HTTP/1.1\r\nHost: pay.example\r\nX-Request-Id: r\r\n'
        f'X-Deadline-Ms: 3000\r\n{framing}\r\n\r\n'
    )
    received = b''
    with contextlib.closing(writer):
        for number in range(1, count + 1):
            writer.write(head.encode() + body)
            received += await _receive(reader, number - received.count(b'HTTP'))
    return received


async def _receive(reader: asyncio.StreamReader, count: int) -> bytes:
    """Return ``count`` responses, or what comes before the end."""
    received, chunk = b'', b'-'
    async with asyncio.timeout(10):
        while chunk and received.count(b'HTTP/1.1 ') < count:
            chunk = await reader.read(65_536)
            received += chunk
    return received
