"""The curl client after it was closed."""

import unittest

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
            self.assertIs(await _transfer(curl), Loss.never_sent)
        self.assertIs(await _transfer(curl), Loss.never_sent)


async def _transfer(curl: CurlClient) -> Loss | None:
    request = TransferRequest(CLOSED_PORT_URL, 'GET', (), 1.0, None, 0)
    return await Transfer(curl, request, _IgnoringSink(), lambda: True).run()
