"""The ledger: each key runs at most once, whatever the order of events."""

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


def _begin(attempt: str, at_ms: int = 0, print_: str = 'f') -> Begin:
    return Begin(
        KEY,
        CallId(attempt),
        Fingerprint(print_),
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
    ('under_way', [_begin('a')], _begin('b', 10), Verdict.wait),
    ('without_trace', [_begin('a')], _begin('b', 2000), Verdict.unknown),
    ('done', [_begin('a'), _settle('a')], _begin('b'), Verdict.replay),
    ('not_run', [_begin('a'), _give_up('a')], _begin('b'), Verdict.run),
    ('given_up_first', [_give_up('a')], _begin('a'), Verdict.withdrawn),
    ('given_up_then_other', [_give_up('a')], _begin('b'), Verdict.run),
    ('other_request', [_begin('a')], _begin('b', 0, 'g'), Verdict.mismatch),
    (
        'late_give_up_of_another',
        [_give_up('a'), _begin('b'), _give_up('a')],
        _begin('c', 10),
        Verdict.wait,
    ),
    (
        'late_settle_of_another',
        [_begin('a'), _give_up('a'), _begin('b'), _settle('a')],
        _begin('c', 10),
        Verdict.wait,
    ),
    (
        'give_up_after_done',
        [_begin('a'), _settle('a'), _give_up('a')],
        _begin('b'),
        Verdict.replay,
    ),
    (
        'kept_past_its_time',
        [_begin('a'), _settle('a'), Purge(61_000)],
        _begin('b'),
        Verdict.run,
    ),
    (
        'kept_in_its_time',
        [_begin('a'), _settle('a'), Purge(60_000)],
        _begin('b'),
        Verdict.replay,
    ),
]


class LedgerTest(unittest.TestCase):
    """Verdicts after sequences of commands."""

    @parameterized.expand(SEQUENCES)
    def test_verdict(
        self,
        _name: str,
        before: list[Begin | Settle | GiveUp | Purge],
        asked: Begin,
        expected: Verdict,
    ) -> None:
        ledger = Ledger()
        for command in before:
            ledger.apply(command)
        standing = ledger.apply(asked)
        self.assertIs(expected, standing.verdict)
        kept = ANSWER if expected is Verdict.replay else None
        self.assertEqual(kept, standing.answer)

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
    def test_two_attempts_never_run_unless_one_gave_up(
        self,
        drawn: list[tuple[object, str]],
    ) -> None:
        ledger = Ledger()
        allowed: set[str] = set()
        for make, attempt in drawn:
            command = make(attempt)  # type: ignore[operator]
            if isinstance(command, GiveUp):
                # An attempt that gave up never sends afterwards.
                allowed.discard(attempt)
            verdict = ledger.apply(command).verdict
            if isinstance(command, Begin) and verdict is Verdict.run:
                allowed.add(attempt)
            self.assertLessEqual(len(allowed), 1)

    def test_snapshot(self) -> None:
        ledger = Ledger()
        ledger.apply(_begin('a'))
        ledger.apply(_settle('a'))
        other = Ledger()
        other.restore(ledger.snapshot())
        self.assertEqual(ledger.record_by_key, other.record_by_key)
