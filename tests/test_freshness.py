"""Proofs that an instance lacks no acknowledged change, without a network."""

import asyncio
import dataclasses
import math
import types
import unittest.mock
import zlib
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success

from tests.edge_samples import REGION_BY_DOMAIN, SkewedClock, feed, instance
from turmericmast.cluster.records import RoutesRecord
from turmericmast.edge.edge import Edge
from turmericmast.edge.freshness import Freshness
from turmericmast.exceptions import NotLeaderError
from turmericmast.ids import Digest, MemberId, Version
from turmericmast.instancesettings import Bounds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusterwatcher import ClusterWatcher
from turmericmast.programs.readproofs import (
    ASK_INTERVAL,
    RETRY_INTERVAL,
    ReadProofs,
)
from turmericmast.replica.readproof import ReadProof
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire import codec
from turmericmast.wire.generated import ttypes
from turmericmast.wire.watchrequests import (
    PackedCluster,
    WatchCluster,
    WatchedCluster,
)

MEMBER = MemberId('10.0.0.1:7')
BOUND = 5
LATE = 3600
"""Seconds for which a process is frozen."""
OLDER_FIELDS = 4
"""Length of the list of fields that older builds know, which begins with 0."""

PROOFS = [
    # name, (time of asking, age at the member, now) of each answer, proof
    ('none', [], -math.inf),
    ('at_once', [(10, 0, 10.1)], 10),
    ('age_of_the_member', [(10, 2, 10.1)], 8),
    ('late_answer', [(10, 1, 60)], 9),
    ('older_answer_last', [(10, 1, 10.1), (4, 0, 10.2)], 9),
    ('asked_in_the_future', [(11, 0, 10)], -math.inf),
    ('negative_age', [(10, -4, 10)], -math.inf),
]
READS = [
    # name, (time of asking, index of the leader) of each answer, applied, proof
    ('none', [], 9, -math.inf),
    ('applied', [(10, 9)], 9, 10),
    ('not_yet_applied', [(10, 9)], 8, -math.inf),
    ('earlier_one_applied', [(10, 7), (11, 9)], 8, 10),
    ('answers_out_of_order', [(11, 9), (10, 9)], 9, 11),
]


def _answer(
    clock: SkewedClock, index: int = 1, proof_ms: int | None = 40
) -> WatchedCluster:
    """Return the answer to a poll that is sent now."""
    return WatchedCluster(
        feed(instance('a'), index=index),
        (),
        0,
        proof_ms,
        int(clock.now() * MILLIS_PER_SECOND),
    )


def _watcher(clock: SkewedClock) -> ClusterWatcher:
    watched_edge = Edge(
        instance('a'), REGION_BY_DOMAIN, Bounds(revocation=BOUND)
    )
    process: Any = types.SimpleNamespace(
        clock=clock,
        events=unittest.mock.Mock(),
        settings=types.SimpleNamespace(is_first_start=False),
    )
    return ClusterWatcher(
        process, watched_edge, DocumentFormat(), unittest.mock.Mock()
    )


class FreshnessTest(unittest.TestCase):
    """The proof of an instance is never later than it can be."""

    @parameterized.expand(PROOFS)
    def test_proof(
        self, _name: str, answers: list[Any], expected: float
    ) -> None:
        freshness = Freshness()
        for asked_at, age, now in answers:
            freshness.record_proof(asked_at, age, now)
        self.assertEqual(freshness.proven_at, expected)

    @parameterized.expand([('before', 4.9, True), ('after', 5, False)])
    def test_bound(self, _name: str, age: float, fresh: bool) -> None:
        freshness = Freshness()
        self.assertFalse(freshness.is_fresh(10, BOUND))
        freshness.record_proof(10, 0, 10)
        self.assertEqual(freshness.is_fresh(10 + age, BOUND), fresh)

    @parameterized.expand(READS)
    def test_member(
        self, _name: str, answers: list[Any], applied: int, expected: float
    ) -> None:
        proof = ReadProof()
        for asked_at, index in answers:
            proof.record(asked_at, index)
        self.assertEqual(proof.proven_at(applied), expected)


class WatcherProofTest(unittest.TestCase):
    """An edge takes the proof of answers whose changes it has applied."""

    def setUp(self) -> None:
        """Make an edge that has a proof and a view of index 3."""
        self.clock = SkewedClock()
        self.watcher = _watcher(self.clock)
        self.freshness = self.watcher._edge.key_fence.freshness
        self.watcher._use_answer(MEMBER, _answer(self.clock, 3))
        self.first = self.freshness.proven_at

    def test_age_at_the_member(self) -> None:
        self.assertAlmostEqual(self.first, self.clock.now() - 0.04, delta=0.03)

    @parameterized.expand(
        [
            # name, index and proof of the answer, whether it proves anything
            ('same_index', 3, 0, True),
            ('newer', 4, 0, True),
            # Guards against a member that resumed and lacks changes.
            ('behind', 2, 0, False),
            # Guards against a member that lost contact to the majority.
            ('no_proof', 4, None, False),
            ('old_proof', 4, 60_000, False),
        ]
    )
    def test_answer(
        self, _name: str, index: int, proof_ms: int | None, proves: bool
    ) -> None:
        self.clock.offset = 1
        self.watcher._use_answer(MEMBER, _answer(self.clock, index, proof_ms))
        self.assertEqual(self.freshness.proven_at > self.first, proves)

    def test_answer_of_an_older_member(self) -> None:
        self.watcher._use_answer(MEMBER, WatchedCluster(feed(index=4), (), 0))
        self.assertEqual(self.watcher._edge.index, 4)
        self.assertEqual(self.freshness.proven_at, self.first)

    # Guards against a frozen edge: an answer that came before it was frozen
    # was read after it.
    def test_late_answer(self) -> None:
        answer = _answer(self.clock, 4)
        self.clock.offset = LATE
        self.watcher._use_answer(MEMBER, answer)
        self.assertFalse(self.freshness.is_fresh(self.clock.now(), BOUND))

    # Guards against a version that only newer builds can read and that revokes
    # a key: this edge still has the older one.
    def test_unreadable_routes(self) -> None:
        self.clock.offset = 1
        answer = _answer(self.clock, 4)
        routes = RoutesRecord(Version(9), Digest('d'), zlib.compress(b'{'))
        odd_feed = dataclasses.replace(answer.feed, routes=routes)
        odd = dataclasses.replace(answer, feed=odd_feed)
        self.watcher._use_answer(MEMBER, odd)
        self.watcher._use_answer(MEMBER, _answer(self.clock, 4))
        self.assertEqual(self.freshness.proven_at, self.first)


class MessageTest(unittest.TestCase):
    """Older processes read the new messages, and the reverse."""

    @parameterized.expand(
        [
            ('poll', WatchCluster(instance('a'), 3, packed=True), 'asked_ms'),
            ('answer', WatchedCluster(feed(), (), 7), 'proof_ms'),
            ('packed', PackedCluster(b'', (), 7), 'proof_ms'),
        ]
    )
    def test_older_build(self, _name: str, message: Any, new: str) -> None:
        newer = dataclasses.replace(message, **{new: 9})
        octets = codec.encode(newer)
        self.assertEqual(codec.decode(octets).unwrap(), newer)
        without = codec.encode(message)
        self.assertIsNone(getattr(codec.decode(without).unwrap(), new))
        struct = getattr(ttypes, type(message).__name__)
        fields_in_body = next(
            spec[3]
            for spec in ttypes.Body.thrift_spec
            if spec and spec[3][0] is struct
        )
        self.addCleanup(fields_in_body.__setitem__, 1, fields_in_body[1])
        fields_in_body[1] = fields_in_body[1][:OLDER_FIELDS]
        self.assertEqual(codec.decode(octets).unwrap(), message)


class MemberProofTest(unittest.IsolatedAsyncioTestCase):
    """A member asks the leader only while edges want a proof."""

    def setUp(self) -> None:
        """Make a member that has applied index 4."""
        self.clock = SkewedClock()
        self.group: Any = types.SimpleNamespace(
            is_leader=False,
            applied_index=4,
            replica=types.SimpleNamespace(
                state=types.SimpleNamespace(commit=4)
            ),
        )
        self.answer: Any = Success(4)
        self.asked = 0
        self.proofs = ReadProofs(self.clock, self.group, self._ask)

    async def _ask(self, _timeout: float) -> Any:
        self.asked += 1
        return self.answer

    async def _refresh(self) -> int | None:
        self.proofs.refresh()
        await asyncio.sleep(0)
        await self.proofs.wait()
        return self.proofs.age_ms()

    async def test_asks_are_few(self) -> None:
        for _ in range(20):
            self.assertLess(await self._refresh() or LATE, 100)
        self.assertEqual(self.asked, 1)
        self.clock.offset = ASK_INTERVAL
        await self._refresh()
        self.assertEqual(self.asked, 2)

    @parameterized.expand(
        [
            ('no_leader', Failure(NotLeaderError('m', step='s', hint='h'))),
            ('behind', Success(5)),
        ]
    )
    async def test_no_proof(self, _name: str, answer: Any) -> None:
        self.answer = answer
        self.assertIsNone(await self._refresh())

    async def test_proof_once_applied(self) -> None:
        self.answer = Success(5)
        await self._refresh()
        self.clock.offset = 0.3
        self.group.applied_index = 5
        age = self.proofs.age_ms()
        self.assertGreaterEqual(age or 0, 300)

    # Guards against a member that stays without a proof after an election, or
    # that takes the refusal of a former leader for an answer.
    async def test_leader_changes(self) -> None:
        await self._refresh()
        self.answer = Failure(NotLeaderError('m', step='s', hint='h'))
        self.clock.offset = 1.5
        self.assertGreaterEqual(await self._refresh() or 0, 1500)
        self.answer = Success(4)
        self.clock.offset = 1.5 + RETRY_INTERVAL + 0.01
        self.assertLess(await self._refresh() or LATE, 100)

    # Guards against a frozen member whose proof seems young.
    async def test_frozen_member(self) -> None:
        await self._refresh()
        self.clock.offset = LATE
        age = self.proofs.age_ms()
        self.assertGreaterEqual(age or 0, LATE * MILLIS_PER_SECOND)

    async def test_leader_needs_no_request(self) -> None:
        self.group.is_leader = True
        self.assertLess(self.proofs.age_ms() or 0, 100)
        self.group.is_leader = False
        self.clock.offset = 2
        self.assertGreaterEqual(self.proofs.age_ms() or 0, 2000)


if __name__ == '__main__':
    unittest.main()
