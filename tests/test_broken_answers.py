"""Targets whose responses break the grammar of HTTP, and sound odd ones.

Pattern: a line of the head is spoilt, or what frames the body. Read in part,
the caller gets a complete response with a body that is not the target's.
"""

import dataclasses
import itertools
import math
import unittest.mock
from collections.abc import Iterable, Mapping
from typing import Any

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError

from tests.broken_answers import (
    BROKEN,
    CHUNKED,
    OWN,
    OWN_ID,
    SIGNATURE,
    SOUND,
    Broken,
    Sound,
)
from tests.entry_harness import EntryHarness, RawTarget
from tests.head_readers import READERS, Reader, read_all
from tests.joined_heads import NOT_RUN, OWN_RESPONSES, JoiningTarget, head
from tests.running_edge import RunningEdge, target_at, without_probes
from tests.test_front import call
from tests.verified_edge import probe, verified_edge
from turmericmast.balance import targetview
from turmericmast.call.call import Loss
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics
from turmericmast.web.rawhead import RawHead

GOOD = OWN_RESPONSES['success']
ENDS = {'kept': False, 'closed': True}
"""Whether the target closes the connection behind its answer."""
PAUSE = 0.005
"""Seconds between two pieces of an answer."""
SPOILT = {
    name: BROKEN[name]
    for name in (
        'field_no_colon_within',
        'field_blank_before_the_colon_within',
        'field_octet_01_in_the_name_first',
        'field_octet_01_in_the_value_first',
        'folded_blank_first',
        'folded_blank_behind_a_field',
        'folded_length_last',
        'folded_instead_of_length',
        'length_word',
        'length_over_64_bits',
        'length_twice',
        'coding_gzip_before_alone',
        'coding_gzip_behind_alone',
        'coding_of_older_version',
        'chunk_size_word',
        'chunk_size_blank_behind',
        'chunk_line_feed_of_data',
        'trailer_no_colon',
        'status_line_control_byte_in_the_reason',
    )
}
"""One or more answers of each class, for the other readers."""
REFUSALS = (b'503 Full', b'429 Many', b'408 Late', b'421 Other')
REST = {
    'length': b'Content-Length: x\r\n\r\n',
    'long_length': b'Content-Length: 99999999999999999999\r\n\r\n',
    'folded': b' x\r\nContent-Length: 0\r\n\r\n',
    'coding': b'Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n',
    'chunk': CHUNKED + b'\r\n\r\n5 \r\nabcde\r\n0\r\n\r\n',
    'trailer': CHUNKED + b'\r\n\r\n0\r\nX Odd: a\r\n\r\n',
}
"""What breaks a refusal, behind its first fields."""
LARGE = b'x' * 100_000
"""A body that is streamed; smaller ones are buffered."""
LARGE_CHUNK = b'%x\r\n%b\r\n' % (len(LARGE), LARGE)


def _rows(
    table: Mapping[str, Any], ends: Iterable[str] = ENDS
) -> list[tuple[str, Any, bool]]:
    return [
        (f'{name}_{end}', row, ENDS[end])
        for (name, row), end in itertools.product(table.items(), ends)
    ]


def _rejected(reason: str) -> tuple[str, tuple[tuple[str, str], ...]]:
    """Return name and labels of the counter of rejected responses."""
    return ('responses_rejected', (('reason', reason),))


class BrokenAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A broken answer is a failure of its target, and is told by its class."""

    # Guards against a caller that gets a broken answer, one that waits until
    # its time is up, and a connection that is used again.
    @parameterized.expand(_rows(BROKEN))
    async def test_single_target(
        self, _name: str, broken: Broken, closes: bool
    ) -> None:
        target = JoiningTarget(
            [(broken.octets,), (GOOD,)], in_turn=True, closes=closes
        )
        async with verified_edge('GET', target) as own:
            view = next(iter(own.edge.views()))
            with unittest.mock.patch.object(targetview, 'FIRST_EJECTION', 0):
                first = await _request(own, 'GET')
            learnt = view.eligibility(own.clock.now())
            view.verify(Seconds(0), own.clock.now())
            second = await _request(own, 'GET')
        self.assertEqual(first.code, 502)
        self.assertNotIn('X-Response-Signature', first.headers)
        counted = own.metrics.count_by_name
        self.assertEqual(counted[_rejected(broken.reason)], 1)
        self.assertEqual(_reasons(own), [broken.reason])
        self.assertIs(learnt, targetview.Eligibility.unverified)
        self.assertFalse(view.path.is_lost)
        self.assertEqual((second.code, second.body), (200, b'good'))
        self.assertEqual(target.connections, 2)

    # Guards against an order that runs at two targets or is told not to have
    # run, and against a safe request that fails although there is another
    # target.
    @parameterized.expand(
        [
            (f'{name}_{method}', broken, closes, method)
            for name, broken, closes in _rows(SPOILT)
            for method in ('GET', 'POST')
        ]
    )
    async def test_second_target(
        self, _name: str, broken: Broken, closes: bool, method: str
    ) -> None:
        # Whichever target gets the request first, the next one is the other.
        targets = JoiningTarget(
            [(broken.octets,), (GOOD,)], in_turn=True, closes=closes
        )
        async with verified_edge(method, targets, targets) as own:
            received = await _request(own, method)
        is_repeated = method == 'GET'
        self.assertEqual(received.code, 200 if is_repeated else 502)
        self.assertEqual(len(targets.requests), 2 if is_repeated else 1)

    # Guards against an order that runs again, or is said not to have run, by
    # the promise of a broken refusal.
    @parameterized.expand(
        [
            (f'{status.decode()[:3]}_{name}_{end}', status, rest, ENDS[end])
            for status, (name, rest), end in itertools.product(
                REFUSALS, REST.items(), ENDS
            )
        ]
    )
    async def test_broken_refusal(
        self, _name: str, status: bytes, rest: bytes, closes: bool
    ) -> None:
        start = head(status, OWN_ID, NOT_RUN).removesuffix(b'\r\n')
        targets = JoiningTarget(
            [(start + rest,), (GOOD,)], in_turn=True, closes=closes
        )
        async with verified_edge('POST', targets, targets) as own:
            received = await _request(own, 'POST')
        self.assertEqual(received.code, 502)
        self.assertEqual(len(targets.requests), 1)

    # Guards against a broken answer that passes in several pieces.
    @parameterized.expand(_rows(SPOILT))
    async def test_pieces(
        self, _name: str, broken: Broken, closes: bool
    ) -> None:
        octets = broken.octets
        cuts = [0, *range(5, len(octets), 23), len(octets)]
        pieces = [octets[start:end] for start, end in itertools.pairwise(cuts)]
        target = JoiningTarget([pieces], PAUSE, in_turn=True, closes=closes)
        async with verified_edge('GET', target) as own:
            received = await _request(own, 'GET')
        self.assertEqual(received.code, 502)
        self.assertEqual(_reasons(own), [broken.reason])

    # Guards against a folded line that curl joins before it was seen.
    @parameterized.expand(
        _rows({name: BROKEN[name] for name in BROKEN if 'folded' in name})
    )
    async def test_unseen_head(
        self, _name: str, broken: Broken, closes: bool
    ) -> None:
        target = JoiningTarget([(broken.octets,)], in_turn=True, closes=closes)
        async with verified_edge('GET', target) as own:
            with unittest.mock.patch.object(RawHead, 'look'):
                received = await _request(own, 'GET')
        self.assertEqual(received.code, 502)

    # Guards against a target that answers its health checks well and gets a
    # request after each of them.
    async def test_target_that_always_answers_so(self) -> None:
        octets = BROKEN['length_word'].octets
        target = JoiningTarget([(octets,)] * 9, in_turn=True)
        pauses = []
        async with verified_edge('GET', target) as own:
            view = next(iter(own.edge.views()))
            for _ in range(5):
                view.begin_request()
                view.end_request(
                    Loss.connection_lost, own.clock.now(), is_malformed=True
                )
                pauses.append(view.ejected_until() - own.clock.now())
                view.confirm_path(own.clock.now())
                view.verify(Seconds(0), own.clock.now())
            received = await _request(own, 'GET')
        self.assertEqual([round(pause, 1) for pause in pauses], PAUSES)
        self.assertEqual(received.code, 503)
        self.assertFalse(target.requests)

    # Guards against a target that gets requests again for a late response,
    # though another one listens at its address.
    async def test_target_that_was_replaced(self) -> None:
        async with verified_edge('GET', JoiningTarget([])) as own:
            view = next(iter(own.edge.views()))
            view.begin_request()
            view.eject_misplaced()
            view.end_request(
                Loss.connection_lost, own.clock.now(), is_malformed=True
            )
        self.assertEqual(view.ejected_until(), math.inf)

    # Guards against a body that seems complete to a caller who has got a part
    # of it before it broke.
    @parameterized.expand(
        [
            ('chunk', b'zz\r\nabc\r\n0\r\n\r\n', 'invalid_chunk'),
            ('trailer', b'0\r\nodd\r\n\r\n', 'invalid_trailer'),
        ]
    )
    async def test_streamed_body(
        self, _name: str, rest: bytes, reason: str
    ) -> None:
        octets = head(b'200 OK', *OWN, CHUNKED) + LARGE_CHUNK + rest
        target = JoiningTarget([(octets,)], in_turn=True)
        async with verified_edge('GET', target) as own:
            with self.assertRaises(HTTPStreamClosedError):
                await _request(own, 'GET')
        self.assertEqual(_reasons(own), [reason])

    # Guards against other readers that take such an answer for a response.
    @parameterized.expand(
        [
            (f'{kind.__name__}_{name}', kind, broken)
            for kind, (name, broken) in itertools.product(
                READERS, SPOILT.items()
            )
        ]
    )
    async def test_reader(
        self, _name: str, kind: type[Reader], broken: Broken
    ) -> None:
        received = await read_all(kind, [(kind.adapt(broken.octets),)])
        self.assertIn(received[0], {Loss.connection_lost, Loss.cut_short})

    # Guards against a health check that verifies a target by such an answer,
    # or that takes the link to it for lost.
    @parameterized.expand(_rows(SPOILT))
    async def test_health_check(
        self, _name: str, broken: Broken, closes: bool
    ) -> None:
        octets = broken.octets.replace(OWN_ID, b'X-Instance-Id: 1')
        target = JoiningTarget(
            [(octets.replace(SIGNATURE, b'X-Server-Load: 0,0,4'),)],
            closes=closes,
        )
        metrics = Metrics()
        async with target.run() as address:
            view = await probe(address, metrics)
        self.assertEqual(metrics.count_by_name[_rejected(broken.reason)], 1)
        self.assertIsNot(
            view.eligibility(view.probed_at), targetview.Eligibility.warm
        )
        self.assertFalse(view.path.is_lost)

    # Guards against an instance that passes on such an answer of another one.
    @parameterized.expand(SPOILT.items())
    async def test_forwarded(self, _name: str, broken: Broken) -> None:
        odd = JoiningTarget([(broken.octets,)], in_turn=True)
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
        self.assertEqual(_reasons(own), [broken.reason])

    # Guards against entries that pass on such an answer, and against requests
    # that are suspected to crash a target which only answers badly.
    @parameterized.expand(
        [
            (f'{name}_{method}', broken, closes, method)
            for name, broken, closes in _rows(SPOILT)
            for method in ('GET', 'POST')
        ]
    )
    async def test_entry(
        self, _name: str, broken: Broken, closes: bool, method: str
    ) -> None:
        async def answer(*_request: object) -> tuple[bytes, bool]:
            return (broken.octets.replace(*ENTRY_ID), not closes)

        async with EntryHarness(targets=1) as harness:
            with unittest.mock.patch.object(RawTarget, '_answer', answer):
                body = b'x' if method == 'POST' else None
                received = await call(harness, '/stock/ok', method, body)
            view = harness.group.region.view
        self.assertEqual(received.code, 502)
        self.assertNotIn('X-Response-Signature', received.headers)
        attempts = 2 if method == 'GET' else 1
        self.assertEqual(len(harness.targets[0].runs), attempts)
        self.assertEqual(
            harness.metrics.count_by_name[_rejected(broken.reason)], attempts
        )
        self.assertFalse(view.suspicion_by_fingerprint)


class SoundAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A sound answer is served, however odd it looks."""

    # Guards against sound answers that are refused, and whose connections are
    # not kept.
    @parameterized.expand(_rows(SOUND))
    async def test_answer(self, _name: str, sound: Sound, closes: bool) -> None:
        is_last = closes or sound.ends_with_connection
        target = JoiningTarget(
            [(sound.octets,), (GOOD,)], in_turn=True, closes=is_last
        )
        async with verified_edge(sound.method, target) as own:
            received = await _request(own, sound.method)
            second = await _request(own, 'GET')
        self.assertEqual((received.code, received.body), _parts(sound))
        self.assertEqual(second.body, b'good')
        self.assertFalse(_reasons(own))
        if b'HTTP/1.0' not in sound.octets:
            self.assertEqual(target.connections, 1 + is_last)

    # Guards against the same for answers that come in several pieces.
    @parameterized.expand(_rows(SOUND))
    async def test_pieces(self, _name: str, sound: Sound, closes: bool) -> None:
        octets = sound.octets
        cuts = [0, *range(3, len(octets), 29), len(octets)]
        pieces = [octets[start:end] for start, end in itertools.pairwise(cuts)]
        target = JoiningTarget(
            [pieces],
            PAUSE,
            in_turn=True,
            closes=closes or sound.ends_with_connection,
        )
        async with verified_edge(sound.method, target) as own:
            received = await _request(own, sound.method)
        self.assertEqual((received.code, received.body), _parts(sound))
        self.assertFalse(_reasons(own))

    # Guards against the same for heads that curl read before they were seen.
    @parameterized.expand(
        _rows(
            SOUND
            | {
                'large_in_chunks': Sound(
                    head(b'200 OK', *OWN, CHUNKED) + LARGE_CHUNK + b'0\r\n\r\n',
                    LARGE,
                ),
                'large_until_the_end': Sound(
                    head(b'200 OK', *OWN) + LARGE,
                    LARGE,
                    ends_with_connection=True,
                ),
            }
        )
    )
    async def test_unseen_head(
        self, _name: str, sound: Sound, closes: bool
    ) -> None:
        target = JoiningTarget(
            [(sound.octets,)],
            in_turn=True,
            closes=closes or sound.ends_with_connection,
        )
        async with verified_edge(sound.method, target) as own:
            with unittest.mock.patch.object(RawHead, 'look'):
                received = await _request(own, sound.method)
        self.assertEqual((received.code, received.body), _parts(sound))

    # Guards against streamed bodies in chunks that are cut or doubled.
    @parameterized.expand(
        [
            ('one_chunk', len(LARGE)),
            ('long_chunks', 30_000),
            ('short_chunks', 100),
            ('tiny_chunks', 1),
        ]
    )
    async def test_streamed_chunks(self, _name: str, size: int) -> None:
        body = bytes(number % 251 for number in range(100_000))
        pieces = [
            body[start : start + size] for start in range(0, len(body), size)
        ]
        chunks = b''.join(
            b'%x;a="b"\r\n%b\r\n' % (len(piece), piece) for piece in pieces
        )
        octets = head(b'200 OK', *OWN, CHUNKED) + chunks + b'0\r\n\r\n'
        target = JoiningTarget([(octets,), (GOOD,)], in_turn=True)
        async with verified_edge('GET', target) as own:
            received = await _request(own, 'GET')
            second = await _request(own, 'GET')
        self.assertEqual((received.code, received.body), (200, body))
        self.assertEqual(second.body, b'good')
        self.assertEqual(target.connections, 1)

    # Guards against entries that refuse sound answers.
    @parameterized.expand(
        [
            (f'{name}_{end}', sound, ENDS[end])
            for (name, sound), end in itertools.product(SOUND.items(), ENDS)
            if sound.method == 'GET' and not sound.ends_with_connection
        ]
    )
    async def test_entry(self, _name: str, sound: Sound, closes: bool) -> None:
        async def answer(*_request: object) -> tuple[bytes, bool]:
            return (sound.octets.replace(*ENTRY_ID), not closes)

        async with EntryHarness(targets=1) as harness:
            with unittest.mock.patch.object(RawTarget, '_answer', answer):
                received = await call(harness, '/stock/ok')
        self.assertEqual((received.code, received.body), _parts(sound))


ENTRY_ID = (b'X-Request-Id: r\r\n', b'')
"""What entries do not know; a target need not send an id back."""
PAUSES = [0.2, 0.4, 0.8, 1.6, 2.0]
"""Seconds without requests after one malformed response after the other."""


def _parts(sound: Sound) -> tuple[int, bytes]:
    return sound.status, sound.body


def _reasons(own: RunningEdge) -> list[str]:
    """Return the reasons of the rejections that the edge has logged."""
    return [
        written.kwargs['reason']
        for written in own.events.write.call_args_list
        if written.args[0] == 'response_rejected'
    ]


async def _request(own: RunningEdge, method: str) -> HTTPResponse:
    host, path = {
        'GET': ('shop.example', '/stock/1'),
        'HEAD': ('shop.example', '/stock/1'),
        'POST': ('pay.example', '/orders/1'),
    }[method]
    request = HTTPRequest(
        f'http://{own.address}{path}',
        method=method,
        body=b'x' if method == 'POST' else None,
        headers={'Host': host, 'X-Request-Id': 'r', 'X-Deadline-Ms': '2000'},
        request_timeout=4,
        follow_redirects=False,
    )
    with without_probes():
        return await AsyncHTTPClient().fetch(request, raise_error=False)
