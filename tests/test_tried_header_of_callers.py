"""Callers that send the header by which instances name targets.

Guards against callers that choose, or exclude, the targets of a request.
"""

import unittest

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from tests.running_edge import RunningEdge, target_at
from tests.scripted_target import ScriptedTarget
from turmericmast.web.triedheader import TRIED_HEADER

HEADERS = [
    ('one', {TRIED_HEADER: '1'}),
    ('lower_case', {TRIED_HEADER.lower(): '1'}),
    ('of_the_connection', {TRIED_HEADER: '1', 'Connection': TRIED_HEADER}),
    (
        'as_an_instance',
        {
            TRIED_HEADER: '1',
            'Turmericmast-Forward': '0123456789abcdef',
            'Turmericmast-Attempts': '1',
        },
    ),
]
"""Headers of a caller that names the only target."""


class TriedHeaderOfCallersTest(unittest.IsolatedAsyncioTestCase):
    """The header counts on the port for instances only."""

    @parameterized.expand(HEADERS)
    async def test_sent_to_a_target(
        self, _name: str, headers: dict[str, str]
    ) -> None:
        async with ScriptedTarget('1') as target:
            with RunningEdge('own') as own:
                await own.open(targets=[target_at('1', target.address)])
                answer = await _request(own.address, headers)
        self.assertEqual(answer.code, 200)
        self.assertNotIn(TRIED_HEADER.lower().encode(), _heads(target))

    @parameterized.expand(HEADERS)
    async def test_forwarded(self, _name: str, headers: dict[str, str]) -> None:
        async with ScriptedTarget('1') as target:
            with (
                RunningEdge('own') as own,
                RunningEdge('peer', 'tirol-b') as peer,
            ):
                await own.open(peer, targets=[target_at('1', '127.0.0.1:9')])
                await peer.open(own, targets=[target_at('1', target.address)])
                answer = await _request(own.address, headers)
            self.assertEqual(own.count('forwarded'), 1)
        self.assertEqual(answer.code, 200)
        self.assertNotIn(TRIED_HEADER.lower().encode(), _heads(target))


def _heads(target: ScriptedTarget) -> bytes:
    return b''.join(target.heads).lower()


async def _request(address: str, headers: dict[str, str]) -> HTTPResponse:
    return await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/stock/1',
            headers={
                'Host': 'shop.example',
                'X-Request-Id': 'r-1',
                'X-Deadline-Ms': '800',
                **headers,
            },
            request_timeout=2,
        ),
        raise_error=False,
    )
