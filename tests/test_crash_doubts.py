"""Targets that crash while an instance reaches few others, or none."""

import asyncio
import unittest.mock
from dataclasses import dataclass, replace
from typing import Any

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, target
from turmericmast.cluster.records import TargetRecord
from turmericmast.edge.crashdoubts import (
    COMMON_LOSS_TIME,
    DOUBT_LIFETIME,
    MAX_DOUBTS,
    CrashDoubts,
    LostRequest,
)
from turmericmast.ids import Seconds
from turmericmast.web.crashdetection import CrashDetector

FIRST = target('1')
SECOND = target('2')
THIRD = target('3')


def _restarted(record: TargetRecord, **changes: Any) -> TargetRecord:
    return replace(
        record, **{'born': record.born + 1, 'sequence': 1, **changes}
    )


def _lost(record: TargetRecord, *fingerprints: str, at: float = NOW) -> Any:
    return LostRequest(record, fingerprints, at, int(at * 1000))


@dataclass(frozen=True)
class Case:
    """Losses, records that come later, and the crashes that follow."""

    name: str
    losses: list[Any]
    records: list[TargetRecord]
    crashes: list[tuple[str, ...]]
    settled_after: float = 2


CASES = [
    Case(
        'starts_again_under_its_id',
        [_lost(FIRST, 'f')],
        [_restarted(FIRST)],
        [('f',)],
    ),
    Case(
        'starts_again_under_another_id',
        [_lost(FIRST, 'f', 'g')],
        [_restarted(FIRST, target='1_1')],
        [('f', 'g')],
    ),
    Case(
        'address_goes_to_another_service',
        [_lost(FIRST, 'f')],
        [_restarted(FIRST, target='x', service='other')],
        [],
    ),
    Case(
        'link_was_lost',
        [_lost(FIRST, 'f')],
        [replace(FIRST, sequence=9)],
        [],
    ),
    Case(
        'report_of_an_earlier_start',
        [_lost(FIRST, 'f')],
        [replace(FIRST, born=FIRST.born - 1)],
        [],
    ),
    Case(
        'starts_again_late',
        [_lost(FIRST, 'f')],
        [_restarted(FIRST)],
        [],
        DOUBT_LIFETIME + 0.1,
    ),
    Case(
        'all_targets_lose_power',
        [_lost(FIRST, 'f'), _lost(SECOND, 'g'), _lost(THIRD, 'f')],
        [_restarted(FIRST), _restarted(SECOND), _restarted(THIRD)],
        [],
    ),
    Case(
        'one_after_the_other',
        [
            _lost(FIRST, 'f', at=NOW),
            _lost(SECOND, 'f', at=NOW + 1.2),
            _lost(THIRD, 'f', at=NOW + 2.4),
        ],
        [_restarted(FIRST), _restarted(SECOND), _restarted(THIRD)],
        [('f',), ('f',), ('f',)],
        4,
    ),
    Case(
        'others_at_the_same_target',
        [_lost(FIRST, 'f'), _lost(FIRST, 'g')],
        [_restarted(FIRST)],
        [('f',), ('g',)],
    ),
    Case(
        'sent_again_at_once',
        [_lost(FIRST, 'f'), _lost(SECOND, 'f', at=NOW + 0.02)],
        [_restarted(FIRST), _restarted(SECOND)],
        [('f',)],
    ),
    Case(
        'same_requests_at_one_target',
        [_lost(FIRST, 'f'), _lost(FIRST, 'f'), _lost(FIRST, 'f')],
        [_restarted(FIRST)],
        [('f',)],
    ),
]


class CrashDoubtsTest(unittest.TestCase):
    """A target that starts again has crashed; one that goes on has not."""

    # Guards against a request that crashes targets and is never refused,
    # since most targets are down at a time (review/5, BUDGET), and against
    # refusing sound requests after a power loss or a cut.
    @parameterized.expand([(case.name, case) for case in CASES])
    def test_settle(self, _name: str, case: Case) -> None:
        doubts = CrashDoubts()
        crashes: list[Any] = []
        doubts.on_crash = lambda lost: crashes.append(lost.fingerprints)
        for lost in case.losses:
            doubts.note_loss(lost)
        for lost in case.losses:
            doubts.add(lost)
        doubts.settle(case.records, Seconds(NOW + case.settled_after))
        doubts.settle(case.records, Seconds(NOW + case.settled_after))
        self.assertEqual(crashes, case.crashes)

    def test_number_of_doubts_is_limited(self) -> None:
        doubts = CrashDoubts()
        crashes: list[Any] = []
        doubts.on_crash = crashes.append
        for number in range(MAX_DOUBTS + 5):
            doubts.add(_lost(target(str(number)), f'f{number}'))
        doubts.settle(
            [_restarted(target(str(number))) for number in range(MAX_DOUBTS)],
            NOW,
        )
        self.assertEqual(len(crashes), MAX_DOUBTS - 5)


class SilentTargetsTest(unittest.IsolatedAsyncioTestCase):
    """An instance reports a crash once the restart of the target shows it."""

    @parameterized.expand(
        [
            ('restart', _restarted(FIRST), 1),
            ('lost_link', replace(FIRST, sequence=9), 0),
        ]
    )
    async def test_no_other_target_answers(
        self, _name: str, record: TargetRecord, reports: int
    ) -> None:
        own_edge = edge(
            instance('a'), feed(instance('a'), targets=(FIRST, SECOND))
        )
        for view in own_edge.views():
            view.path.lose(NOW)
        silent: Any = asyncio.get_running_loop().create_future()
        silent.set_result(False)
        report_to_core = unittest.mock.AsyncMock(return_value=True)
        detector = CrashDetector(
            own_edge,
            unittest.mock.Mock(start=lambda *_: silent),
            unittest.mock.Mock(wall=lambda: NOW, now=lambda: NOW),
            unittest.mock.Mock(),
            report_to_core,
        )
        lost_view = own_edge.view(FIRST.target)
        assert lost_view is not None
        with unittest.mock.patch(
            'turmericmast.web.crashdetection.COMMON_LOSS_TIME',
            COMMON_LOSS_TIME / 100,
        ):
            await detector.check(lost_view, 'f')
        self.assertFalse(report_to_core.called)
        own_edge.crash_doubts.settle((record,), NOW)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(report_to_core.await_count, reports)
