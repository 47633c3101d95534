"""Downloads that break off at an entry and are resumed at another target."""

import contextlib
import unittest.mock

from parameterized import parameterized
from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import HTTPStreamClosedError

from tests.entry_harness import BIG, EntryHarness
from tests.test_front import call
from turmericmast.call.call import Loss
from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import ResponseHead

START = b'a' * (MAX_BUFFERED_BYTES + 1)
"""The part of a body that was streamed before the target broke off."""
LENGTH = len(START) + 4
RANGE = f'bytes {len(START)}-{LENGTH - 1}/{LENGTH}'
CONTINUATIONS = [
    ('the_rest', 206, '"v1"', RANGE, None),
    ('failure', 500, '"v1"', RANGE, Loss.cut_short),
    ('rejection', 503, '"v1"', RANGE, Loss.cut_short),
    ('not_found', 404, '"v1"', RANGE, Loss.cut_short),
    ('whole_body', 200, '"v1"', RANGE, Loss.cut_short),
    ('another_body', 206, '"v2"', RANGE, Loss.cut_short),
    ('no_tag', 206, None, RANGE, Loss.cut_short),
    ('no_range', 206, '"v1"', None, Loss.cut_short),
    ('another_part', 206, '"v1"', f'bytes 0-3/{LENGTH}', Loss.cut_short),
    ('another_length', 206, '"v1"', f'{RANGE}0', Loss.cut_short),
]
"""Status, tag and range of the head that follows, and the loss by it."""
FAILURES = [('failed', 'busy'), ('rejected', 'shed')]
"""How the second target answers the request for the rest."""
ENTRIES = 2
"""Entries of a test, each with a retry budget of its own."""
CALLS = 2
"""Calls at each entry: which target gets the first attempt varies.

They use up the budget; without it, a download is not resumed."""


class ContinuationTest(unittest.TestCase):
    """A download goes on only with a success that has the rest of it."""

    # Guards against a body that is mixed with that of another run, or of a
    # failure.
    @parameterized.expand(CONTINUATIONS)
    def test_head_that_follows(
        self,
        _name: str,
        status: int,
        tag: str | None,
        content_range: str | None,
        loss: Loss | None,
    ) -> None:
        relay = _interrupted_relay()
        self.assertIsNotNone(relay.range_headers())
        given = {'ETag': tag, 'Content-Range': content_range}
        headers = HTTPHeaders(
            {name: text for name, text in given.items() if text}
        )
        relay.on_head(ResponseHead(status, '', headers))
        relay.on_chunk(b'rest')
        self.assertIs(relay.loss, loss)
        self.assertEqual(relay.sent_bytes, len(START) if loss else LENGTH)
        # Only a failure leaves the rest to another target.
        can_go_on = loss is None or status >= 300
        self.assertEqual(relay.range_headers() is not None, can_go_on)


class ResumedDownloadTest(unittest.IsolatedAsyncioTestCase):
    """The rest of a download is requested until a target sends it."""

    # Guards against a target that runs the whole request again for a response
    # that nobody gets, and against a download that is given up meanwhile.
    @parameterized.expand(FAILURES)
    async def test_failure_between(self, _name: str, kind: str) -> None:
        for _ in range(ENTRIES):
            async with EntryHarness(targets=2) as harness:
                harness.targets[1].always = kind
                await self._check_calls(harness)

    async def _check_calls(self, harness: EntryHarness) -> None:
        first = harness.targets[0]
        for _ in range(CALLS):
            runs = len(first.runs)
            answer = await _download(harness)
            if len(first.runs) > runs:
                self.assertEqual(answer and answer.body, BIG)
        self.assertTrue(first.runs)


def _interrupted_relay() -> Relay:
    relay = Relay(unittest.mock.Mock(), 'GET')
    relay.on_head(
        ResponseHead(
            200,
            'OK',
            HTTPHeaders({'ETag': '"v1"', 'Content-Length': str(LENGTH)}),
        )
    )
    relay.on_chunk(START)
    return relay


async def _download(harness: EntryHarness) -> HTTPResponse | None:
    """Return the response, ``None`` if its connection was closed."""
    with contextlib.suppress(HTTPStreamClosedError):
        return await call(harness, '/stock/cut-big')
    return None
