"""Datagrams of a process that is stopping."""

import asyncio
import unittest

from tornado.testing import bind_unused_port

from turmericmast.balance.news import LoadNews
from turmericmast.ids import DomainId
from turmericmast.metrics import Metrics
from turmericmast.wire.datagrams import DatagramEndpoint

NEWS = LoadNews(DomainId('tirol-a'), hand_on=False)


class ClosedEndpointTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint that is closed sends nothing and raises nothing."""

    # Guards against a health check that ends after the socket was closed, in
    # a planned stop, and raises an error that nobody retrieves.
    async def test_send_after_close(self) -> None:
        sock, port = bind_unused_port()
        sock.close()
        endpoint = DatagramEndpoint(Metrics(), lambda message: None)
        with endpoint:
            await endpoint.open(f'127.0.0.1:{port}')
        await _let_transport_close()
        endpoint.send(NEWS, [f'127.0.0.1:{port}'])


async def _let_transport_close() -> None:
    """Wait for the callback that releases the socket."""
    await asyncio.sleep(0)
    await asyncio.sleep(0)
