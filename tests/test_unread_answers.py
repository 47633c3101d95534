"""Callers who read nothing while a response without end arrives."""

import asyncio
import unittest.mock

from parameterized import parameterized

from tests.test_endless_answers import (
    BUFFER_BYTES,
    CHUNKED,
    MOST_BYTES,
    SIGNED,
    TIMEOUT,
    EndlessTarget,
)
from turmericmast.call.call import Loss
from turmericmast.ids import AttemptId
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.callecho import OwnResponse
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import ResponseSink, Transfer, TransferRequest

STREAM_SECONDS = 0.3
"""Seconds for one transfer, whose connection stays paused."""
MOST_WRITTEN_BYTES = MAX_BUFFERED_BYTES + BUFFER_BYTES
"""What was buffered before the response is streamed, and the part that
exceeds the buffer."""
BODIES = [
    ('without_length', b'\r\n', b'a'),
    ('with_length', b'Content-Length: 99999999999\r\n\r\n', b'a'),
    ('in_chunks', CHUNKED, b'4000\r\n' + b'a' * 0x4000 + b'\r\n'),
    ('in_tiny_chunks', CHUNKED, b'1\r\na\r\n'),
]
HEADS = [
    ('success', SIGNED, True),
    ('rejection', b'HTTP/1.1 404 N\r\n', True),
    ('failure', b'HTTP/1.1 500 E\r\n', False),
]
"""Name, head, and whether an edge passes on such a body without end."""


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A caller who reads nothing gets one write, and the transfer waits."""

    # Guards against an instance that keeps for a slow caller all that a fast
    # target sends.
    @parameterized.expand(
        [
            (f'{kind}_{head_name}_{body_name}', kind, head + body, again)
            for head_name, head, is_passed_on in HEADS
            for body_name, body, again in BODIES
            for kind in ('edge', 'entry')
            if is_passed_on or kind == 'entry'
        ]
    )
    async def test_transfer_waits_for_the_caller(
        self, _name: str, kind: str, once: bytes, again: bytes
    ) -> None:
        connection = unittest.mock.Mock()
        connection.write.return_value = asyncio.Future()
        relay = Relay(connection, 'GET')
        lines = once.replace(b'X-Request-Id: r\r\n', b'').split(b'\r\n', 1)
        target = EndlessTarget(b'\r\nX-Request-Id: r\r\n'.join(lines), again)
        async with target.run() as address:
            with CurlClient() as curl:
                request = TransferRequest(
                    f'http://{address}/', 'GET', (), STREAM_SECONDS, None, 0
                )
                transfer = Transfer(
                    curl, request, _sink(kind, relay), lambda: True
                )
                relay.resume = transfer.resume
                loss = await asyncio.wait_for(transfer.run(), TIMEOUT)
                await asyncio.wait_for(target.is_closed.wait(), 1)
        self.assertIs(loss, Loss.timed_out)
        written = [len(each.args[0]) for each in connection.write.mock_calls]
        self.assertEqual(len(written), 1)
        self.assertGreater(written[0], MAX_BUFFERED_BYTES)
        self.assertLessEqual(written[0], MOST_WRITTEN_BYTES)
        self.assertFalse(relay.buffered_body())
        self.assertLess(target.sent_bytes, MOST_BYTES)


def _sink(kind: str, relay: Relay) -> ResponseSink:
    if kind == 'entry':
        return OwnResponse(relay, AttemptId('a'), must_echo=False)
    return EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
