"""Connections that end while a request is sent or answered.

Pattern: a target closes or resets a kept connection after it has read a
request. curl would send the request once more on a new connection.
"""

import itertools
import unittest

from parameterized import parameterized

from tests.scripted_target import Reply, ScriptedTarget
from turmericmast.call.call import Loss
from turmericmast.web.body import RequestBody
from turmericmast.web.curl import CurlClient
from turmericmast.web.transfer import (
    Progress,
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

LOSS_BY_REPLY = {
    Reply.close: Loss.connection_lost,
    Reply.reset: Loss.connection_lost,
    Reply.reset_after_interim: Loss.connection_lost,
    Reply.reset_in_head: Loss.connection_lost,
    Reply.cut: Loss.cut_short,
}
BODY_BY_NAME = {'no_body': b'', 'short_body': b'x', 'long_body': b'x' * 60_000}
"""Bodies that are buffered, so that they could be sent again."""
CASES = [
    (
        f'{method}_{reply.value}_{body}_{"kept" if is_kept else "new"}',
        method,
        reply,
        BODY_BY_NAME[body],
        is_kept,
    )
    for method, reply, body, is_kept in itertools.product(
        ('GET', 'POST'), LOSS_BY_REPLY, BODY_BY_NAME, (True, False)
    )
]


class SingleSendingTest(unittest.IsolatedAsyncioTestCase):
    """A transfer sends its request once, and tells that it may have run."""

    # Guards against a request that reaches a target twice under one id, or
    # that counts as not sent, since curl sent it again by itself.
    @parameterized.expand(CASES)
    async def test_connection_ends(
        self, _name: str, method: str, reply: Reply, body: bytes, is_kept: bool
    ) -> None:
        replies = (Reply.answer,) * is_kept + (reply, Reply.answer)
        async with ScriptedTarget('1', *replies) as target:
            with CurlClient() as curl:
                if is_kept:
                    first = await _transfer(curl, target, 'GET', b'', 'r-0')
                    self.assertIsNone(await first.run())
                transfer = await _transfer(curl, target, method, body, 'r-1')
                loss = await transfer.run()
        self.assertIs(loss, LOSS_BY_REPLY[reply])
        self.assertEqual(target.request_ids.count('r-1'), 1)
        self.assertIn(transfer.progress, {Progress.sending, Progress.head})
        self.assertEqual(len(set(target.connections)), 1)


class _Sink(ResponseSink):
    """Accepts any response."""

    def on_head(self, head: ResponseHead) -> bool:
        """Accept the head."""
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Accept the chunk."""
        return True


async def _transfer(
    curl: CurlClient,
    target: ScriptedTarget,
    method: str,
    body: bytes,
    request_id: str,
) -> Transfer:
    buffered = RequestBody()
    await buffered.push(body)
    buffered.mark_complete()
    has_body = bool(body) or method == 'POST'
    request = TransferRequest(
        f'http://{target.address}/stock/1',
        method,
        (f'X-Request-Id: {request_id}'.encode(), b'Expect:'),
        2,
        buffered.open_reader(_do_nothing) if has_body else None,
        len(body),
    )
    return Transfer(curl, request, _Sink(), lambda: True)


def _do_nothing() -> None:
    """Do nothing: the whole body is buffered."""
