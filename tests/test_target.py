"""Targets: announcements, limits, cold starts and changes of owner."""

import dataclasses
import unittest
from typing import Any

from parameterized import parameterized

from turmericmast.ids import (
    CallId,
    DomainId,
    Incarnation,
    RegionId,
    Seconds,
    ServiceId,
    TargetId,
)
from turmericmast.target.announcement import (
    Announcement,
    TargetSpec,
    TargetState,
    parse_announcement,
)
from turmericmast.target.slowstart import SUCCESSES_PER_STEP
from turmericmast.target.target import Ending, Target

SPEC = TargetSpec(
    target=TargetId('t1'),
    service=ServiceId('stock'),
    address='127.0.0.1:9000',
    region=RegionId('tirol'),
    domain=DomainId('tirol-a'),
    slots=4,
    cold_slots=1,
    incarnation=Incarnation('i1'),
)
GOOD = {**dataclasses.asdict(SPEC), 'state': 'ready', 'in_flight': 2}

BAD = [
    ('not_an_object', [], 'a JSON object is needed'),
    ('empty_target', {'target': ''}, 'target: write 1 to 128'),
    ('slash', {'service': 'a/b'}, 'service: write 1 to 128'),
    ('line_break', {'target': 'a\nb'}, 'target: write 1 to 128'),
    ('host_name', {'address': 'localhost:1'}, 'address: write an IP address'),
    ('port_0', {'address': '127.0.0.1:0'}, 'address: write a port'),
    ('zero_slots', {'slots': 0}, 'slots: write a whole number'),
    ('text_slots', {'slots': '4'}, 'slots: write a whole number'),
    ('boolean_slots', {'slots': True}, 'slots: write a whole number'),
    (
        'cold_slots_above_slots',
        {'cold_slots': 9},
        'cold_slots: must not be more',
    ),
    (
        'unknown_state',
        {'state': 'warm'},
        'state: write one of cold, ready, leaving',
    ),
    ('negative_load', {'in_flight': -1}, 'in_flight: write a whole number'),
    ('unknown_field', {'weight': 1}, 'weight: unknown field'),
]


def _at(seconds: float) -> Seconds:
    return Seconds(seconds)


def _announce(**changes: Any) -> Announcement:
    spec = dataclasses.replace(
        SPEC,
        incarnation=changes.pop('incarnation', SPEC.incarnation),
    )
    return Announcement(
        spec, changes.pop('state', TargetState.ready), **changes
    )


def _warm(target: Target, now: float = 0) -> None:
    for number in range(200):
        call = CallId(str(number))
        target.start(call, _at(now))
        target.end(call, Ending.success, _at(now + 0.01))


class RestartTest(unittest.TestCase):
    """Late announcements of an earlier incarnation do not change the target.

    They can arrive after a restart; taken as current, they would give a cold
    target the limit of a warm one.
    """

    @parameterized.expand(
        [
            ('cold_after_restart', ['i2'], TargetState.cold, 1),
            ('late_announcement_of_last_incarnation', ['i2', 'i1'], None, 1),
            (
                'late_announcement_of_older_incarnation',
                ['i2', 'i3', 'i1'],
                None,
                1,
            ),
            ('ready_announced_after_restart', ['i2', 'i2'], None, 2),
        ],
    )
    def test_limit_after(
        self,
        _name: str,
        incarnations: list[str],
        last_state: TargetState | None,
        limit: int,
    ) -> None:
        target = Target(SPEC, _at(0), unclean_handover=False)
        target.apply_announcement(_announce(), _at(0))
        for name in incarnations[:-1]:
            cold = _announce(incarnation=name, state=TargetState.cold)
            target.apply_announcement(cold, _at(1))
        target.apply_announcement(
            _announce(
                incarnation=incarnations[-1],
                state=last_state or TargetState.ready,
            ),
            _at(1),
        )
        for number in range(SUCCESSES_PER_STEP):
            call = CallId(str(number))
            target.start(call, _at(1))
            target.end(call, Ending.success, _at(1.01))
        self.assertEqual(target.limit, limit)


class AnnouncementTest(unittest.TestCase):
    """An invalid announcement is refused with the name of the field."""

    def test_valid_announcement(self) -> None:
        announcement = parse_announcement(GOOD).unwrap()
        self.assertEqual(SPEC, announcement.spec)
        self.assertEqual(2, announcement.in_flight)

    @parameterized.expand(BAD)
    def test_invalid_announcement(
        self, _name: str, changes: Any, expected: str
    ) -> None:
        document = changes if isinstance(changes, list) else GOOD | changes
        error = parse_announcement(document).failure()
        self.assertIn(expected, error.show())
        self.assertIn('nothing was changed', error.show())


class TargetTest(unittest.TestCase):
    """Limits, cold starts, staleness and ejection of one target."""

    def setUp(self) -> None:
        self.target = Target(SPEC, _at(0), unclean_handover=False)
        self.target.apply_announcement(_announce(), _at(0))

    def test_stays_cold_until_announced(self) -> None:
        target = Target(SPEC, _at(0), unclean_handover=False)
        _warm(target)
        self.assertEqual(1, target.free_slots(_at(1)))
        target.apply_announcement(_announce(), _at(1))
        self.assertEqual(4, target.free_slots(_at(1)))

    def test_slow_start_ends_with_successes(self) -> None:
        self.assertEqual(1, self.target.free_slots(_at(0)))
        _warm(self.target)
        self.assertEqual(4, self.target.free_slots(_at(0)))

    def test_limit_counts_requests_in_flight(self) -> None:
        _warm(self.target)
        for number in range(4):
            self.target.start(CallId(f'f{number}'), _at(0))
        self.assertEqual(0, self.target.free_slots(_at(0)))

    @parameterized.expand(
        [
            ('restart', {'incarnation': Incarnation('i2')}, 1),
            ('announces_cold', {'state': TargetState.cold}, 1),
            ('announces_leaving', {'state': TargetState.leaving}, 0),
            ('still_ready', {}, 4),
        ],
    )
    def test_announced_state_sets_free_slots(
        self,
        _name: str,
        changes: dict[str, Any],
        free: int,
    ) -> None:
        _warm(self.target)
        self.target.apply_announcement(_announce(**changes), _at(1))
        self.assertEqual(free, self.target.free_slots(_at(1)))

    @parameterized.expand(
        [
            ('refused', Ending.refused, 0.01, 1),
            ('lost', Ending.lost, 0.01, 1),
            ('shed', Ending.shed, 0.01, 1),
            ('slow_success', Ending.success, 0.9, 1),
            ('usual_success', Ending.success, 0.012, 4),
            ('cancelled', Ending.cancelled, 0.9, 4),
        ],
    )
    def test_limit_after_ending(
        self,
        _name: str,
        ending: Ending,
        duration: float,
        limit: int,
    ) -> None:
        _warm(self.target)
        self.target.start(CallId('x'), _at(1))
        self.target.end(CallId('x'), ending, _at(1 + duration))
        self.assertEqual(limit, self.target.limit)

    @parameterized.expand(
        [
            ('short_interval', 1.0, 5.1, 60.1),
            ('long_interval', 50.0, 200.1, 400.1),
        ],
    )
    def test_staleness_grows_with_the_interval(
        self,
        _name: str,
        interval: float,
        stale_after: float,
        expired_after: float,
    ) -> None:
        self.target.announce_interval = interval
        for limit, check in (
            (stale_after, self.target.is_stale),
            (expired_after, self.target.is_expired),
        ):
            self.assertFalse(check(_at(limit - 0.2)))
            self.assertTrue(check(_at(limit)))

    def test_stale_target_has_no_free_slots(self) -> None:
        self.assertEqual(1, self.target.free_slots(_at(4.9)))
        self.assertEqual(0, self.target.free_slots(_at(5.1)))

    @parameterized.expand(
        [('not_announced', None, 0), ('one_left', 1, 0), ('none_left', 0, 1)],
    )
    def test_requests_of_previous_owner_count(
        self,
        _name: str,
        reported: int | None,
        free: int,
    ) -> None:
        target = Target(SPEC, _at(0), unclean_handover=True)
        if reported is not None:
            target.apply_announcement(_announce(in_flight=reported), _at(0.5))
        self.assertEqual(free, target.free_slots(_at(1)))

    def test_consecutive_errors_eject(self) -> None:
        for number in range(3):
            self.target.start(CallId(str(number)), _at(0))
            self.target.end(CallId(str(number)), Ending.error, _at(0.001))
        self.assertTrue(self.target.is_ejected(_at(0.1)))
        self.assertFalse(self.target.is_ejected(_at(9)))
