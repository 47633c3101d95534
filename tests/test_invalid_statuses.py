"""Targets whose responses have a status that no response has.

Pattern: a target writes 000, 099, 600 or no number where the status belongs.
Read as an interim status, the response behind it would be that of the target;
read as a final one, the caller would get it.
"""

import dataclasses
import itertools
import unittest.mock
from typing import Any

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from tests.entry_harness import EntryHarness, RawTarget
from tests.head_readers import READERS, EdgeReader, Reader, read_all
from tests.joined_heads import OWN_RESPONSES, JoiningTarget, head
from tests.running_edge import RunningEdge, target_at, without_probes
from tests.test_front import call
from tests.verified_edge import probe, verified_edge
from turmericmast.balance import targetview
from turmericmast.call.call import Loss
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics

OWN = (b'X-Request-Id: r', b'X-Response-Signature: odd', b'Content-Length: 0')
GOOD = OWN_RESPONSES['success']
STATUSES = {
    'zero': b'000 Odd',
    'one': b'001 Odd',
    'below_100': b'099 Odd',
    'switch': b'101 Switching Protocols',
    'above_599': b'600 Odd',
    'largest': b'999 Odd',
    'two_digits': b'20 Odd',
    'four_digits': b'2000 Odd',
    'leading_zero': b'0200 Odd',
    'plus': b'+200 Odd',
    'minus': b'-200 Odd',
    'blank_before': b' 200 Odd',
    'blank_within': b'2 00 Odd',
    'blanks': b'    ',
    'letter': b'20x Odd',
}
"""Statuses that make no response."""
INTERIM = {'100': b'100 Go', '104': b'104 Odd', '199': b'199 Odd'}
"""Statuses of interim responses, also if their meaning is not known."""
PLACES = {'alone': (b'', False), 'before': (GOOD, False), 'end': (b'', True)}
"""What follows such a response, and whether the connection ends then."""
ROWS = [
    (f'{name}_{place}_{method}', status, *PLACES[place], method)
    for (name, status), place, method in itertools.product(
        STATUSES.items(), PLACES, ('GET', 'POST')
    )
]
BY_READER = [
    (f'{kind.__name__}_{name}_{place}', kind, status, PLACES[place][0])
    for kind, (name, status), place in itertools.product(
        READERS, STATUSES.items(), ('alone', 'before')
    )
    if kind is not EdgeReader
]
REJECTED = ('responses_rejected', (('reason', 'invalid_status'),))
"""Name and labels of the counter of such responses."""


def _odd(status: bytes) -> bytes:
    return head(status, *OWN)


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    """A response with such a status is a failure of the target."""

    # Guards against a caller that gets such a status, or what stands behind
    # it, and against a connection that is used again.
    @parameterized.expand(ROWS)
    async def test_single_target(
        self, _name: str, status: bytes, rest: bytes, closes: bool, method: str
    ) -> None:
        responses = [(_odd(status), rest), (GOOD,)]
        target = JoiningTarget(responses, in_turn=True, closes=closes)
        async with verified_edge(method, target) as own:
            view = next(iter(own.edge.views()))
            with unittest.mock.patch.object(targetview, 'FIRST_EJECTION', 0):
                first = await _request(own, method)
            learnt = view.eligibility(own.clock.now())
            view.verify(Seconds(0), own.clock.now())
            second = await _request(own, method)
        self.assertEqual(first.code, 502)
        self.assertNotIn('X-Response-Signature', first.headers)
        self.assertEqual(own.metrics.count_by_name[REJECTED], 1)
        self.assertIn(
            'response_rejected',
            [written.args[0] for written in own.events.write.call_args_list],
        )
        self.assertIs(learnt, targetview.Eligibility.unverified)
        self.assertFalse(view.path.is_lost)
        self.assertEqual((second.code, second.body), (200, b'good'))
        self.assertEqual(target.connections, 2)

    # Guards against an order that runs at two targets, and against a safe
    # request that fails although another target is there.
    @parameterized.expand(ROWS)
    async def test_second_target(
        self, _name: str, status: bytes, rest: bytes, closes: bool, method: str
    ) -> None:
        # Whichever target gets the request first, the next one is the other.
        responses = [(_odd(status), rest), (GOOD,)]
        targets = JoiningTarget(responses, in_turn=True, closes=closes)
        async with verified_edge(method, targets, targets) as own:
            received = await _request(own, method)
        is_repeated = method == 'GET'
        self.assertEqual(received.code, 200 if is_repeated else 502)
        self.assertEqual(len(targets.requests), 2 if is_repeated else 1)

    # Guards against other readers that take such a response for one.
    @parameterized.expand(BY_READER)
    async def test_reader(
        self, _name: str, kind: type[Reader], status: bytes, rest: bytes
    ) -> None:
        parts = [kind.adapt(part) for part in (_odd(status), rest)]
        self.assertEqual(await read_all(kind, [parts]), [Loss.connection_lost])

    # Guards against interim responses that are refused for their status.
    @parameterized.expand(
        [
            (f'{kind.__name__}_{name}', kind, status)
            for kind, (name, status) in itertools.product(
                READERS[:5], INTERIM.items()
            )
        ]
    )
    async def test_interim(
        self, _name: str, kind: type[Reader], status: bytes
    ) -> None:
        parts = [kind.adapt(part) for part in (_odd(status), GOOD)]
        received = await read_all(kind, [parts])
        self.assertNotIsInstance(received[0], Loss)

    # Guards against a health check that verifies a target by such a response,
    # or that takes the link to it for lost.
    @parameterized.expand(
        [
            (f'{name}_{place}', status, *PLACES[place])
            for (name, status), place in itertools.product(
                STATUSES.items(), PLACES
            )
        ]
    )
    async def test_health_check(
        self, _name: str, status: bytes, rest: bytes, closes: bool
    ) -> None:
        healthy = head(b'200 OK', b'X-Instance-Id: 1', b'Content-Length: 0')
        odd = head(status, b'X-Instance-Id: 1', b'Content-Length: 0')
        target = JoiningTarget([(odd, rest and healthy)], closes=closes)
        metrics = Metrics()
        async with target.run() as address:
            view = await probe(address, metrics)
        self.assertEqual(metrics.count_by_name[REJECTED], 1)
        self.assertIsNot(
            view.eligibility(view.probed_at), targetview.Eligibility.warm
        )
        self.assertFalse(view.path.is_lost)

    # Guards against an instance that passes on such a status of another one.
    @parameterized.expand([(name, STATUSES[name]) for name in STATUSES])
    async def test_forwarded(self, _name: str, status: bytes) -> None:
        odd = JoiningTarget([(_odd(status), GOOD)], in_turn=True)
        async with odd.run() as address:
            with RunningEdge('own') as own, RunningEdge('peer') as peer:
                peer.record = dataclasses.replace(peer.record, peer=address)
                await own.open(peer, targets=[target_at('1', '127.0.0.1:1')])
                view = next(iter(own.edge.views()))
                view.verify(Seconds(0), own.clock.now())
                received = await _request(own, 'GET')
        self.assertEqual(received.code, 502)
        self.assertNotIn('X-Response-Signature', received.headers)
        self.assertEqual(len(odd.requests), 1)
        self.assertEqual(own.metrics.count_by_name[REJECTED], 1)

    # Guards against entries that pass on such a status.
    @parameterized.expand(
        [
            (f'{name}_{method}', status, method)
            for (name, status), method in itertools.product(
                STATUSES.items(), ('GET', 'POST')
            )
        ]
    )
    async def test_entry(self, _name: str, status: bytes, method: str) -> None:
        answer = RawTarget._answer  # noqa: SLF001

        async def precede(*request: Any) -> tuple[bytes, bool]:
            octets, keeps_open = await answer(*request)
            return (head(status, b'Content-Length: 0') + octets, keeps_open)

        async with EntryHarness(targets=1) as harness:
            with unittest.mock.patch.object(RawTarget, '_answer', precede):
                body = b'x' if method == 'POST' else None
                received = await call(harness, '/stock/ok', method, body)
        self.assertEqual(received.code, 502)
        self.assertNotIn('X-Target', received.headers)
        # An entry sends a safe request once more, also to the same target.
        attempts = 2 if method == 'GET' else 1
        self.assertEqual(len(harness.targets[0].runs), attempts)
        self.assertEqual(harness.metrics.count_by_name[REJECTED], attempts)


async def _request(own: RunningEdge, method: str) -> HTTPResponse:
    host, path = {
        'GET': ('shop.example', '/stock/1'),
        'POST': ('pay.example', '/orders/1'),
    }[method]
    request = HTTPRequest(
        f'http://{own.address}{path}',
        method=method,
        body=b'x' if method == 'POST' else None,
        headers={'Host': host, 'X-Request-Id': 'r', 'X-Deadline-Ms': '4000'},
        request_timeout=6,
    )
    with without_probes():
        return await AsyncHTTPClient().fetch(request, raise_error=False)
