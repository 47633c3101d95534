"""The soak test: each check finds its violation, and a short run has none."""

import dataclasses
import unittest
from collections.abc import Callable

from parameterized import parameterized

from bench.soak import REGRESSION_SEEDS, run_seed
from bench.soakrecord import CallerRequest, Execution, SoakRecord, VersionRead
from bench.targetwishes import Arrival, FaultSpan

SEED_OF_CI = 1
SECONDS_OF_CI = 4.0
"""Seconds of the part with faults."""

GOOD_REQUEST = CallerRequest(
    'r-1',
    '/order/r-1',
    is_unsafe=True,
    edge_domain='wien-a',
    started_at=10,
    ended_at=10.2,
    timeout=0.9,
    status=200,
    body='u-wien-a /order/r-1',
    answered_id='r-1',
    is_signed=True,
)
EXECUTION = Execution('/order/r-1', 'wien-a', 10.1)


def _sample_record(*requests: CallerRequest) -> SoakRecord:
    return SoakRecord(
        list(requests or [GOOD_REQUEST]),
        [EXECUTION],
        [VersionRead(20, 4)],
        [(9, 4)],
    )


def _run_twice(record: SoakRecord) -> None:
    record.executions.append(EXECUTION)


def _run_though_refused(record: SoakRecord) -> None:
    record.requests = [dataclasses.replace(GOOD_REQUEST, status=503)] * 4 + [
        GOOD_REQUEST
    ] * 20


def _late_answer(record: SoakRecord) -> None:
    record.requests.append(dataclasses.replace(GOOD_REQUEST, ended_at=11.5))


def _late_at_suspended_edge(record: SoakRecord) -> None:
    _late_answer(record)
    record.edge_faults.append(('wien-a', 9.5, 10.5))


def _answer_of_other_request(record: SoakRecord) -> None:
    record.requests.append(dataclasses.replace(GOOD_REQUEST, answered_id='r-2'))


def _truncated_answer(record: SoakRecord) -> None:
    record.requests.append(
        dataclasses.replace(GOOD_REQUEST, body='u-wien-a /ord')
    )


def _older_read(record: SoakRecord) -> None:
    record.version_reads.insert(0, VersionRead(12, 3))


def _older_read_during_propagation(record: SoakRecord) -> None:
    record.version_reads.insert(0, VersionRead(10.5, 3))


def _lost_version(record: SoakRecord) -> None:
    record.acknowledged_versions.append((19.5, 5))


def _run_in_evacuated_domain(record: SoakRecord) -> None:
    record.evacuations.append(('wien-a', 4, 12))


def _run_during_evacuation(record: SoakRecord) -> None:
    record.evacuations.append(('wien-a', 6, 12))


def _send_to_leaving(record: SoakRecord, later: float, born: int = 1) -> None:
    record.requests += [
        dataclasses.replace(
            GOOD_REQUEST,
            path=f'/look/{number}',
            body=f'u-wien-a /look/{number}',
            is_unsafe=False,
            started_at=started_at,
            ended_at=started_at + 0.1,
        )
        for number, started_at in enumerate((10, 10 + later))
    ]
    record.arrivals += [
        Arrival('/look/0', 'wien-a', 1, 10, was_leaving=True),
        Arrival('/look/1', 'wien-a', born, 10 + later, was_leaving=True),
    ]


def _sent_to_leaving(record: SoakRecord) -> None:
    _send_to_leaving(record, 2.2)


def _sent_to_leaving_early(record: SoakRecord) -> None:
    _send_to_leaving(record, 2.0)


def _sent_to_new_incarnation(record: SoakRecord) -> None:
    _send_to_leaving(record, 9, born=2)


def _sent_to_leaving_after_fault(record: SoakRecord) -> None:
    _send_to_leaving(record, 9)
    record.edge_faults.append(('wien-a', 14, 15))


def _send_in_pause(record: SoakRecord, *times: float) -> None:
    record.arrivals += [
        Arrival(GOOD_REQUEST.path, 'wien-a', 1, 10, pause=2),
        *(Arrival(GOOD_REQUEST.path, 'wien-a', 1, 10 + time) for time in times),
    ]


def _sent_in_pause(record: SoakRecord) -> None:
    _send_in_pause(record, 0.6, 1, 1.9)


def _sent_as_pause_begins(record: SoakRecord) -> None:
    _send_in_pause(record, 0.1, 0.2, 0.3, 0.6, 0.7)


def _sent_after_pause(record: SoakRecord) -> None:
    _send_in_pause(record, 2, 2.1, 2.2, 2.3)


def _sent_in_pause_after_cut(record: SoakRecord) -> None:
    _sent_in_pause(record)
    record.link_faults.append(FaultSpan('wien-a', 9, 10.5))


def _not_recovered(record: SoakRecord) -> None:
    record.recovered_by = 9
    record.requests += [dataclasses.replace(GOOD_REQUEST, status=599)] * 3


VIOLATIONS: list[tuple[str, Callable[[SoakRecord], None], list[str]]] = [
    ('ran_twice', _run_twice, ['at_most_once']),
    ('run_though_refused', _run_though_refused, ['not_run_is_true']),
    ('late', _late_answer, ['in_time']),
    ('late_at_suspended_edge', _late_at_suspended_edge, []),
    ('answer_of_other_request', _answer_of_other_request, ['whole_answers']),
    ('truncated_answer', _truncated_answer, ['whole_answers']),
    ('older_version_read', _older_read, ['versions_never_revert']),
    (
        'older_version_read_during_propagation',
        _older_read_during_propagation,
        [],
    ),
    ('version_lost', _lost_version, ['acknowledged_survives']),
    ('run_in_evacuated_domain', _run_in_evacuated_domain, ['evacuated']),
    ('run_during_evacuation', _run_during_evacuation, []),
    ('sent_to_a_leaving_target', _sent_to_leaving, ['leaving_targets_rest']),
    ('sent_to_a_new_incarnation', _sent_to_new_incarnation, []),
    ('sent_to_a_leaving_target_early', _sent_to_leaving_early, []),
    ('sent_after_a_restart', _sent_to_leaving_after_fault, []),
    ('sent_in_a_pause', _sent_in_pause, ['pauses_hold']),
    ('sent_as_a_pause_begins', _sent_as_pause_begins, []),
    ('sent_after_a_pause', _sent_after_pause, []),
    ('sent_in_a_pause_after_a_cut', _sent_in_pause_after_cut, []),
    ('never_recovers', _not_recovered, ['recovers']),
]


class SoakRecordTest(unittest.TestCase):
    """A violation is reported for its guarantee and for no other one."""

    @parameterized.expand(VIOLATIONS)
    def test_violations(
        self,
        _name: str,
        add_violation: Callable[[SoakRecord], None],
        expected: list[str],
    ) -> None:
        record = _sample_record()
        self.assertFalse(any(record.violations().values()))
        add_violation(record)
        violations = record.violations()
        self.assertEqual(
            [guarantee for guarantee, cases in violations.items() if cases],
            expected,
        )


class SoakTest(unittest.TestCase):
    """A short run of the CI seed and of every seed that failed before."""

    @parameterized.expand(
        [
            (seed,)
            for seed in (SEED_OF_CI, *(seed for seed, _ in REGRESSION_SEEDS))
        ],
    )
    def test_seed(self, seed: int) -> None:
        self.assertEqual(run_seed(seed, SECONDS_OF_CI), {})
