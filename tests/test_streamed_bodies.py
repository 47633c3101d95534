"""Request bodies that are sent on before they have arrived in full.

Pattern: a change lowers the largest size of a body while one is on its way.
"""

import asyncio
import contextlib
import unittest

from bench.layout import free_address
from bench.machines import Upstream
from tests.platform_samples import changed, encoded
from tests.running_edge import ONE_SERVICE, RunningEdge, target_at
from turmericmast.cluster.records import ClusterFeed
from turmericmast.platform.documents import DocumentFormat

LIMIT = 100_000
"""Largest body in bytes, above what is buffered."""
HEAD = (
    b'POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


class StreamedBodyTest(unittest.IsolatedAsyncioTestCase):
    """A refusal after the start of a request does not say that it did not run.

    Guards against REFUSED: the instance that had forwarded such a request
    answered 503, although a target may have run it.
    """

    async def test_body_over_the_limit(self) -> None:
        address = free_address()
        with contextlib.ExitStack() as stack:
            running = stack.enter_context(RunningEdge('own'))
            stack.enter_context(Upstream('1', 'tirol-a', address))
            await running.open(targets=[target_at('1', address)])
            document = changed(ONE_SERVICE, 'limits.max_body_bytes', LIMIT)
            running.edge.apply(
                ClusterFeed(2, False, None, (), (), (), (), ()),
                DocumentFormat().parse(encoded(document)).unwrap(),
            )
            host, _, own_port = running.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(own_port))
            stack.callback(writer.close)
            writer.write(HEAD + _chunk(LIMIT - 1))
            await asyncio.sleep(0.3)
            writer.write(_chunk(2))
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        self.assertIn(b' 413 ', head)
        self.assertIn(b'Turmericmast-Ran: unknown', head)


def _chunk(size: int) -> bytes:
    return f'{size:x}\r\n'.encode() + b'x' * size + b'\r\n'
