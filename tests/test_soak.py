"""The fault soak: its checks see what they should, and a short run of it."""

import dataclasses
import unittest
from collections.abc import Callable

from parameterized import parameterized

from bench.soak import SEEDS_KEPT, play
from bench.soakrecord import Ran, Read, Record, Sent

SEED_OF_CI = 1
SECONDS_OF_CI = 4.0

GOOD = Sent(
    'r-1',
    '/order/r-1',
    is_order=True,
    edge='wien-a',
    began_at=10,
    ended_at=10.2,
    timeout=0.9,
    status=200,
    body='u-wien-a /order/r-1',
    echoed='r-1',
    is_signed=True,
)
RAN = Ran('/order/r-1', 'wien-a', 10.1)


def _record(*sent: Sent) -> Record:
    return Record(list(sent or [GOOD]), [RAN], [Read(20, 4)], [(9, 4)])


def _twice(record: Record) -> None:
    record.ran.append(RAN)


def _refused(record: Record) -> None:
    record.sent = [dataclasses.replace(GOOD, status=503)] * 4 + [GOOD] * 20


def _late(record: Record) -> None:
    record.sent.append(dataclasses.replace(GOOD, ended_at=11.5))


def _late_at_a_frozen_edge(record: Record) -> None:
    _late(record)
    record.faults.append(('wien-a', 9.5, 10.5))


def _foreign(record: Record) -> None:
    record.sent.append(dataclasses.replace(GOOD, echoed='r-2'))


def _cut_short(record: Record) -> None:
    record.sent.append(dataclasses.replace(GOOD, body='u-wien-a /ord'))


def _reverted(record: Record) -> None:
    record.reads.insert(0, Read(12, 3))


def _read_while_it_spreads(record: Record) -> None:
    record.reads.insert(0, Read(10.5, 3))


def _forgotten(record: Record) -> None:
    record.acked.append((19.5, 5))


def _emptied(record: Record) -> None:
    record.emptied.append(('wien-a', 4, 12))


def _emptied_just_now(record: Record) -> None:
    record.emptied.append(('wien-a', 6, 12))


def _down_for_good(record: Record) -> None:
    record.calm_since = 9
    record.sent += [dataclasses.replace(GOOD, status=599)] * 3


SCENES: list[tuple[str, Callable[[Record], None], list[str]]] = [
    ('ran_twice', _twice, ['at_most_once']),
    ('refused_and_ran', _refused, ['not_run_is_true']),
    ('late', _late, ['in_time']),
    ('late_at_a_frozen_edge', _late_at_a_frozen_edge, []),
    ('answer_to_another', _foreign, ['whole_answers']),
    ('cut_short', _cut_short, ['whole_answers']),
    ('version_went_back', _reverted, ['versions_never_revert']),
    ('version_still_spreads', _read_while_it_spreads, []),
    ('version_forgotten', _forgotten, ['acknowledged_survives']),
    ('emptied_domain', _emptied, ['evacuated']),
    ('emptied_just_now', _emptied_just_now, []),
    ('never_recovers', _down_for_good, ['recovers']),
]


class RecordTest(unittest.TestCase):
    """Each promise that is broken is found, and no other one."""

    @parameterized.expand(SCENES)
    def test_violations(
        self,
        _name: str,
        break_it: Callable[[Record], None],
        wanted: list[str],
    ) -> None:
        record = _record()
        self.assertFalse(any(record.violations().values()))
        break_it(record)
        found = record.violations()
        self.assertEqual([one for one, cases in found.items() if cases], wanted)


class SoakTest(unittest.TestCase):
    """A short soak, and every seed that ever failed."""

    @parameterized.expand(
        [(seed,) for seed in (SEED_OF_CI, *(one for one, _ in SEEDS_KEPT))],
    )
    def test_seed(self, seed: int) -> None:
        self.assertEqual(play(seed, SECONDS_OF_CI), {})
