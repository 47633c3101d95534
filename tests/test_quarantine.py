"""Requests that crash their targets: counted by the core, refused by edges."""

import asyncio
import unittest.mock
from typing import Any

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, standing, target
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import ReportCrash
from turmericmast.cluster.records import SuspectRecord
from turmericmast.cluster.suspects import MAX_SUSPECTS, MEMORY_MS, SuspectBook
from turmericmast.edge.quarantine import Quarantine
from turmericmast.web.crashwatch import TRIES, CrashWatch

LATER = MEMORY_MS + 1

REPORTS = [
    ('one_crash', [0], 1),
    ('sent_again_and_again', [0, 500, 1000], 3),
    ('forgotten_meanwhile', [0, LATER], 1),
    ('each_crash_renews_the_memory', [0, MEMORY_MS - 1, LATER], 3),
]

SUSPECTS = [
    ('unknown', [], 0, 0),
    ('two_crashes', [SuspectRecord('f', 2, 5000)], 0, 0),
    ('three_crashes', [SuspectRecord('f', 3, 5000)], 0, 5),
    ('another_request', [SuspectRecord('g', 3, 5000)], 0, 0),
    ('over', [SuspectRecord('f', 3, 5000)], 5000, 0),
    (
        'newest_record_counts',
        [SuspectRecord('f', 3, 5000), SuspectRecord('f', 1, 90_000)],
        0,
        0,
    ),
]

PROBES = [
    ('answer_was_lost', True, [], 0),
    ('target_is_gone', False, [True], 1),
    ('core_had_no_leader', False, [False, True], 2),
    ('core_never_takes_note', False, [False] * TRIES, TRIES),
]


class SuspectBookTest(unittest.TestCase):
    """Crashes of one request add up over all instances."""

    @parameterized.expand(REPORTS)
    def test_reports(self, _name: str, times: list[int], crashes: int) -> None:
        book = SuspectBook()
        for index, at_ms in enumerate(times):
            book.report(ReportCrash('f', at_ms), index + 1)
        found = tuple(book.table.record_by_key.values())
        self.assertEqual([one.crashes for one in found], [crashes])

    def test_flood_of_crashes_is_bounded(self) -> None:
        book = SuspectBook()
        for number in range(MAX_SUSPECTS + 5):
            book.report(ReportCrash(f'f{number}', 0), number + 1)
        self.assertEqual(len(book.table.record_by_key), MAX_SUSPECTS)
        self.assertNotIn('f0', book.table.record_by_key)

    def test_edge_that_starts_anew_learns_of_them(self) -> None:
        cluster = Cluster()
        for index in range(3):
            cluster.apply(index + 1, ReportCrash('f', 0))
        restored = Cluster()
        restored.restore(cluster.snapshot())
        for known in (cluster, restored):
            suspects = known.feed(0).suspects
            self.assertEqual([one.crashes for one in suspects], [3])


class QuarantineTest(unittest.TestCase):
    """An edge refuses what crashed three targets, for a while."""

    @parameterized.expand(SUSPECTS)
    def test_left(
        self,
        _name: str,
        told: list[SuspectRecord],
        wall_ms: int,
        left: float,
    ) -> None:
        quarantine = Quarantine()
        for record in told:
            quarantine.take([record])
        self.assertEqual(quarantine.left('f', wall_ms), left)

    def test_forgets(self) -> None:
        quarantine = Quarantine()
        quarantine.take([SuspectRecord('f', 3, 5000)])
        self.assertTrue(quarantine.has_suspects(4999))
        self.assertFalse(quarantine.has_suspects(5000))


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """A lost connection counts only if its target is gone."""

    @parameterized.expand(PROBES)
    async def test_probe_decides(
        self,
        _name: str,
        is_there: bool,
        taken: list[bool],
        told: int,
    ) -> None:
        prober: Any = unittest.mock.Mock()
        probed: asyncio.Future[bool] = asyncio.Future()
        probed.set_result(is_there)
        prober.start.return_value = probed
        tell = unittest.mock.AsyncMock(side_effect=taken)
        watch = CrashWatch(
            edge(instance('a'), feed(targets=(target('1'),))),
            prober,
            unittest.mock.Mock(wall=lambda: NOW),
            unittest.mock.Mock(),
            tell,
        )
        await watch.look(standing('1'), 'f')
        self.assertEqual(tell.await_count, told)
