"""Quarantine of requests that crash targets: counting, refusal, detection."""

import asyncio
import unittest.mock
from typing import Any

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, target, target_view
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.crashes import ReportCrash, SuspectRecord
from turmericmast.cluster.suspects import (
    MAX_SUSPECTS,
    SUSPECT_TTL_MS,
    SuspectRegistry,
)
from turmericmast.edge.quarantine import Quarantine
from turmericmast.web.crashdetection import MAX_REPORT_ATTEMPTS, CrashDetector

LATER = SUSPECT_TTL_MS + 1

REPORTS = [
    ('one_crash', [0], 1),
    ('three_crashes_in_a_row', [0, 500, 1000], 3),
    ('expired_in_between', [0, LATER], 1),
    ('each_crash_extends_the_expiry', [0, SUSPECT_TTL_MS - 1, LATER], 3),
]

SUSPECTS = [
    ('unknown', [], 0, 0),
    ('two_crashes', [SuspectRecord('f', 2, 5000)], 0, 0),
    ('three_crashes', [SuspectRecord('f', 3, 5000)], 0, 5),
    ('another_request', [SuspectRecord('g', 3, 5000)], 0, 0),
    ('expired', [SuspectRecord('f', 3, 5000)], 5000, 0),
    (
        'newest_record_counts',
        [SuspectRecord('f', 3, 5000), SuspectRecord('f', 1, 90_000)],
        0,
        0,
    ),
]

PROBES = [
    ('target_answers_the_probe', True, [], 0),
    ('target_crashed', False, [True], 1),
    ('core_had_no_leader', False, [False, True], 2),
    (
        'core_never_accepts',
        False,
        [False] * MAX_REPORT_ATTEMPTS,
        MAX_REPORT_ATTEMPTS,
    ),
]


class SuspectRegistryTest(unittest.TestCase):
    """Crashes of one request add up over all instances."""

    @parameterized.expand(REPORTS)
    def test_reports(self, _name: str, times: list[int], crashes: int) -> None:
        registry = SuspectRegistry()
        for index, at_ms in enumerate(times):
            registry.report(ReportCrash('f', at_ms), index + 1)
        records = tuple(registry.table.record_by_key.values())
        self.assertEqual([record.crashes for record in records], [crashes])

    def test_number_of_records_is_limited(self) -> None:
        registry = SuspectRegistry()
        for number in range(MAX_SUSPECTS + 5):
            registry.report(ReportCrash(f'f{number}', 0), number + 1)
        self.assertEqual(len(registry.table.record_by_key), MAX_SUSPECTS)
        self.assertNotIn('f0', registry.table.record_by_key)

    def test_complete_feed_includes_suspects(self) -> None:
        cluster = Cluster()
        for index in range(3):
            cluster.apply(index + 1, ReportCrash('f', 0))
        restored = Cluster()
        restored.restore(cluster.snapshot())
        for member in (cluster, restored):
            suspects = member.build_feed(0).suspects
            self.assertEqual([suspect.crashes for suspect in suspects], [3])


class QuarantineTest(unittest.TestCase):
    """An edge refuses a request after three crashes, until it expires."""

    @parameterized.expand(SUSPECTS)
    def test_time_left(
        self,
        _name: str,
        records: list[SuspectRecord],
        wall_ms: int,
        left: float,
    ) -> None:
        quarantine = Quarantine()
        for record in records:
            quarantine.update([record])
        self.assertEqual(quarantine.time_left('f', wall_ms), left)

    def test_expired_records_are_dropped(self) -> None:
        quarantine = Quarantine()
        quarantine.update([SuspectRecord('f', 3, 5000)])
        self.assertTrue(quarantine.has_suspects(4999))
        self.assertFalse(quarantine.has_suspects(5000))


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    """A lost connection counts as a crash only if a probe fails, too."""

    @parameterized.expand(PROBES)
    async def test_probe_decides(
        self,
        _name: str,
        has_answered: bool,
        replies: list[bool],
        reports: int,
    ) -> None:
        prober: Any = unittest.mock.Mock()
        probed: asyncio.Future[bool] = asyncio.Future()
        probed.set_result(has_answered)
        prober.start.return_value = probed
        report_to_core = unittest.mock.AsyncMock(side_effect=replies)
        detector = CrashDetector(
            edge(instance('a'), feed(targets=(target('1'),))),
            prober,
            unittest.mock.Mock(wall=lambda: NOW, now=lambda: NOW),
            unittest.mock.Mock(),
            report_to_core,
        )
        await detector.check(target_view('1'), 'f')
        self.assertEqual(report_to_core.await_count, reports)
