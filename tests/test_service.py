"""Services: dispatch, fair queueing, shedding and the retry budget."""

import dataclasses
import unittest

from parameterized import parameterized

from tests.test_target import SPEC
from turmericmast.ids import CallId, Seconds, ServiceId, TargetId, TenantId
from turmericmast.service.backlog import Backlog, QueuedCall
from turmericmast.service.budget import RetryBudget
from turmericmast.service.policy import LeastAgePolicy
from turmericmast.service.service import Service
from turmericmast.target.announcement import Announcement, TargetState
from turmericmast.target.target import Ending, Target

NOW = Seconds(100)


def _queued_call(
    call: str, tenant: str = '', deadline: float = 110
) -> QueuedCall:
    return QueuedCall(CallId(call), TenantId(tenant), Seconds(deadline))


def _service(targets: int, limit: int = 100) -> Service:
    service = Service(ServiceId('stock'), LeastAgePolicy(), limit, 0.1)
    for number in range(targets):
        name = TargetId(f't{number}')
        spec = dataclasses.replace(SPEC, target=name, cold_slots=1)
        target = Target(spec, NOW, unclean_handover=False)
        target.apply_announcement(Announcement(spec, TargetState.ready), NOW)
        service.target_by_id[name] = target
    return service


class DispatchTest(unittest.TestCase):
    """Assignment of queued calls to free slots."""

    def test_limits_of_targets_hold(self) -> None:
        service = _service(3)
        for number in range(10):
            service.admit(_queued_call(str(number)), NOW)
        sent = list(service.dispatch(NOW))
        self.assertEqual(3, len(sent))
        self.assertEqual(
            {'t0', 't1', 't2'}, {dispatch.target for dispatch in sent}
        )
        self.assertEqual(7, len(service.backlog))

    def test_freed_slot_gets_next_call(self) -> None:
        service = _service(1)
        service.admit(_queued_call('a'), NOW)
        service.admit(_queued_call('b'), NOW)
        first = next(service.dispatch(NOW))
        service.end(first.call, first.target, Ending.success, NOW)
        self.assertEqual(
            ['b'],
            [dispatch.call for dispatch in service.dispatch(NOW)],
        )

    def test_target_with_old_request_is_avoided(self) -> None:
        service = _service(2)
        slow, quick = service.target_by_id.values()
        for target in (slow, quick):
            for number in range(200):
                target.start(CallId(f'w{number}'), NOW)
                target.end(CallId(f'w{number}'), Ending.success, NOW)
            target.mean_service_time = 0.01
        slow.start(CallId('stuck'), NOW)
        later = Seconds(NOW + 0.05)
        for number in range(3):
            service.admit(_queued_call(str(number)), later)
        sent = {dispatch.target for dispatch in service.dispatch(later)}
        self.assertEqual({quick.target}, sent)

    @parameterized.expand(
        [
            ('excluded', 'is_excluded', True),
            ('moving', 'is_moving', True),
        ],
    )
    def test_unavailable_target_gets_no_call(
        self,
        _name: str,
        attribute: str,
        flag: bool,
    ) -> None:
        service = _service(2)
        unavailable = service.target_by_id[TargetId('t0')]
        setattr(unavailable, attribute, flag)
        for number in range(4):
            service.admit(_queued_call(str(number)), NOW)
        sent = {dispatch.target for dispatch in service.dispatch(NOW)}
        self.assertEqual({'t1'}, sent)

    def test_call_that_would_miss_its_deadline_is_shed(self) -> None:
        service = _service(1)
        for target in service.target_by_id.values():
            target.mean_service_time = 1.0
        admitted = [
            service.admit(_queued_call(str(number), deadline=105), NOW)
            for number in range(10)
        ]
        self.assertEqual(5, sum(admitted))

    def test_retry_avoids_the_failed_target(self) -> None:
        service = _service(2)
        queued_call = dataclasses.replace(
            _queued_call('a'), avoid=TargetId('t0')
        )
        service.admit(queued_call, NOW)
        self.assertEqual('t1', next(service.dispatch(NOW)).target)


class BacklogTest(unittest.TestCase):
    """Fair queueing between tenants."""

    def test_tenants_are_served_in_turn(self) -> None:
        backlog = Backlog(100)
        for call, tenant in (
            ('a1', 'a'),
            ('a2', 'a'),
            ('a3', 'a'),
            ('b1', 'b'),
        ):
            backlog.push(_queued_call(call, tenant))
        queued_calls = [backlog.pop() for _ in range(4)]
        self.assertEqual(
            ['a1', 'b1', 'a2', 'a3'],
            [queued.call for queued in queued_calls if queued],
        )

    def test_one_tenant_cannot_fill_the_queue(self) -> None:
        backlog = Backlog(12)
        while backlog.has_room(TenantId('a')):
            backlog.push(_queued_call(f'a{len(backlog)}', 'a'))
        self.assertLess(len(backlog), 12)
        self.assertTrue(backlog.has_room(TenantId('b')))

    def test_queued_call_can_be_removed(self) -> None:
        backlog = Backlog(3)
        backlog.push(_queued_call('a'))
        self.assertIsNotNone(backlog.remove(CallId('a')))
        self.assertIsNone(backlog.remove(CallId('a')))
        self.assertIsNone(backlog.pop())


class RetryBudgetTest(unittest.TestCase):
    """Retries are limited to a share of the calls plus the reserve."""

    @parameterized.expand([('tenth', 0.1, 105), ('none', 0.0, 5)])
    def test_retries_stay_within_the_ratio(
        self, _name: str, ratio: float, expected: int
    ) -> None:
        budget = RetryBudget(ratio)
        spent = 0
        for _ in range(1000):
            spent += budget.try_withdraw()
            budget.deposit()
        self.assertAlmostEqual(expected, spent, delta=2)
