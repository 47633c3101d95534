"""Calls: retry decisions, whether a request ran, and fingerprints."""

import dataclasses
import unittest

from parameterized import parameterized

from turmericmast.call.call import Call, CallRequest, Loss, NextStep, Ran
from turmericmast.ids import (
    CallId,
    RequestKey,
    Seconds,
    ServiceId,
    TenantId,
)

REQUEST = CallRequest(
    call=CallId('c'),
    service=ServiceId('stock'),
    method='GET',
    path='/x',
    tenant=TenantId(''),
    key=RequestKey(''),
    deadline=Seconds(10),
)

STEPS = [
    (
        'get_lost',
        'GET',
        [Loss.connection_lost],
        True,
        NextStep.retry,
        Ran.unknown,
    ),
    (
        'get_lost_twice',
        'GET',
        [Loss.connection_lost] * 2,
        True,
        NextStep.fail,
        None,
    ),
    (
        'get_timed_out',
        'GET',
        [Loss.timed_out],
        True,
        NextStep.retry,
        Ran.unknown,
    ),
    (
        'post_lost',
        'POST',
        [Loss.connection_lost],
        True,
        NextStep.fail,
        Ran.unknown,
    ),
    (
        'post_cut_short',
        'POST',
        [Loss.cut_short],
        True,
        NextStep.fail,
        Ran.unknown,
    ),
    (
        'post_never_sent',
        'POST',
        [Loss.never_sent],
        True,
        NextStep.retry,
        Ran.no,
    ),
    ('post_shed', 'POST', [Loss.shed], True, NextStep.retry, Ran.no),
    (
        'post_body_not_replayable',
        'POST',
        [Loss.shed],
        False,
        NextStep.fail,
        Ran.no,
    ),
    (
        'never_sent_4_times',
        'GET',
        [Loss.never_sent] * 4,
        True,
        NextStep.fail,
        Ran.no,
    ),
    (
        'shed_then_lost',
        'POST',
        [Loss.shed, Loss.connection_lost],
        True,
        NextStep.fail,
        Ran.unknown,
    ),
]


class CallTest(unittest.TestCase):
    """Retry decisions after failed attempts, and request fingerprints."""

    @parameterized.expand(STEPS)
    def test_next_step(
        self,
        _name: str,
        method: str,
        losses: list[Loss],
        can_replay: bool,
        expected: NextStep,
        ran: Ran | None,
    ) -> None:
        call = Call(dataclasses.replace(REQUEST, method=method))
        for loss in losses:
            call.start_attempt()
            call.record_failure(loss)
        step = call.next_step(Seconds(1), can_replay=can_replay)
        self.assertIs(expected, step)
        if ran:
            self.assertIs(ran, call.ran)

    @parameterized.expand(
        [
            ('deadline_passed', {}, 11, NextStep.fail),
            ('retried_by_another_level', {'retried': True}, 1, NextStep.fail),
        ],
    )
    def test_no_retry(
        self,
        _name: str,
        changes: dict[str, bool],
        now: float,
        expected: NextStep,
    ) -> None:
        call = Call(dataclasses.replace(REQUEST, **changes))
        call.start_attempt()
        call.record_failure(Loss.connection_lost)
        step = call.next_step(Seconds(now), can_replay=True)
        self.assertIs(expected, step)

    @parameterized.expand(
        [
            ('same', {}, b'', True),
            ('other_path', {'path': '/y'}, b'', False),
            ('other_body', {}, b'z', False),
            ('other_tenant', {'tenant': TenantId('t')}, b'', False),
        ],
    )
    def test_fingerprint(
        self,
        _name: str,
        changes: dict[str, str],
        body: bytes,
        same: bool,
    ) -> None:
        other = dataclasses.replace(REQUEST, **changes)
        is_same = other.fingerprint(body) == REQUEST.fingerprint(b'')
        self.assertIs(same, is_same)
