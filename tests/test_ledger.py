"""Tests of the ledger: each key runs at most once in any command order."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from turmericmast.ids import CallId, Fingerprint, RequestKey
from turmericmast.ledger.commands import Begin, GiveUp, Purge, Settle
from turmericmast.ledger.ledger import Ledger
from turmericmast.ledger.record import KeptAnswer, Verdict

KEY = RequestKey('orders//k')
ANSWER = KeptAnswer(201, 'Created', (), b'done', is_whole=True)


def _begin(attempt: str, at_ms: int = 0, fingerprint: str = 'f') -> Begin:
    return Begin(
        KEY,
        CallId(attempt),
        Fingerprint(fingerprint),
        at_ms,
        at_ms + 1000,
        60_000,
    )


def _settle(attempt: str) -> Settle:
    return Settle(KEY, CallId(attempt), ANSWER, 500, 60_000)


def _give_up(attempt: str) -> GiveUp:
    return GiveUp(KEY, CallId(attempt), Fingerprint('f'), 500, 60_000)


SEQUENCES = [
    ('new', [], _begin('a'), Verdict.run),
    ('same_attempt_again', [_begin('a')], _begin('a'), Verdict.run),
    ('attempt_in_flight', [_begin('a')], _begin('b', 10), Verdict.wait),
    ('attempt_expired', [_begin('a')], _begin('b', 2000), Verdict.unknown),
    ('answered', [_begin('a'), _settle('a')], _begin('b'), Verdict.replay),
    ('not_run', [_begin('a'), _give_up('a')], _begin('b'), Verdict.run),
    ('given_up_before_begin', [_give_up('a')], _begin('a'), Verdict.withdrawn),
    ('other_attempt_after_give_up', [_give_up('a')], _begin('b'), Verdict.run),
    (
        'key_of_another_request',
        [_begin('a')],
        _begin('b', 0, 'g'),
        Verdict.mismatch,
    ),
    (
        'late_give_up_of_earlier_attempt',
        [_give_up('a'), _begin('b'), _give_up('a')],
        _begin('c', 10),
        Verdict.wait,
    ),
    (
        'late_settle_of_earlier_attempt',
        [_begin('a'), _give_up('a'), _begin('b'), _settle('a')],
        _begin('c', 10),
        Verdict.wait,
    ),
    (
        'give_up_after_answer',
        [_begin('a'), _settle('a'), _give_up('a')],
        _begin('b'),
        Verdict.replay,
    ),
    (
        'purged_after_retention',
        [_begin('a'), _settle('a'), Purge(61_000)],
        _begin('b'),
        Verdict.run,
    ),
    (
        'kept_during_retention',
        [_begin('a'), _settle('a'), Purge(60_000)],
        _begin('b'),
        Verdict.replay,
    ),
]


class LedgerTest(unittest.TestCase):
    """Verdicts after sequences of commands, and snapshots."""

    @parameterized.expand(SEQUENCES)
    def test_verdict(
        self,
        _name: str,
        before: list[Begin | Settle | GiveUp | Purge],
        begin: Begin,
        expected: Verdict,
    ) -> None:
        ledger = Ledger()
        for command in before:
            ledger.apply(command)
        standing = ledger.apply(begin)
        self.assertIs(expected, standing.verdict)
        expected_answer = ANSWER if expected is Verdict.replay else None
        self.assertEqual(expected_answer, standing.answer)

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([_begin, _settle, _give_up]),
                st.sampled_from('abc'),
            ),
            max_size=12,
        ),
    )
    def test_second_attempt_runs_only_after_the_first_gave_up(
        self,
        drawn: list[tuple[object, str]],
    ) -> None:
        ledger = Ledger()
        allowed: set[str] = set()
        for make, attempt in drawn:
            command = make(attempt)  # type: ignore[operator]
            if isinstance(command, GiveUp):
                # An attempt that was given up is never sent afterwards.
                allowed.discard(attempt)
            verdict = ledger.apply(command).verdict
            if isinstance(command, Begin) and verdict is Verdict.run:
                allowed.add(attempt)
            self.assertLessEqual(len(allowed), 1)

    def test_snapshot_restores_records(self) -> None:
        ledger = Ledger()
        ledger.apply(_begin('a'))
        ledger.apply(_settle('a'))
        other = Ledger()
        other.restore(ledger.snapshot())
        self.assertEqual(ledger.record_by_key, other.record_by_key)
