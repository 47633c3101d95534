"""Transfers of the curl client: reused handles, and a closed client."""

import asyncio
import unittest
from collections.abc import Callable

from parameterized import parameterized

from bench.layout import free_address
from bench.machines import Upstream
from turmericmast.call.call import Loss
from turmericmast.web.curl import CurlClient
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

CLOSED_PORT_URL = 'http://127.0.0.1:1/'


class _IgnoringSink(ResponseSink):
    """Accepts any response; these tests get none."""

    def on_head(self, head: ResponseHead) -> bool:
        """Accept the head."""
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Accept the chunk."""
        return True


class ClosedClientTest(unittest.IsolatedAsyncioTestCase):
    """A transfer that is started on a closed client fails as never sent.

    While the process stops, it ends like one whose connection was refused.
    """

    async def test_transfer_on_a_closed_client(self) -> None:
        with CurlClient() as curl:
            # The client keeps the handle of this transfer for the next one.
            self.assertIs(await _transfer(curl).run(), Loss.never_sent)
        self.assertIs(await _transfer(curl).run(), Loss.never_sent)


class EndedTransferTest(unittest.IsolatedAsyncioTestCase):
    """A transfer that has ended leaves its handle to the next one.

    Guards against requests without an answer: the caller of a request whose
    first attempt had failed left, and the transfer of another request, which
    had got the handle of that attempt, was cancelled and never ended.
    """

    @parameterized.expand(
        [('cancel', Transfer.cancel), ('resume', Transfer.resume)]
    )
    async def test_transfer_with_the_same_handle_ends(
        self, _name: str, act: Callable[[Transfer], None]
    ) -> None:
        address = free_address()
        with CurlClient() as curl, Upstream('1', 'tirol-a', address):
            ended = _transfer(curl)
            await ended.run()
            following = _transfer(curl, f'http://{address}/')
            self.assertIs(following.handle, ended.handle)
            running = asyncio.ensure_future(following.run())
            await asyncio.sleep(0)
            act(ended)
            self.assertIsNone(await asyncio.wait_for(running, 2))


def _transfer(curl: CurlClient, url: str = CLOSED_PORT_URL) -> Transfer:
    request = TransferRequest(url, 'GET', (), 1.0, None, 0)
    return Transfer(curl, request, _IgnoringSink(), lambda: True)
