"""Entries whose target sends bytes without end."""

import asyncio
import contextlib
import dataclasses
import unittest.mock

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from tests.entry_harness import EntryHarness
from tests.test_endless_answers import MOST_BYTES, TIMEOUT, EndlessTarget
from tests.test_target import SPEC
from turmericmast.call.call import Loss
from turmericmast.ids import ServiceId, TargetId
from turmericmast.region.commands import PlaceTarget
from turmericmast.web.curl import CurlClient
from turmericmast.web.relay import Relay
from turmericmast.web.responselimits import OversizedPart
from turmericmast.web.transfer import ResponseHead, Transfer, TransferRequest

STREAM_MS = 300
"""Milliseconds for a response that goes on to its caller."""
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
SUCCESS = b'HTTP/1.1 200 OK\r\n'
OVERSIZED = [
    ('headers', SUCCESS, b'A: b\r\n', OversizedPart.head),
    ('interim_heads', b'', b'HTTP/1.1 102 P\r\n\r\n', OversizedPart.head),
    (
        'trailers',
        SUCCESS + CHUNKED + b'0\r\n',
        b'A: b\r\n',
        OversizedPart.trailers,
    ),
    ('extension', SUCCESS + CHUNKED + b'5;', b'a', OversizedPart.framing),
]
"""Bytes once, bytes again and again, and what is over its limit."""
STREAMED = [
    ('success', SUCCESS + CHUNKED, b'1\r\na\r\n', 200),
    ('without_length', SUCCESS + b'\r\n', b'a', 200),
    ('failure', b'HTTP/1.1 500 E\r\n' + CHUNKED, b'1\r\na\r\n', 500),
]
"""Bytes once, bytes again and again, and the status that the caller gets."""

REFUSED = b'HTTP/1.1 503 B\r\nTurmericmast-Ran: no\r\n'
REFUSALS = [
    ('in_chunks', REFUSED + CHUNKED, b'1\r\na\r\n'),
    ('without_length', REFUSED + b'\r\n', b'a'),
    ('with_length', REFUSED + b'Content-Length: 99999999999\r\n\r\n', b'a'),
]
MOST_CALLS = 64
"""Calls of which one at least goes to either of two targets."""


class EndlessEntryTest(unittest.IsolatedAsyncioTestCase):
    """A call at an entry ends, and the connection to its target is closed."""

    # Guards against an entry that keeps, or waits for, what a target sends
    # beside its body, until the deadline of the call.
    @parameterized.expand(OVERSIZED)
    async def test_part_over_its_limit(
        self, _name: str, once: bytes, again: bytes, part: OversizedPart
    ) -> None:
        target = EndlessTarget(once, again)
        async with EntryHarness(targets=0) as harness:
            # The test fails long before this timeout.
            answer = await _call(harness, target, int(TIMEOUT * 1000))
        self.assertTrue(answer.startswith(b'HTTP/1.1 502'), answer[:80])
        self.assertEqual(
            harness.metrics.count_by_name[
                'responses_oversized', (('part', part.value),)
            ],
            1,
        )
        self.assertLess(target.sent_bytes, MOST_BYTES)

    # Guards against a body that outlives the deadline of its call, and against
    # a response that its caller takes for complete.
    @parameterized.expand(STREAMED)
    async def test_body_ends_at_the_deadline(
        self, _name: str, once: bytes, again: bytes, status: int
    ) -> None:
        target = EndlessTarget(once, again)
        async with EntryHarness(targets=0) as harness:
            answer = await _call(harness, target, STREAM_MS)
        self.assertTrue(answer.startswith(b'HTTP/1.1 %d' % status))
        self.assertFalse(answer.endswith(b'0\r\n\r\n'))
        self.assertEqual(
            harness.metrics.count_by_name[
                'calls', (('outcome', 'broken_off'),)
            ],
            1,
        )
        self.assertFalse(harness.context.running)

    # Guards against a refusal that is streamed to the caller, who could have
    # got the answer of another target, or at least a whole refusal.
    @parameterized.expand(REFUSALS)
    async def test_long_refusal(
        self, _name: str, once: bytes, again: bytes
    ) -> None:
        target = EndlessTarget(once, again)
        async with EntryHarness(targets=0) as harness:
            answer = await _call(harness, target, int(TIMEOUT * 1000))
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer[:80])
        self.assertIn(b'Turmericmast-Ran: no', answer)
        self.assertTrue(answer.endswith(b'}\n'), answer[-80:])
        retries = harness.metrics.count_by_name['retries', (('loss', 'shed'),)]
        self.assertGreater(retries, 0)
        self.assertLess(target.sent_bytes, (1 + retries) * MOST_BYTES)

    @parameterized.expand(REFUSALS)
    async def test_another_target_answers_after_a_long_refusal(
        self, _name: str, once: bytes, again: bytes
    ) -> None:
        target = EndlessTarget(once, again)
        statuses = set()
        async with EntryHarness(targets=1) as harness, target.run() as address:
            _place(harness, address)
            for _ in range(MOST_CALLS):
                answer = await _answer(harness, int(TIMEOUT * 1000))
                statuses.add(answer.partition(b'\r\n')[0])
                if target.is_closed.is_set():
                    break
        self.assertTrue(target.is_closed.is_set())
        self.assertEqual(statuses, {b'HTTP/1.1 201 Reason'})


LENGTH = 1_000_000
FIRST = ResponseHead(
    200, 'OK', HTTPHeaders({'ETag': '"v1"', 'Content-Length': str(LENGTH)})
)
"""Head of a response that is interrupted after its first part."""
CONTINUATIONS = [
    ('other_status', SUCCESS + CHUNKED, b'1\r\na\r\n'),
    ('failure', b'HTTP/1.1 500 E\r\n\r\n', b'a'),
    (
        'other_tag',
        b'HTTP/1.1 206 P\r\nETag: "v2"\r\n' + CHUNKED,
        b'1\r\na\r\n',
    ),
]


class EndlessContinuationTest(unittest.IsolatedAsyncioTestCase):
    """The rest of a download is asked of a target that sends something else."""

    # Guards against a body that is read until the deadline, though its head
    # has shown that it is of no use, while another target has the rest.
    @parameterized.expand(CONTINUATIONS)
    async def test_continuation(
        self, _name: str, once: bytes, again: bytes
    ) -> None:
        relay = Relay(unittest.mock.Mock(), 'GET')
        relay.on_head(FIRST)
        relay.on_chunk(b'a' * (LENGTH // 2))
        self.assertTrue(relay.range_headers())
        target = EndlessTarget(once, again)
        async with target.run() as address:
            with CurlClient() as curl:
                request = TransferRequest(
                    f'http://{address}/', 'GET', (), TIMEOUT, None, 0
                )
                transfer = Transfer(curl, request, relay, lambda: True)
                loss = await asyncio.wait_for(transfer.run(), TIMEOUT / 2)
                await asyncio.wait_for(target.is_closed.wait(), 1)
        self.assertIs(loss, Loss.cut_short)
        self.assertEqual(relay.sent_bytes, LENGTH // 2)
        self.assertLess(target.sent_bytes, MOST_BYTES)


async def _call(
    harness: EntryHarness, target: EndlessTarget, timeout_ms: int
) -> bytes:
    """Return what a caller gets, once the target's connection is closed."""
    async with target.run() as address:
        _place(harness, address)
        answer = await _answer(harness, timeout_ms)
        await asyncio.wait_for(target.is_closed.wait(), 1)
    return answer


def _place(harness: EntryHarness, address: str) -> None:
    spec = dataclasses.replace(
        SPEC,
        target=TargetId('endless'),
        address=address,
        cold_slots=4,
        service=ServiceId('stock'),
    )
    harness.group.apply(PlaceTarget(spec))
    harness.renew()


async def _answer(harness: EntryHarness, timeout_ms: int) -> bytes:
    host, _, port = harness.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(writer):
        writer.write(
            b'POST /stock/x HTTP/1.1\r\nHost: shop.example\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n'
            b'Turmericmast-Timeout-Ms: %d\r\n\r\n' % timeout_ms
        )
        return await asyncio.wait_for(reader.read(-1), TIMEOUT / 2)
