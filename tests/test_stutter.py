"""The stutter trial: the judge finds each fault, and short trials have none."""

import dataclasses
import pathlib
import random
import tempfile
import unittest
from collections.abc import Callable

from parameterized import parameterized

from bench.stutter import Response, Shares
from bench.stutterjudge import REPORTED_ONLY, Fault, Judge
from bench.stutterrecord import (
    Answer,
    Before,
    CallId,
    Cut,
    Digest,
    Ending,
    HealthAnswer,
    Kind,
    Run,
    Signature,
    StutterRecord,
    Timing,
)
from bench.stuttertrial import TrialSize, run_trial

BODY = b'the body of the run'
RUN = Run(
    CallId('00000000000000a1'),
    'i-1',
    3,
    Kind.unsafe,
    Signature('i-1.1.200'),
    200,
    Digest.of(BODY),
    10.1,
    Ending.whole,
)
OTHER_RUN = dataclasses.replace(
    RUN,
    call=CallId('00000000000000a2'),
    signature=Signature('i-1.2.500'),
    status=500,
    at=12.1,
)
ANSWER = Answer(
    RUN.call,
    Kind.unsafe,
    'edge-1',
    200,
    RUN.call,
    RUN.signature,
    RUN.digest,
    is_whole=True,
    at=10.0,
)
UNHEALTHY = HealthAnswer('i-1', 3, 503, 9.5, Before.part)


def _change_answer(**fields: object) -> Callable[[StutterRecord], None]:
    def change(record: StutterRecord) -> None:
        record.answers[0] = dataclasses.replace(ANSWER, **fields)

    return change


def _change_run(**fields: object) -> Callable[[StutterRecord], None]:
    def change(record: StutterRecord) -> None:
        record.runs[0] = dataclasses.replace(RUN, **fields)

    return change


def _add_run(**fields: object) -> Callable[[StutterRecord], None]:
    def change(record: StutterRecord) -> None:
        again = dataclasses.replace(
            RUN, signature=Signature('i-2.1.200'), at=10.2
        )
        record.runs.append(dataclasses.replace(again, **fields))

    return change


def _add_health(**fields: object) -> Callable[[StutterRecord], None]:
    def change(record: StutterRecord) -> None:
        record.health_answers.append(dataclasses.replace(UNHEALTHY, **fields))

    return change


def _check_twice(record: StutterRecord) -> None:
    checked_again = dataclasses.replace(
        UNHEALTHY, connection=9, status=200, at=10.05, before=Before.nothing
    )
    record.health_answers += [UNHEALTHY, checked_again]


FAULTS: list[tuple[str, Callable[[StutterRecord], None], list[Fault]]] = [
    (
        'success_for_a_failure',
        _change_run(status=500),
        [Fault.success_for_failure],
    ),
    (
        'success_for_a_rejection',
        _change_run(status=404),
        [Fault.success_for_failure],
    ),
    (
        'success_for_a_run_without_response',
        _change_run(status=0),
        [Fault.success_for_failure],
    ),
    (
        'success_without_signature',
        _change_answer(signature=''),
        [Fault.unsigned_success],
    ),
    (
        'success_with_a_signature_of_no_run',
        _change_answer(signature='i-1.9'),
        [Fault.unsigned_success],
    ),
    (
        'success_with_the_id_of_another_call',
        _change_answer(answered_call=OTHER_RUN.call),
        [Fault.success_of_other_call],
    ),
    (
        'success_with_the_signature_of_another_call',
        _change_run(call=CallId('00000000000000a3')),
        [Fault.success_of_other_call],
    ),
    (
        'filled_up_body',
        _change_answer(digest=Digest.of(BODY[:5] + b'HTTP/1.1 200 O')),
        [Fault.other_body],
    ),
    (
        'longer_body',
        _change_answer(digest=Digest.of(BODY + b'HTTP')),
        [Fault.longer_body],
    ),
    (
        'shorter_body',
        _change_answer(digest=Digest.of(BODY[:-1])),
        [Fault.shorter_body],
    ),
    (
        'incomplete_body',
        _change_answer(is_whole=False, digest=Digest(0, 0)),
        [],
    ),
    ('no_answer', _change_answer(status=0, signature='', is_whole=False), []),
    (
        'failure_for_a_success',
        _change_answer(status=500),
        [Fault.failure_for_other_status],
    ),
    (
        'own_failure_of_the_instance',
        _change_answer(status=502, signature=''),
        [],
    ),
    (
        'success_of_a_run_interrupted_in_its_second_response',
        _change_run(ending=Ending.second),
        [Fault.success_of_interrupted_run],
    ),
    (
        'success_of_a_run_interrupted_before_its_second_response',
        _change_run(ending=Ending.between),
        [],
    ),
    (
        'success_and_a_later_interrupted_run_at_the_target',
        _add_run(ending=Ending.second, kind=Kind.safe),
        [
            Fault.success_of_interrupted_run,
            Fault.same_target_twice,
            Fault.unsafe_twice,
        ],
    ),
    (
        'run_twice_at_one_target',
        _add_run(),
        [Fault.same_target_twice, Fault.unsafe_twice],
    ),
    ('order_run_at_two_targets', _add_run(target='i-2'), [Fault.unsafe_twice]),
    (
        'refusal_of_a_call_that_ran',
        _change_answer(status=429, signature=''),
        [Fault.refused_but_run],
    ),
    (
        'rejection_of_a_call_that_ran',
        _change_answer(status=503),
        [Fault.failure_for_other_status, Fault.refused_but_run],
    ),
    (
        'used_after_a_joined_health_answer',
        _add_health(),
        [Fault.joined_health],
    ),
    ('used_after_another_check', _check_twice, []),
    ('used_after_a_plain_health_answer', _add_health(before=Before.whole), []),
    ('used_at_once_after_a_health_answer', _add_health(at=10.05), []),
    ('healthy_in_a_joined_answer', _add_health(status=200), []),
    ('health_answer_on_an_unknown_connection', _add_health(connection=9), []),
]

JOINED_HEADS = Shares(
    doubled=0.6,
    due=1,
    idle=0,
    cut_head=1,
    cut_body=0,
    first_cut=0,
    failed=0.3,
)
"""Second responses end within the head, where the next one is due."""
FILLED_UP_BODIES = Shares(
    doubled=0.3,
    first_cut=0.3,
    cut_head=0,
    cut_body=0,
    large=0,
    large_download=0,
)
"""Small responses end within the body, and second responses follow."""
TRIALS = [
    ('joined_heads', JOINED_HEADS),
    ('filled_up_bodies', FILLED_UP_BODIES),
]
SEED = 1
SIZE = TrialSize(seconds=4)


class StutterJudgeTest(unittest.TestCase):
    """Each planted fault is found, and no other one is reported."""

    @parameterized.expand(FAULTS)
    def test_faults(
        self,
        _name: str,
        plant: Callable[[StutterRecord], None],
        expected: list[Fault],
    ) -> None:
        record = StutterRecord([RUN, OTHER_RUN], [], [ANSWER])
        self.assertFalse(any(Judge(record).faults().values()))
        plant(record)
        cases = Judge(record).faults()
        self.assertCountEqual(
            [fault for fault in Fault if cases[fault]], expected
        )

    def test_failure_that_is_passed_on(self) -> None:
        passed_on = dataclasses.replace(
            ANSWER,
            call=OTHER_RUN.call,
            answered_call=OTHER_RUN.call,
            signature=Signature('s'),
            status=503,
        )
        run = dataclasses.replace(
            OTHER_RUN, status=503, signature=Signature('s')
        )
        record = StutterRecord([run], [], [passed_on])
        self.assertFalse(any(Judge(record).faults().values()))

    def test_record_on_disk(self) -> None:
        """What processes write is what the judge reads."""
        record = StutterRecord(
            [dataclasses.replace(RUN, timing=Timing.due, cut=Cut.head)],
            [UNHEALTHY],
            [ANSWER],
            connections=3,
            joined=2,
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'one.out'
            record.write(path)
            self.assertEqual(StutterRecord.read([path]), record)


class ResponseCutTest(unittest.TestCase):
    """Cuts stay within the part that they are meant for."""

    @parameterized.expand(
        [
            ('whole', Cut.none, {9}),
            ('head', Cut.head, set(range(1, 5))),
            ('body', Cut.body, set(range(5, 9))),
        ]
    )
    def test_cut(self, _name: str, cut: Cut, lengths: set[int]) -> None:
        rng = random.Random(SEED)
        response = Response(b'headsbody', 5)
        self.assertEqual(
            {len(response.cut(cut, rng)) for _ in range(200)}, lengths
        )


class StutterTrialTest(unittest.TestCase):
    """Short trials of real processes."""

    # Guards against issue 36: a success for a failure of the target, whose
    # head was joined to the cut copy of another response, and bodies that
    # were filled up by a second response.
    @parameterized.expand(TRIALS)
    def test_nothing_is_mixed(self, _name: str, shares: Shares) -> None:
        report = run_trial(SEED, SIZE, shares)
        self.assertGreater(report.counts()['successes'], 0)
        self.assertGreater(report.counts()['second_responses'], 0)
        self.assertEqual(
            {
                fault: cases[:2]
                for fault, cases in report.cases.items()
                if cases and fault not in REPORTED_ONLY
            },
            {},
        )
