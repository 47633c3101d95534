"""Requests that reach one target twice, through two instances.

Guards against MIXED: a target failed a request, another instance sent the
request to it once more, and the caller got a success.
"""

import contextlib
import dataclasses
import unittest.mock
from collections.abc import AsyncIterator, Sequence

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from tests.edge_samples import NOW, instance
from tests.running_edge import RunningEdge, target_at
from tests.scripted_target import Reply, ScriptedTarget
from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Loss
from turmericmast.call.triedtargets import TriedTargets
from turmericmast.cluster.records import TargetRecord
from turmericmast.edge.membership import Membership
from turmericmast.edge.peers import PeerOutcome, Peers
from turmericmast.ids import CallId, Seconds, ServiceId, TargetId
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.peerheaders import (
    Forwarding,
    PeerHeaders,
    read_forwarding,
)
from turmericmast.web.triedheader import (
    MAX_TRIED,
    MAX_TRIED_OCTETS,
    TRIED_HEADER,
    read_tried,
    tried_headers,
)

DEAD = '127.0.0.1:9'
"""An address at which nothing listens."""
OLDER_REQUEST = HTTPHeaders.parse(
    'Turmericmast-Forward: 0123456789abcdef\r\n'
    'Turmericmast-Attempts: 2\r\n'
    'Turmericmast-Service: stock\r\n'
)
"""What an instance of the build b361e25 adds to a forwarded request."""
OLDER_REFUSAL = HTTPHeaders.parse(
    'Content-Type: application/problem+json\r\n'
    'Turmericmast-Ran: no\r\n'
    'Turmericmast-Refusal: 0123456789abcdef\r\n'
    'Turmericmast-Reached: 1\r\n'
)
"""Headers with which the same build refuses a forwarded request."""

REACHED = [
    ('failed', Reply.fail, 500),
    ('rejected', Reply.reject, 503),
    ('misdirected', Reply.misdirect, 503),
    ('connection_lost', Reply.reset, 502),
    ('reset_after_interim', Reply.reset_after_interim, 502),
    ('reset_in_head', Reply.reset_in_head, 502),
    ('cut_short', Reply.cut, 502),
]
"""What a target does with a request before another instance gets it, and the
status for the caller if no other target is left."""
REJECTED = [('rejected', Reply.reject), ('misdirected', Reply.misdirect)]
"""What targets of another instance do so that the first one goes on."""
CALL = CallId('0123456789abcdef')
HEADERS = [
    ('absent', None, ()),
    ('empty', '', ()),
    ('one', 'i-1', ('i-1',)),
    ('two', 'i-1,i-2', ('i-1', 'i-2')),
    ('quoted', 'a%2Cb%20c', ('a,b c',)),
    ('an_empty_name', 'i-1,,i-2', ()),
    ('a_control_character', 'i%0A1', ()),
    ('a_long_name', 'x' * 257, ()),
    ('many', ','.join(['i-1'] * (MAX_TRIED + 1)), ()),
    ('endless', 'i' * (MAX_TRIED_OCTETS + 1), ()),
]
"""Contents of the header, and the targets that count as tried."""
TARGETS = [
    ('none', [], []),
    ('one', ['i-1'], ['i-1']),
    ('odd_names', ['a,b', 'c d', '\u00e4'], ['a,b', 'c d', '\u00e4']),
    (
        'many',
        [f'i-{number}' for number in range(MAX_TRIED + 2)],
        [f'i-{number}' for number in range(2, MAX_TRIED + 2)],
    ),
    ('long_names', ['a' * 256, *['%' * 256] * 20], ['%' * 256] * 10),
]
"""Targets that were tried, and those of them that the header names."""


class ForwardedAttemptTest(unittest.IsolatedAsyncioTestCase):
    """An instance forwards a request after an attempt at a target."""

    # Guards against a forwarded request that reaches the same target again,
    # so that the caller gets a success although the target failed it.
    @parameterized.expand(REACHED)
    async def test_no_other_target_is_left(
        self, _name: str, reply: Reply, status: int
    ) -> None:
        async with _cluster(reply, Reply.answer) as cluster:
            own, peer = cluster.own, cluster.peer
            known = [cluster.known, target_at('2', DEAD)]
            await own.open(peer, targets=known)
            await peer.open(own, targets=known)
            _know_targets(own, '2')
            _know_targets(peer, '2')
            answer = await _request(own.address)
        self.assertEqual(cluster.tried.request_ids, ['r-1'])
        self.assertEqual(answer.code, status)

    # Guards against requests that fail although another instance reaches a
    # target that has not got them.
    @parameterized.expand(REACHED)
    async def test_another_target_is_left(
        self, _name: str, reply: Reply, _status: int
    ) -> None:
        async with _cluster(reply, Reply.answer) as cluster:
            own, peer, other = cluster.own, cluster.peer, cluster.other
            await own.open(peer, targets=[cluster.known, target_at('2', DEAD)])
            await peer.open(
                own, targets=[cluster.known, target_at('2', other.address)]
            )
            _know_targets(own, '2')
            _know_targets(peer)
            answer = await _request(own.address)
        self.assertEqual((answer.code, answer.body), (200, b'2'))
        self.assertEqual(cluster.tried.request_ids, ['r-1'])
        self.assertEqual(other.request_ids, ['r-1'])

    # Guards against BUDGET: a request that reaches more targets than its route
    # permits, since the other instance does not count those that it leaves out.
    @parameterized.expand([('fail', Reply.fail), ('reset', Reply.reset)])
    async def test_attempts_that_are_left(
        self, _name: str, reply: Reply
    ) -> None:
        async with _cluster(reply) as cluster:
            own, peer = cluster.own, cluster.peer
            async with ScriptedTarget('2', reply) as second:
                await own.open(
                    peer, targets=[cluster.known, target_at('2', DEAD)]
                )
                await peer.open(
                    own,
                    targets=[
                        cluster.known,
                        target_at('2', second.address),
                        target_at('3', cluster.other.address),
                    ],
                )
                _know_targets(own, '2')
                _know_targets(peer)
                await _request(own.address)
        self.assertEqual(cluster.tried.request_ids, ['r-1'])
        reached = second.request_ids + cluster.other.request_ids
        self.assertEqual(reached, ['r-1'])

    # Guards against requests that fail since their only target was tried by
    # an instance that could not open a connection to it.
    async def test_unreached_target_is_left(self) -> None:
        async with _cluster(Reply.answer) as cluster:
            own, peer = cluster.own, cluster.peer
            await own.open(peer, targets=[target_at('1', DEAD)])
            await peer.open(own, targets=[cluster.known])
            for running in (own, peer):
                _know_targets(running)
            answer = await _request(own.address)
        self.assertEqual((answer.code, answer.body), (200, b'1'))

    # Guards against a target that gets the request once more over a second
    # instance, after the first one was told that it did not run.
    @parameterized.expand(REJECTED)
    async def test_second_instance(self, _name: str, reply: Reply) -> None:
        async with _cluster(reply, Reply.answer) as cluster:
            own, peer = cluster.own, cluster.peer
            with RunningEdge('second', 'tirol-b') as second:
                await own.open(peer, second, targets=[target_at('1', DEAD)])
                for running in (peer, second):
                    await running.open(own, targets=[cluster.known])
                    _know_targets(running)
                answer = await _request(own.address)
            self.assertGreaterEqual(own.count('forwarded'), 1)
        self.assertEqual(cluster.tried.request_ids, ['r-1'])
        self.assertEqual(answer.code, 503)
        self.assertEqual(answer.headers['Turmericmast-Ran'], 'no')

    # Guards against a target that gets the request once more from the first
    # instance, after another one was told that it did not run.
    @parameterized.expand(REJECTED)
    async def test_own_target_afterwards(
        self, _name: str, reply: Reply
    ) -> None:
        async with _cluster(reply, Reply.answer) as cluster:
            own, peer = cluster.own, cluster.peer
            lost = [target_at(name, DEAD) for name in '234']
            await own.open(peer, targets=[cluster.known, *lost])
            await peer.open(own, targets=[cluster.known])
            _know_targets(own, '2', '3', '4')
            _know_targets(peer)
            own.edge.update_reach(own.clock.now())
            answer = await _request(own.address)
            self.assertGreaterEqual(own.count('forwarded'), 1)
        self.assertEqual(cluster.tried.request_ids, ['r-1'])
        self.assertEqual(answer.code, 503)


class TriedHeaderTest(unittest.TestCase):
    """Instances of both builds understand each other."""

    # Guards against a malformed or endless header that ends a request.
    @parameterized.expand(HEADERS)
    def test_read(
        self, _name: str, text: str | None, expected: tuple[str, ...]
    ) -> None:
        headers = HTTPHeaders() if text is None else _tried_header(text)
        self.assertEqual(read_tried(headers, CALL), expected)

    # Guards against targets that a caller names through an older instance,
    # which passes unknown headers on.
    @parameterized.expand(
        [
            ('names_alone', 'a,b', CALL),
            ('another_request', 'ffff,a,b', CALL),
            ('no_request', ',a,b', CallId('')),
        ]
    )
    def test_names_of_a_caller(
        self, _name: str, text: str, call: CallId
    ) -> None:
        headers = HTTPHeaders({TRIED_HEADER: text})
        self.assertEqual(read_tried(headers, call), ())

    # Guards against a header that grows beyond what the receiver accepts.
    @parameterized.expand(TARGETS)
    def test_write(
        self, _name: str, targets: Sequence[str], expected: Sequence[str]
    ) -> None:
        written = tried_headers(CALL, tuple(map(TargetId, targets)))
        headers = HTTPHeaders(written)
        self.assertEqual(list(read_tried(headers, CALL)), expected)

    # Guards against instances that cannot read what an older one writes.
    def test_older_instance(self) -> None:
        forwarding = read_forwarding(OLDER_REQUEST)
        self.assertEqual(
            forwarding,
            Forwarding(CallId('0123456789abcdef'), 2, ServiceId('stock')),
        )
        headers = PeerHeaders(PlatformHeaders(), 'r', forwarding)
        metadata = headers.read_response(503, OLDER_REFUSAL)
        self.assertEqual(metadata.tried, ())
        self.assertTrue(metadata.is_not_run)

    # Guards against requests that an older instance reads differently.
    def test_request_without_tried_targets_is_that_of_an_older_one(
        self,
    ) -> None:
        headers = PeerHeaders(
            PlatformHeaders(), 'r', read_forwarding(OLDER_REQUEST)
        )
        added = headers.peer_headers(Seconds(1))
        self.assertEqual(
            added, (('X-Deadline-Ms', '1000'), *OLDER_REQUEST.get_all())
        )


class TriedTargetsTest(unittest.TestCase):
    """A target counts as reached unless no byte of the request was sent."""

    # Guards against targets that are left out although they got nothing, and
    # against those that are not left out although they did.
    def test_reached(self) -> None:
        tried = TriedTargets(map(TargetId, ('a', 'b')))
        for name in 'cd':
            tried.begin(TargetId(name), f'{name}:80')
        tried.mark_unreached(TargetId('c'))
        self.assertEqual(tried.reached, ('a', 'b', 'd'))
        self.assertEqual(sorted(tried), ['a', 'b', 'c', 'd'])
        tried.add_reached([TargetId('c'), TargetId('a')])
        self.assertEqual(tried.reached, ('a', 'b', 'd', 'c'))
        self.assertEqual(len(tried), 4)


class DeclinedRequestTest(unittest.TestCase):
    """An instance that declines one request still gets others.

    Guards against RECOVER: an instance whose only target had been tried seemed
    to have none for the service.
    """

    @parameterized.expand(
        [
            ('declined', PeerOutcome.declined, True),
            ('refused', PeerOutcome.refused, False),
        ]
    )
    def test_next_request(
        self, _name: str, outcome: PeerOutcome, is_chosen: bool
    ) -> None:
        own, other = map(instance, ('own', 'other'))
        membership = unittest.mock.create_autospec(Membership, instance=True)
        membership.edge_by_instance = {own.instance: own, other.instance: other}
        peers = Peers(own, membership)
        peers.begin(other.instance, NOW)
        peers.end(other.instance, ServiceId('stock'), outcome, NOW)
        chosen = peers.choose(ServiceId('stock'), (), (), NOW)
        self.assertIs(chosen, other if is_chosen else None)


@dataclasses.dataclass(frozen=True)
class _Cluster:
    """Two instances and two targets."""

    own: RunningEdge
    """The instance that gets the request of the caller."""
    peer: RunningEdge
    tried: ScriptedTarget
    other: ScriptedTarget

    @property
    def known(self) -> TargetRecord:
        """Return the record of the first target at its address."""
        return target_at('1', self.tried.address)


@contextlib.asynccontextmanager
async def _cluster(*replies: Reply) -> AsyncIterator[_Cluster]:
    """Run a cluster whose first target replies by ``replies``."""
    async with (
        ScriptedTarget('1', *replies) as tried,
        ScriptedTarget('2') as other,
    ):
        with (
            RunningEdge('own') as own,
            RunningEdge('peer', 'tirol-b') as peer,
        ):
            yield _Cluster(own, peer, tried, other)


def _know_targets(running: RunningEdge, *lost: str) -> None:
    """Let the paths to some targets be lost, and the others be verified.

    No request waits for a probe then.
    """
    now = running.clock.now()
    for view in running.edge.views():
        if view.record.target in lost:
            view.begin_request()
            view.end_request(Loss.never_sent, now)
        else:
            view.verify(Seconds(0), now)
            view.update_load(LoadReport(0, 0, view.record.slots), now)


def _tried_header(text: str) -> HTTPHeaders:
    return HTTPHeaders({TRIED_HEADER: f'{CALL},{text}'})


async def _request(address: str) -> HTTPResponse:
    return await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/stock/1',
            headers={
                'Host': 'shop.example',
                'X-Request-Id': 'r-1',
                'X-Deadline-Ms': '800',
            },
            request_timeout=2,
        ),
        raise_error=False,
    )
