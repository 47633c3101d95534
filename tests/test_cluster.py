"""The cluster aggregate: targets, route versions, feeds and liveness."""

import unittest

from parameterized import parameterized
from returns.result import Failure, Success

from turmericmast.cluster import commands
from turmericmast.cluster.changetable import MAX_REMOVALS, ChangeTable
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.liveness import LivenessTracker
from turmericmast.cluster.records import (
    EdgePhase,
    EdgeRecord,
    RoutesRecord,
    TargetPhase,
    TargetRecord,
)


def record(
    target: str = 'a',
    born: int = 10,
    sequence: int = 1,
    address: str = '10.0.0.1:80',
    phase: TargetPhase = TargetPhase.ready,
) -> TargetRecord:
    """Return the record of a target of the service ``stock``."""
    return TargetRecord(
        target,
        born,
        sequence,
        'stock',
        address,
        'tirol-a',
        4,
        phase,
    )


def routes(version: int, digest: str = 'd') -> RoutesRecord:
    """Return a route version whose digest starts with ``digest``."""
    return RoutesRecord(version, f'{digest}{version}', b'source')


DRAINING = TargetPhase.draining

REPORTS = [
    ('same_report_again', [record(), record()], {'a': record()}),
    (
        'heartbeat_without_change',
        [record(), record(sequence=2)],
        {'a': record()},
    ),
    (
        'draining',
        [record(), record(sequence=2, phase=DRAINING)],
        {'a': record(sequence=2, phase=DRAINING)},
    ),
    (
        'delayed_ready_after_draining',
        [record(sequence=5, phase=DRAINING), record(sequence=4)],
        {'a': record(sequence=5, phase=DRAINING)},
    ),
    (
        'restart_under_the_same_id',
        [record(sequence=9, phase=DRAINING), record(born=11)],
        {'a': record(born=11)},
    ),
    (
        'delayed_report_of_an_earlier_start',
        [record(born=11), record(sequence=99, phase=DRAINING)],
        {'a': record(born=11)},
    ),
    (
        'address_taken_over_by_a_later_start',
        [record(), record('b', born=11)],
        {'b': record('b', born=11)},
    ),
    (
        'delayed_report_for_a_reused_address',
        [record('b', born=11), record(sequence=7)],
        {'b': record('b', born=11)},
    ),
]

PROPOSALS = [
    ('first', [(1, 0, 'd')], 1, True),
    ('version_number_skipped', [(1, 0, 'd'), (9, 1, 'd')], 9, True),
    ('sent_again', [(1, 0, 'd'), (1, 0, 'd')], 1, True),
    (
        'sent_again_after_a_later_one',
        [(1, 0, 'd'), (4, 1, 'd'), (1, 0, 'd')],
        4,
        True,
    ),
    ('other_content_of_same_version', [(1, 0, 'd'), (1, 0, 'e')], 1, False),
    ('other_version_from_same_base', [(1, 0, 'd'), (3, 0, 'e')], 1, False),
    ('same_version_as_current', [(5, 0, 'd'), (5, 5, 'e')], 5, False),
    ('lower_version', [(5, 0, 'd'), (3, 5, 'e')], 5, False),
]


class TargetRegistryTest(unittest.TestCase):
    """Reports in any order leave the record of the newest start."""

    @parameterized.expand(REPORTS)
    def test_reports(
        self,
        _name: str,
        reports: list[TargetRecord],
        known: dict[str, TargetRecord],
    ) -> None:
        cluster = Cluster()
        for index, report in enumerate(reports, start=1):
            cluster.apply(index, commands.ReportTarget(report))
        self.assertEqual(cluster.registry.table.record_by_key, known)

    @parameterized.expand(
        [
            ('delayed_report', record(sequence=99), False),
            ('new_start', record(born=11), True),
        ],
    )
    def test_reports_after_leaving(
        self,
        _name: str,
        report: TargetRecord,
        is_known: bool,
    ) -> None:
        cluster = Cluster()
        cluster.apply(1, commands.ReportTarget(record()))
        cluster.apply(2, commands.RemoveTargets(('a',)))
        cluster.apply(3, commands.ReportTarget(report))
        self.assertEqual('a' in cluster.registry.table.record_by_key, is_known)


class RouteVersionsTest(unittest.TestCase):
    """Versions build on each other; accepted ones may be sent again."""

    @parameterized.expand(PROPOSALS)
    def test_proposals(
        self,
        _name: str,
        proposals: list[tuple[int, int, str]],
        version: int,
        is_accepted: bool,
    ) -> None:
        cluster = Cluster()
        outcomes = [
            cluster.apply(
                index,
                commands.ProposeRoutes(routes(number, digest), base),
            )
            for index, (number, base, digest) in enumerate(proposals, start=1)
        ]
        self.assertEqual(cluster.route_versions.current.version, version)
        kind = Success if is_accepted else Failure
        self.assertIsInstance(outcomes[-1], kind)


class FeedTest(unittest.TestCase):
    """A reader gets the changes, or the whole state if these are unknown."""

    def setUp(self) -> None:
        self.cluster = Cluster()
        for index, command in enumerate(
            (
                commands.ReportTarget(record()),
                commands.ReportTarget(record('b', address='10.0.0.2:80')),
                commands.RemoveTargets(('a',)),
                commands.ProposeRoutes(routes(1), 0),
                commands.SetEvacuation('tirol-a', evacuated=True),
            ),
            start=1,
        ):
            self.cluster.apply(index, command)

    @parameterized.expand(
        [
            ('new_reader', 0, True, ['b'], [], True),
            ('knows_the_first_change', 1, False, ['b'], ['a'], True),
            ('knows_the_removal', 3, False, [], [], True),
            ('knows_all_changes', 5, False, [], [], False),
            ('ahead_of_this_member', 9, False, [], [], False),
        ],
    )
    def test_feed_since(
        self,
        _name: str,
        known: int,
        complete: bool,
        targets: list[str],
        removed: list[str],
        has_routes: bool,
    ) -> None:
        feed = self.cluster.build_feed(known)
        self.assertIs(feed.complete, complete)
        self.assertEqual([listed.target for listed in feed.targets], targets)
        self.assertEqual(list(feed.removed_targets), removed)
        self.assertIs(feed.routes is not None, has_routes)
        self.assertEqual(feed.evacuated, ('tirol-a',))

    def test_restored_cluster_has_the_same_state(self) -> None:
        restored = Cluster()
        restored.restore(self.cluster.snapshot())
        self.assertEqual(restored.snapshot(), self.cluster.snapshot())
        again = restored.apply(6, commands.ProposeRoutes(routes(1), 0))
        self.assertEqual(again, Success(False))
        restored.apply(7, commands.ReportTarget(record(sequence=9)))
        self.assertNotIn('a', restored.registry.table.record_by_key)

    def test_set_and_dropped_edges_are_in_the_feed(self) -> None:
        edge = EdgeRecord(
            'e',
            '1',
            '10.0.0.3:80',
            'tirol-a',
            'tirol',
            EdgePhase.serving,
            '10.0.0.3:81',
        )
        self.cluster.apply(6, commands.SetEdge(edge))
        self.assertEqual(self.cluster.build_feed(5).edges, (edge,))
        self.cluster.apply(7, commands.SetEdge(edge))
        self.assertEqual(self.cluster.index, 6)
        self.cluster.apply(8, commands.DropEdges(('e',)))
        self.assertEqual(self.cluster.build_feed(6).removed_edges, ('e',))

    def test_oldest_removals_can_no_longer_be_listed(self) -> None:
        table: ChangeTable[str, int] = ChangeTable()
        for number in range(MAX_REMOVALS + 2):
            table.set('k', number, 2 * number + 1)
            table.remove('k', 2 * number + 2)
        self.assertGreater(table.complete_since, 0)


class LivenessTrackerTest(unittest.TestCase):
    """Silence counts from the last sign of life, or from the first check."""

    @parameterized.expand(
        [
            ('alive', {'a': 10.0}, 12, ()),
            ('silent', {'a': 10.0}, 14, ('a',)),
            ('unknown_counts_as_alive_now', {}, 99, ()),
        ],
    )
    def test_silence(
        self,
        _name: str,
        heard: dict[str, float],
        now: float,
        silent: tuple[str, ...],
    ) -> None:
        tracker: LivenessTracker[str] = LivenessTracker(3)
        for key, at in heard.items():
            tracker.record_alive((key,), at)
        self.assertEqual(tracker.silent(('a',), now), silent)
        is_silent = tracker.silence('a', now) > 3
        self.assertIs(is_silent, bool(silent))
