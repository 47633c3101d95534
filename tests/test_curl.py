"""The curl client at its end."""

import unittest

from turmericmast.call.call import Loss
from turmericmast.web.curl import CurlClient
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

NOWHERE = 'http://127.0.0.1:1/'


class _Nothing(ResponseSink):
    """Takes an answer that never comes."""

    def on_head(self, head: ResponseHead) -> bool:
        """Take it."""
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Take it."""
        return True


class ClosedClientTest(unittest.IsolatedAsyncioTestCase):
    """What is begun while the process stops ends like a refusal."""

    async def test_transfer_after_the_end(self) -> None:
        with CurlClient() as curl:
            # Its handle is kept for the next transfer.
            self.assertIs(await _transfer(curl), Loss.never_sent)
        self.assertIs(await _transfer(curl), Loss.never_sent)


async def _transfer(curl: CurlClient) -> Loss | None:
    request = TransferRequest(NOWHERE, 'GET', (), 1.0, None, 0)
    return await Transfer(curl, request, _Nothing(), lambda: True).run()
