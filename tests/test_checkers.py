"""Check that the checkers find violations and accept good histories."""

import unittest
from typing import Any

from parameterized import parameterized

from bench import checkers


def _start(call: str, key: str = '', at: float = 1, **fields: Any) -> Any:
    return {
        'event': 'start',
        'at': at,
        'call': call,
        'key': key,
        'path': '/x',
        'target': 't',
        'domain': 'd',
        'incarnation': 'i',
        'in_flight': 1,
        'limit': 1,
        **fields,
    }


def _answer(call: str, **fields: Any) -> Any:
    return {
        'event': 'answer',
        'at': 2,
        'sent_at': 1,
        'timeout': 4,
        'call': call,
        'key': '',
        'status': 200,
        'ran': 'yes',
        'address': 'a',
        'body': 'b',
        'digest': 'd',
        'wanted_digest': 'd',
        'echo': call,
        'detail': '',
        **fields,
    }


def _event(event: str, at: float, **fields: Any) -> Any:
    return {'event': event, 'at': at, **fields}


def _version(version: int, digest: str, process: str = 'p', at: int = 1) -> Any:
    return _event(
        'fleet_in_force',
        at,
        version=version,
        digest=digest,
        process=process,
    )


TABLE = [
    (
        'key_runs_once',
        checkers.at_most_once,
        [_start('a', 'k'), _start('b', 'l')],
        0,
    ),
    (
        'key_runs_twice',
        checkers.at_most_once,
        [_start('a', 'k'), _start('b', 'k')],
        1,
    ),
    ('calls_without_key', checkers.at_most_once, [_start('a'), _start('b')], 0),
    (
        'call_did_not_run',
        checkers.not_run_is_true,
        [_start('a'), _answer('b', ran='no')],
        0,
    ),
    (
        'ran_before',
        checkers.not_run_is_true,
        [_start('a'), _answer('a', ran='no')],
        1,
    ),
    (
        'ran_later',
        checkers.not_run_is_true,
        [_answer('a', ran='no'), _start('a', at=9)],
        1,
    ),
    (
        'unknown_outcome_allows_a_run',
        checkers.not_run_is_true,
        [_start('a'), _answer('a', ran='unknown')],
        0,
    ),
    (
        'same_answer_twice',
        checkers.same_answer,
        [_answer('a', key='k'), _answer('b', key='k')],
        0,
    ),
    (
        'different_answer',
        checkers.same_answer,
        [_answer('a', key='k'), _answer('b', key='k', body='c')],
        1,
    ),
    ('complete_answer', checkers.whole_answers, [_answer('a')], 0),
    ('changed_body', checkers.whole_answers, [_answer('a', digest='e')], 1),
    (
        'answer_to_another_call',
        checkers.whole_answers,
        [_answer('a', echo='b')],
        1,
    ),
    (
        'no_answer',
        checkers.whole_answers,
        [_answer('a', status=0, digest='')],
        0,
    ),
    ('in_time', checkers.in_time, [_answer('a', at=5)], 0),
    ('late', checkers.in_time, [_answer('a', at=6)], 1),
    (
        'late_without_answer',
        checkers.in_time,
        [_answer('a', at=6, status=0)],
        1,
    ),
    (
        'suspended_entry',
        checkers.in_time,
        [_event('frozen', 2, address='a'), _answer('a', at=6, status=0)],
        0,
    ),
    (
        'answered_right_after_the_entry_was_resumed',
        checkers.in_time,
        [
            _event('frozen', 2, address='a'),
            _event('thawed', 5.8, address='a'),
            _answer('a', at=6),
        ],
        0,
    ),
    (
        'answered_long_after_the_entry_was_resumed',
        checkers.in_time,
        [
            _event('frozen', 0, address='a'),
            _event('thawed', 0.9, address='a'),
            _answer('a', at=6),
        ],
        1,
    ),
    (
        'late_although_another_entry_was_resumed',
        checkers.in_time,
        [
            _event('frozen', 2, address='b'),
            _event('thawed', 5.8, address='b'),
            _answer('a', at=6),
        ],
        1,
    ),
    (
        'other_entry_suspended',
        checkers.in_time,
        [_event('frozen', 2, address='b'), _answer('a', at=6, status=0)],
        1,
    ),
    (
        'resumed_before_the_call',
        checkers.in_time,
        [
            _event('frozen', 0, address='a'),
            _event('thawed', 0.5, address='a'),
            _answer('a', at=6, status=0),
        ],
        1,
    ),
    (
        'domain_gets_no_late_work',
        checkers.silent_domain,
        [_event('taken_out', 1, domain='d'), _start('a', at=5)],
        0,
    ),
    (
        'domain_gets_late_work',
        checkers.silent_domain,
        [_event('taken_out', 1, domain='d'), _start('a', at=7)],
        1,
    ),
    (
        'domain_returned',
        checkers.silent_domain,
        [
            _event('taken_out', 1, domain='d'),
            _event('returned', 6.5, domain='d'),
            _start('a', at=7),
        ],
        0,
    ),
    (
        'target_gets_late_work',
        checkers.silent_target,
        [_event('leaving', 1, incarnation='i'), _start('a', at=7)],
        1,
    ),
    (
        'new_incarnation_gets_work',
        checkers.silent_target,
        [_event('leaving', 1, incarnation='h'), _start('a', at=7)],
        0,
    ),
    ('within_limit', checkers.cold_limits, [_start('a')], 0),
    ('over_limit', checkers.cold_limits, [_start('a', in_flight=2)], 1),
    ('call_succeeds', checkers.no_caller_error, [_answer('a')], 0),
    ('call_refused', checkers.no_caller_error, [_answer('a', status=503)], 1),
    (
        'crashes_two_targets',
        checkers.crashes_contained,
        [_start(call, path='/poison1') for call in 'ab'],
        0,
    ),
    (
        'crashes_three_targets',
        checkers.crashes_contained,
        [_start(call, path='/poison1') for call in 'abc'],
        1,
    ),
    (
        'version_increases',
        checkers.versions_never_revert,
        [_version(1, 'a', at=1), _version(2, 'b', at=2)],
        0,
    ),
    (
        'version_reverts',
        checkers.versions_never_revert,
        [_version(2, 'b', at=1), _version(1, 'a', at=2)],
        1,
    ),
    (
        'two_documents_of_a_version',
        checkers.versions_never_revert,
        [_version(1, 'a'), _version(1, 'b', process='q')],
        1,
    ),
    (
        'accepted_in_time',
        checkers.accepted_in_time,
        [_event('accepted', 1, version=1, took=4.9)],
        0,
    ),
    (
        'accepted_late',
        checkers.accepted_in_time,
        [_event('accepted', 1, version=1, took=5.1)],
        1,
    ),
]


class CheckersTest(unittest.TestCase):
    """Run each checker on short histories with a known number of violations."""

    @parameterized.expand(TABLE)
    def test_history(
        self,
        _name: str,
        checker: Any,
        history: list[Any],
        expected: int,
    ) -> None:
        self.assertEqual(expected, len(checker(history)))
