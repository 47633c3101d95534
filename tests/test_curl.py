"""The curl client after it was closed."""

import unittest

from turmericmast.call.call import Loss
from turmericmast.web.curl import Curl
from turmericmast.web.transfer import Head, Sink, Transfer, TransferRequest

UNUSED_URL = 'http://127.0.0.1:1/'


class _IgnoringSink(Sink):
    """Accepts an answer; the test never receives one."""

    def on_head(self, head: Head) -> bool:
        """Accept the head."""
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Accept the chunk."""
        return True


class ClosedClientTest(unittest.IsolatedAsyncioTestCase):
    """A transfer that starts while the process stops counts as not sent.

    The client closes the handles that it keeps for reuse, so a transfer that
    came later would use a closed one.
    """

    async def test_transfer_after_close(self) -> None:
        with Curl() as curl:
            # The client keeps the handle of this transfer for the next one.
            self.assertIs(await _transfer(curl), Loss.never_sent)
        self.assertIs(await _transfer(curl), Loss.never_sent)


async def _transfer(curl: Curl) -> Loss | None:
    request = TransferRequest(UNUSED_URL, 'GET', (), 1.0, None, 0)
    return await Transfer(curl, request, _IgnoringSink(), lambda: True).run()
