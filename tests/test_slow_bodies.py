"""Request bodies that callers send slowly.

Pattern: an upload over a slow link takes longer than any time-out of the
server, but less than its route and its caller allow.
"""

import asyncio
import contextlib
import time
import unittest.mock
from dataclasses import dataclass
from typing import Any

from parameterized import parameterized

from bench.layout import free_address
from bench.machines import Upstream
from tests.platform_samples import changed, encoded
from tests.running_edge import ONE_SERVICE, RunningEdge, target_at
from turmericmast.cluster.records import ClusterFeed
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs import requestport
from turmericmast.web.edgefrontend import EdgeFrontend

SERVER_TIMEOUT = 0.4
"""Seconds that stand in for the 60 s of the server."""
GRACE = 0.3
"""Seconds that stand in for the grace after a deadline."""
SHORT, LONG = 1000, 200_000
"""Bytes of a body that is buffered, and of one that is streamed."""


@dataclass(frozen=True)
class Upload:
    """A body, the time that it takes, and the response of the edge."""

    name: str
    size: int
    seconds: float
    deadline: float
    status: int
    targets: int
    """Requests that a target has run."""
    sent: float = 1
    """Share of the body that is sent at all."""


UPLOADS = [
    Upload('short_in_time', SHORT, 0.9, 5, 200, 1),
    Upload('long_in_time', LONG, 0.9, 5, 200, 1),
    Upload('short_that_stalls', SHORT, 0.2, 0.8, 408, 0, 0.9),
    Upload('long_that_stalls', LONG, 0.2, 0.8, 504, 0, 0.9),
    Upload('short_too_slow', SHORT, 3, 0.8, 408, 0),
]


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """A body may take until the deadline of its request, and no longer.

    The caller is answered at the deadline, and its connection is closed soon.
    """

    # Guards against uploads on kept connections that are cut off without an
    # answer after a fixed time (review/4, LOST).
    @parameterized.expand([(upload.name, upload) for upload in UPLOADS])
    async def test_upload(self, _name: str, upload: Upload) -> None:
        async with contextlib.AsyncExitStack() as stack:
            address, target_address = free_address(), free_address()
            upstream = stack.enter_context(
                Upstream('1', 'tirol-a', target_address)
            )
            await self._serve(stack, address, target_address)
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            stack.callback(writer.close)
            await _get(reader, writer)
            began_at = time.monotonic()
            sending = asyncio.ensure_future(_upload(writer, upload))
            stack.callback(sending.cancel)
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
            answered_after = time.monotonic() - began_at
            self.assertIn(f' {upload.status} '.encode(), head)
            self.assertEqual(upstream.paths.count('/stock/2'), upload.targets)
            if upload.status != 200:
                self.assertGreaterEqual(answered_after, upload.deadline - 0.05)
                self.assertLess(answered_after, upload.deadline + 0.5)
                await asyncio.wait_for(reader.read(), GRACE + 2)

    async def _serve(
        self, stack: Any, address: str, target_address: str
    ) -> None:
        running = stack.enter_context(RunningEdge('own'))
        await running.open(targets=[target_at('1', target_address)])
        document = changed(ONE_SERVICE, 'routes.look.timeout_s', 5)
        running.edge.apply(
            ClusterFeed(2, False, None, (), (), (), (), ()),
            DocumentFormat().parse(encoded(document)).unwrap(),
        )
        for name, seconds in (
            ('programs.requestport.BODY_TIMEOUT', SERVER_TIMEOUT),
            ('web.edgefrontend.BODY_GRACE', GRACE),
        ):
            stack.enter_context(
                unittest.mock.patch(
                    f'turmericmast.{name}', seconds, create=True
                )
            )
        port = stack.enter_context(
            requestport.RequestPort(
                unittest.mock.Mock(), address, EdgeFrontend(running.context)
            )
        )
        port.serve()


async def _get(reader: Any, writer: Any) -> None:
    """Send a short request, so that the connection is a kept one."""
    writer.write(
        b'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\n'
        b'X-Deadline-Ms: 2000\r\n\r\n'
    )
    await reader.readuntil(b'\r\n\r\n')
    await reader.readexactly(len(b'1 /stock/1'))


async def _upload(writer: Any, upload: Upload) -> None:
    deadline_ms = int(upload.deadline * 1000)
    writer.write(
        b'POST /stock/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n'
        b'X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n'
        % (deadline_ms, upload.size)
    )
    pieces = 20
    for _ in range(int(pieces * upload.sent)):
        writer.write(b'x' * (upload.size // pieces))
        await writer.drain()
        await asyncio.sleep(upload.seconds / pieces)
