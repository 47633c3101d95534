"""Targets that cut a response within its head, and go on with the next one.

Pattern: a late second response is cut, and the next response follows in the
same line. Read as one head, it has the status of the first response and the
headers of the second.
"""

import asyncio
import contextlib
import itertools
import unittest.mock
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import Any

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from tests.entry_harness import EntryHarness, RawTarget
from tests.head_readers import (
    READERS,
    EdgeReader,
    EntryReader,
    OlderTargetReader,
    Reader,
    read_all,
)
from tests.joined_heads import (
    DATE,
    LARGE_RESPONSES,
    LATE_HEADS,
    LENGTH,
    LOAD,
    OWN_ID,
    OWN_RESPONSES,
    JoiningTarget,
    cut,
    head,
    parsed,
)
from tests.running_edge import RunningEdge, target_at, without_probes
from tests.test_front import call
from turmericmast.balance.load import LoadReport
from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import Loss
from turmericmast.clock import Clock, SystemClock
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.curl import CurlClient
from turmericmast.web.probing import Prober

HINTS = head(b'103 Early Hints', b'Link: </b.css>; rel=preload')
FEW_HEADS = (
    'success_id_last',
    'no_content',
    'interim',
    'rejection_id_last',
)
"""Heads by which each reader is tried, while the first one gets all."""
JOINED = [
    (f'{kind.__name__}_{name}', kind, late)
    for kind, (name, late) in itertools.product(READERS, LATE_HEADS.items())
    if kind is EdgeReader or name in FEW_HEADS
]
SHORT = head(b'200 OK', DATE, b'X-Request-Id: q')
"""A late head that is cut twice."""
PIECE_ROWS = [
    (f'{kind.__name__}_{name}', kind, late)
    for kind in (EdgeReader, EntryReader)
    for name, late in (('success', SHORT), ('interim', HINTS))
]
LATE_HEALTH = {
    'healthy': head(
        b'200 OK', b'X-Instance-Id: 1', b'X-Server-Load: 1,0,4', LENGTH
    ),
    'busy': head(b'503 Service Unavailable', LOAD, b'X-Instance-Id: 1', LENGTH),
    'cold': head(b'200 OK', b'X-Warmup-Ms: 900', DATE, b'X-Instance-Id: 1'),
    'other': head(b'200 OK', DATE, b'X-Instance-Id: 2'),
    'of_a_request': LATE_HEADS['failure_id_last'],
    'interim': HINTS,
}
OWN_HEALTH = {
    'healthy': head(
        b'200 OK', b'X-Server-Load: 3,2,4', b'X-Instance-Id: 1', LENGTH
    )
    + b'good',
    'unhealthy': head(b'500 Internal Server Error', b'X-Instance-Id: 1', LENGTH)
    + b'fail',
    'elsewhere': head(b'200 OK', LENGTH, b'X-Instance-Id: 3') + b'good',
}
REJECTED = ('responses_rejected', (('reason', 'joined_head'),))
"""Name and labels of the counter of joined heads."""
QUOTE = b'X-Note: HTTP/1.1 500 Internal Server Error'
SPOKEN = [
    ('via', b'Via: HTTP/1.1 cache'),
    ('via_a_port', b'Via: HTTP/1.1 10.0.0.1:80'),
    ('upgrade', b'Upgrade: HTTP/2.0'),
    ('link', b'Link: <http://shop.example/1.1/200>; rel=next'),
    ('number', b'X-Note: HTTP/1.1 2000 requests'),
    ('cookies', b'Set-Cookie: a=b; Path=/\r\nSet-Cookie: a=b; Path=/'),
]
"""Headers that speak of the protocol without a status line."""
OWN_FIELDS = [b'X-Response-Signature: new', DATE, LENGTH]
SINGLE = [
    *(
        (f'{name}_{where}', head(status, *fields) + b'good')
        for status in (b'200 OK', b'404 Not Found')
        for name, field in SPOKEN
        for where, fields in (
            ('before_the_id', [field, OWN_ID, *OWN_FIELDS]),
            ('after_the_id', [OWN_ID, field, *OWN_FIELDS]),
            ('at_the_end', [*OWN_FIELDS, OWN_ID, field]),
        )
    ),
    ('quote', head(b'200 OK', OWN_ID, *OWN_FIELDS, QUOTE) + b'good'),
    (
        'quote_of_a_failure',
        head(b'500 Oh', OWN_ID, QUOTE, DATE, LENGTH) + b'good',
    ),
    (
        'signed_failure',
        head(b'500 Oh', OWN_ID, *OWN_FIELDS, QUOTE) + b'good',
    ),
    (
        'long_reason',
        head(b'404 HTTP/1.1 is old', OWN_ID, *OWN_FIELDS) + b'good',
    ),
]
"""Valid responses; those with the same name differ in their status."""


class JoinedHeadTest(unittest.IsolatedAsyncioTestCase):
    """A caller gets the parts of one response, or an error of ours."""

    async def asyncSetUp(self) -> None:
        """Spare the notes that a loop takes in debug mode: cuts are many."""
        asyncio.get_running_loop().set_debug(enabled=False)

    # Guards against a status that comes with the headers of another response,
    # for a late response that is cut anywhere within its head (MIXED).
    @parameterized.expand(JOINED)
    async def test_each_cut(
        self, _name: str, kind: type[Reader], late: bytes
    ) -> None:
        faults = await _faults(
            kind,
            (
                (piece, own)
                for own in OWN_RESPONSES.values()
                for piece in cut(late)
            ),
        )
        self.assertEqual(faults[:2], [])

    # Guards against the same where three responses meet.
    @parameterized.expand(PIECE_ROWS)
    async def test_three_responses(
        self, _name: str, kind: type[Reader], late: bytes
    ) -> None:
        faults = await _faults(
            kind,
            (
                (piece, between, OWN_RESPONSES['failure'])
                for piece in cut(late)
                for between in (HINTS, *itertools.islice(cut(SHORT), 8, 26, 3))
            ),
        )
        self.assertEqual(faults[:2], [])

    # Guards against the same for bodies that are streamed while they arrive.
    @parameterized.expand(
        [(kind.__name__, kind) for kind in (EdgeReader, EntryReader)]
    )
    async def test_large_response(self, _name: str, kind: type[Reader]) -> None:
        faults = await _faults(
            kind,
            (
                (piece, own)
                for own in LARGE_RESPONSES.values()
                for piece in cut(LATE_HEADS['success_id_last'])
            ),
        )
        self.assertEqual(faults[:2], [])

    # Guards against the same for pieces that are read one after the other.
    @parameterized.expand(
        [(kind.__name__, kind) for kind in (EdgeReader, EntryReader)]
    )
    async def test_separate_segments(
        self, _name: str, kind: type[Reader]
    ) -> None:
        faults = await _faults(
            kind,
            (
                (piece, OWN_RESPONSES['failure'])
                for piece in cut(LATE_HEADS['success_id_last'])
            ),
            pause=0.003,
        )
        self.assertEqual(faults[:2], [])

    # Guards against an own response that is cut and written once more: what
    # comes of it is of one of both.
    @parameterized.expand(
        [
            (kind.__name__, kind)
            for kind in (EdgeReader, EntryReader, OlderTargetReader)
        ]
    )
    async def test_own_response_twice(
        self, _name: str, kind: type[Reader]
    ) -> None:
        faults = await _faults(
            kind,
            (
                (piece, own)
                for first in (
                    OWN_RESPONSES['failure'],
                    OWN_RESPONSES['success'],
                )
                for own in OWN_RESPONSES.values()
                for piece in cut(first.partition(b'\r\n\r\n')[0])
            ),
        )
        self.assertEqual(faults[:2], [])

    # Guards against valid responses that are taken for joined ones.
    @parameterized.expand([(kind.__name__, kind) for kind in READERS[:5]])
    async def test_single_head(self, _name: str, kind: type[Reader]) -> None:
        responses = [kind.adapt(octets) for _, octets in SINGLE]
        received = await read_all(kind, [(octets,) for octets in responses])
        self.assertEqual(
            received,
            [parsed(octets) for octets in responses],
        )

    # Guards against the same where the connection is kept: one that is closed
    # costs the next request a new one.
    @parameterized.expand([(kind.__name__, kind) for kind in READERS[:5]])
    async def test_single_heads_in_turn(
        self, _name: str, kind: type[Reader]
    ) -> None:
        responses = [kind.adapt(octets) for _, octets in SINGLE]
        target = JoiningTarget([(octets,) for octets in responses])
        async with target.run() as address:
            with CurlClient() as curl:
                received = [
                    await kind().read(
                        curl, f'http://{address}/{index}', is_kept=True
                    )
                    for index in range(len(responses))
                ]
        self.assertEqual(
            received,
            [parsed(octets) for octets in responses],
        )
        self.assertEqual(target.connections, 1)

    # Guards against a success with the signatures of two responses.
    @parameterized.expand([('before', 0), ('after', 1)])
    async def test_two_signatures(self, _name: str, place: int) -> None:
        fields = [OWN_ID, *OWN_FIELDS]
        fields.insert(place, b'X-Response-Signature: old')
        response = head(b'200 OK', *fields) + b'good'
        self.assertEqual(
            await read_all(EdgeReader, [(response,)]), [Loss.cut_short]
        )

    # Guards against interim heads that are taken for joined ones.
    @parameterized.expand([(kind.__name__, kind) for kind in READERS])
    async def test_interim_head(self, _name: str, kind: type[Reader]) -> None:
        own = kind.adapt(OWN_RESPONSES['success'])
        received = await read_all(
            kind,
            [
                (2 * head(b'103 Early Hints', OWN_ID, field), own)
                for _, field in SPOKEN
            ],
        )
        self.assertEqual(received, [parsed(own)] * len(SPOKEN))


class JoinedHealthTest(unittest.IsolatedAsyncioTestCase):
    """A health check tells status, load and name of one response."""

    # Guards against a target that counts as healthy, cold, loaded or as another
    # one by the headers of two responses.
    @parameterized.expand(LATE_HEALTH.items())
    async def test_each_cut(self, _name: str, late: bytes) -> None:
        responses = [
            (piece, own) for own in OWN_HEALTH.values() for piece in cut(late)
        ]
        whole = [(own,) for own in OWN_HEALTH.values()]
        expected = dict(
            zip(OWN_HEALTH.values(), await _probe_all(whole), strict=True)
        )
        checked = await _probe_all(responses)
        faults = [
            (pieces, outcome)
            for pieces, outcome in zip(responses, checked, strict=True)
            if outcome and outcome != expected[pieces[-1]]
        ]
        self.assertEqual(faults[:2], [])

    # Guards against a response to a health check that is refused untold.
    async def test_refusal_is_counted(self) -> None:
        metrics = Metrics()
        await _probe_all([(b'HTTP/1.1 200 O', OWN_HEALTH['healthy'])], metrics)
        self.assertEqual(metrics.count_by_name[REJECTED], 1)

    # Guards against healthy targets that are left out for what they say.
    @parameterized.expand(SPOKEN)
    async def test_single_head(self, _name: str, field: bytes) -> None:
        name, load = b'X-Instance-Id: 1', b'X-Server-Load: 3,2,4'
        orders = itertools.permutations((name, load, field))
        checked = await _probe_all(
            [(head(b'200 OK', *fields, LENGTH) + b'good',) for fields in orders]
        )
        self.assertEqual(len(set(checked)), 1)
        self.assertEqual(checked[0][:2], (True, False))

    # Guards against the same for a note that quotes a status line.
    async def test_quoted_status_line(self) -> None:
        checked = await _probe_all(
            [(head(b'200 OK', b'X-Instance-Id: 1', LENGTH, QUOTE) + b'good',)]
        )
        self.assertEqual(checked[0][:2], (True, False))


class JoinedHeadAtAnInstanceTest(unittest.IsolatedAsyncioTestCase):
    """The same from a caller to a target."""

    # Guards against the same on connections that are kept, and counts what was
    # refused.
    @parameterized.expand(
        [
            ('reason', b'HTTP/1.1 200 O', 'GET'),
            ('order', b'HTTP/1.1 200 O', 'POST'),
            ('rejected_order', b'HTTP/1.1 503 Service Un', 'POST'),
            ('value', b'HTTP/1.1 200 OK\r\nX-Server-Load: 1', 'GET'),
            ('interim', b'HTTP/1.1 103 Early Hints\r\nLink: </a', 'GET'),
        ]
    )
    async def test_kept_connection(
        self, _name: str, piece: bytes, method: str
    ) -> None:
        whole = OWN_RESPONSES['success']
        late = (piece, OWN_RESPONSES['failure'])
        async with _edge(method, [(whole,), late]) as (own, target):
            first = await _request(own, method)
            second = await _request(own, method)
        self.assertEqual(target.connections, 1)
        self.assertEqual((first.code, first.body), (200, b'good'))
        self.assertEqual(second.code, 502)
        self.assertNotIn('X-Response-Signature', second.headers)
        self.assertEqual(
            own.metrics.count_by_name[REJECTED],
            1,
        )

    # Guards against an entry that passes on a joined head.
    @parameterized.expand(
        [
            ('success', b'HTTP/1.1 200 O'),
            ('refusal', b'HTTP/1.1 503 Busy\r\nTurmericmast-Ran: no\r\nA:'),
            ('interim', b'HTTP/1.1 103 Early Hints\r\nLink: </a'),
        ]
    )
    async def test_entry(self, _name: str, piece: bytes) -> None:
        answer = RawTarget._answer  # noqa: SLF001

        async def join(*request: Any) -> tuple[bytes, bool]:
            octets, keeps_open = await answer(*request)
            return (piece + octets, keeps_open)

        async with EntryHarness(targets=1) as harness:
            await call(harness, '/stock/ok')
            with unittest.mock.patch.object(RawTarget, '_answer', join):
                received = await call(harness, '/stock/busy', 'POST', b'x')
        self.assertEqual(received.code, 502)
        self.assertNotIn('X-Target', received.headers)
        self.assertEqual(harness.targets[0].runs[1:], [('POST', '/busy', b'x')])
        self.assertEqual(
            harness.metrics.count_by_name[REJECTED],
            1,
        )


async def _faults(
    kind: type[Reader],
    responses: Iterable[Sequence[bytes]],
    pause: float = 0,
) -> list[Any]:
    """Return pieces of which a reader does not make their last response.

    It may refuse them, but at once.
    """
    pieces = [[kind.adapt(part) for part in parts] for parts in responses]
    received = await read_all(kind, pieces, pause)
    return [
        (b''.join(parts)[:300], str(outcome)[:300])
        for parts, outcome in zip(pieces, received, strict=True)
        if outcome not in {Loss.cut_short, Loss.connection_lost}
        and outcome != parsed(parts[-1])
    ]


async def _probe_all(
    responses: Sequence[Sequence[bytes]], metrics: Metrics | None = None
) -> list[Any]:
    """Return how each response to a health check changes a new view.

    One that was refused is ``None``.
    """
    async with JoiningTarget(responses).run() as address:
        with CurlClient() as curl:
            clock = SystemClock()
            prober = Prober(
                curl,
                PlatformHeaders(),
                clock,
                metrics or Metrics(),
                unittest.mock.Mock(),
            )
            return [
                await _probe(prober, clock, address, index)
                for index in range(len(responses))
            ]


async def _probe(prober: Prober, clock: Clock, address: str, index: int) -> Any:
    view = TargetView(target_at('1', address), 'tirol')
    prober.on_result = unittest.mock.Mock()
    has_responded = await prober.start(view, f'/{index}')
    if prober.on_result.call_args_list == [
        unittest.mock.call(view, is_lost=True)
    ]:
        return None
    return (
        has_responded,
        view.is_unhealthy,
        view.report,
        view.eligibility(clock.now()),
    )


@contextlib.asynccontextmanager
async def _edge(
    method: str, responses: Sequence[Sequence[bytes]]
) -> AsyncIterator[tuple[RunningEdge, JoiningTarget]]:
    """Run an edge whose only target answers with one after the other."""
    service = 'orders' if method == 'POST' else 'stock'
    target = JoiningTarget(responses, in_turn=True)
    async with target.run() as address:
        with RunningEdge('own') as own:
            await own.open(targets=[target_at('1', address, service)])
            for view in own.edge.views():
                view.verify(Seconds(0), own.clock.now())
                view.update_load(LoadReport(0, 0, 4), own.clock.now())
            yield (own, target)


async def _request(own: RunningEdge, method: str) -> HTTPResponse:
    host, path = {
        'GET': ('shop.example', '/stock/1'),
        'POST': ('pay.example', '/orders/1'),
    }[method]
    request = HTTPRequest(
        f'http://{own.address}{path}',
        method=method,
        body=b'x' if method == 'POST' else None,
        headers={'Host': host, 'X-Request-Id': 'r', 'X-Deadline-Ms': '800'},
        request_timeout=2,
    )
    with without_probes():
        return await AsyncHTTPClient().fetch(request, raise_error=False)
