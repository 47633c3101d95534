"""Tests of the region aggregate, its feeds and its snapshots."""

import dataclasses
import itertools
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from returns.result import Success

from tests.test_target import SPEC
from turmericmast.ids import (
    ChangeId,
    DomainId,
    Epoch,
    Fingerprint,
    Incarnation,
    Index,
    InstanceId,
    RegionId,
    TargetId,
)
from turmericmast.region import commands
from turmericmast.region.records import OutageKind, Suspicion
from turmericmast.region.region import Region
from turmericmast.region.snapshot import restore_region, take_snapshot
from turmericmast.region.view import RegionView

TIROL = RegionId('tirol')
REGIONS = frozenset((TIROL, RegionId('wien')))


class Driver:
    """Applies commands to a region at consecutive log indexes."""

    def __init__(self) -> None:
        """Start with an empty region."""
        self.region = Region(TIROL, REGIONS, TIROL)
        self._index = itertools.count(1)

    def apply(self, command: Any) -> Any:
        """Apply one command at the next index and return its result."""
        return self.region.apply(Index(next(self._index)), command)

    def open(self, name: str, domain: str, incarnation: str = 'x') -> Any:
        """Open the session of an entry and return it."""
        return self.apply(
            commands.OpenSession(
                InstanceId(name),
                Incarnation(incarnation),
                DomainId(domain),
                f'http-{name}',
            ),
        ).unwrap()

    def place(self, name: str, domain: str = 'tirol-a') -> Any:
        """Place a target and return its placement."""
        spec = dataclasses.replace(
            SPEC,
            target=TargetId(name),
            domain=DomainId(domain),
        )
        return self.apply(commands.PlaceTarget(spec)).unwrap()

    def close(self, name: str, *, clean: bool = False) -> None:
        """Close the session of an entry."""
        session = self.region.view.session_by_instance[InstanceId(name)]
        self.apply(
            commands.CloseSession(session.instance, session.epoch, clean=clean),
        )

    def owner(self, name: str) -> str:
        """Return the owner of a target."""
        return self.placement(name).owner

    def placement(self, name: str) -> Any:
        """Return the placement of a target."""
        return self.region.view.placement_by_target[TargetId(name)]


class OwnershipTest(unittest.TestCase):
    """A target has one owner at a time, and it moves by the rules."""

    def setUp(self) -> None:
        self.driver = Driver()
        self.driver.open('a', 'tirol-a')
        self.driver.open('b', 'tirol-b')

    def test_owner_is_in_the_domain_of_the_target(self) -> None:
        self.driver.place('t1', 'tirol-a')
        self.driver.place('t2', 'tirol-b')
        self.assertEqual('a', self.driver.owner('t1'))
        self.assertEqual('b', self.driver.owner('t2'))

    @parameterized.expand([('lost', False, True), ('clean', True, False)])
    def test_targets_of_a_closed_session_move(
        self,
        _name: str,
        clean: bool,
        wary: bool,
    ) -> None:
        self.driver.place('t1', 'tirol-a')
        self.driver.close('a', clean=clean)
        placement = self.driver.placement('t1')
        self.assertEqual('b', placement.owner)
        self.assertIs(wary, placement.wary)

    def test_owner_keeps_a_target_until_it_releases_it(self) -> None:
        self.driver.place('t1', 'tirol-b')
        self.driver.close('b')
        self.assertEqual('a', self.driver.owner('t1'))
        self.driver.open('b2', 'tirol-b')
        placement = self.driver.placement('t1')
        self.assertEqual(('a', 'b2'), (placement.owner, placement.successor))
        release = commands.ReleaseTarget(TargetId('t1'), InstanceId('a'))
        self.driver.apply(release)
        placement = self.driver.placement('t1')
        self.assertEqual(('b2', ''), (placement.owner, placement.successor))
        self.assertFalse(placement.wary)

    def test_release_by_an_entry_that_is_not_the_owner_is_ignored(self) -> None:
        self.driver.place('t1', 'tirol-a')
        self.driver.apply(
            commands.ReleaseTarget(TargetId('t1'), InstanceId('b')),
        )
        self.assertEqual('a', self.driver.owner('t1'))

    def test_restarted_entry_is_assigned_its_targets_anew(self) -> None:
        before = self.driver.place('t1', 'tirol-a')
        self.driver.open('a', 'tirol-a', incarnation='y')
        after = self.driver.placement('t1')
        self.assertGreater(after.granted, before.granted)
        self.assertTrue(after.wary)

    def test_closing_an_earlier_epoch_is_ignored(self) -> None:
        self.driver.open('a', 'tirol-a', incarnation='y')
        self.driver.apply(
            commands.CloseSession(InstanceId('a'), Epoch(1), clean=False),
        )
        self.assertIn('a', self.driver.region.view.session_by_instance)

    def test_targets_of_a_leaving_entry_get_a_successor(self) -> None:
        self.driver.open('a2', 'tirol-a')
        for number in range(4):
            self.driver.place(f't{number}', 'tirol-a')
        session = self.driver.region.view.session_by_instance[InstanceId('a')]
        self.driver.apply(
            commands.LeaveSession(session.instance, session.epoch),
        )
        for placement in self.driver.region.view.owned_by(InstanceId('a')):
            self.assertEqual('a2', placement.successor)

    def test_target_of_another_region_is_refused(self) -> None:
        spec = dataclasses.replace(SPEC, region=RegionId('wien'))
        answer = self.driver.apply(commands.PlaceTarget(spec))
        self.assertIn('own region', answer.failure().show())

    def test_withdrawn_target_is_removed(self) -> None:
        self.driver.place('t1', 'tirol-a')
        self.driver.apply(
            commands.WithdrawTarget(
                TargetId('t1'),
                InstanceId('a'),
                SPEC.incarnation,
            ),
        )
        self.assertFalse(self.driver.region.view.placement_by_target)


class TablesTest(unittest.TestCase):
    """Outages, resends of operator changes, and suspect requests."""

    def setUp(self) -> None:
        self.driver = Driver()

    def _set(self, change: str, *, out: bool) -> Any:
        return self.driver.apply(
            commands.SetOutage(
                ChangeId(change),
                OutageKind.domain,
                'tirol-a',
                out,
                'power',
            ),
        )

    def test_late_resend_does_not_undo_a_later_change(self) -> None:
        self._set('1', out=True)
        self._set('2', out=False)
        self.assertIsInstance(self._set('1', out=True), Success)
        view = self.driver.region.view
        self.assertFalse(view.is_domain_out(DomainId('tirol-a')))

    def test_change_id_cannot_be_used_for_another_change(self) -> None:
        self._set('1', out=True)
        shown = self._set('1', out=False).failure().show()
        self.assertIn('used for something else', shown)

    @parameterized.expand(
        [
            ('one_crash', [(0, 10)], False),
            ('sent_after_the_first_crash', [(0, 10), (20, 30)], True),
            ('sent_before_the_first_crash', [(0, 10), (5, 12), (9, 15)], False),
        ],
    )
    def test_attempts_sent_before_the_last_crash_do_not_count(
        self,
        _name: str,
        crashes: list[tuple[int, int]],
        quarantined: bool,
    ) -> None:
        suspicion: Suspicion | None = None
        for started, at in crashes:
            command = commands.Suspect(Fingerprint('f'), started, at)
            suspicion = self.driver.apply(command).unwrap()
        assert suspicion is not None
        self.assertIs(quarantined, suspicion.is_quarantined)

    def test_answered_request_is_not_quarantined(self) -> None:
        for started in (0, 20):
            self.driver.apply(
                commands.Suspect(Fingerprint('f'), started, started + 10),
            )
        self.driver.apply(commands.Acquit(Fingerprint('f')))
        view = self.driver.region.view
        self.assertFalse(view.is_quarantined(Fingerprint('f'), 40))


class FeedTest(unittest.TestCase):
    """Feeds give entries the same state as the control group."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 6), st.integers(0, 3), st.booleans()),
            max_size=40,
        ),
    )
    def test_feeds_replicate_state_and_each_target_has_one_owner(
        self,
        drawn: list[tuple[int, int, bool]],
    ) -> None:
        driver = Driver()
        view = RegionView()
        for kind, number, flag in drawn:
            before = dict(driver.region.view.placement_by_target)
            _apply_drawn_command(driver, kind, number, flag=flag)
            self._check_owners(driver, before, kind)
            if flag:
                view.apply_feed(driver.region.build_feed(view.index))
        view.apply_feed(driver.region.build_feed(view.index))
        source = driver.region.view
        self.assertEqual(source.placement_by_target, view.placement_by_target)
        self.assertEqual(source.session_by_instance, view.session_by_instance)
        self.assertEqual(source.outage_by_name, view.outage_by_name)
        snapshot = take_snapshot(driver.region)
        restored = restore_region(snapshot, driver.region)
        self.assertEqual(snapshot, take_snapshot(restored))

    def _check_owners(
        self,
        driver: Driver,
        before: dict[TargetId, Any],
        kind: int,
    ) -> None:
        """Check that a target changes owner only for allowed commands.

        These are an opened session (0), a closed one (2) and a release (4).
        """
        for name, placement in driver.region.view.placement_by_target.items():
            old = before.get(name)
            if old and old.owner and old.owner != placement.owner:
                self.assertIn(kind, {0, 2, 4})


def _apply_drawn_command(
    driver: Driver, kind: int, number: int, *, flag: bool
) -> None:
    """Apply the command of a drawn kind; skip those that need a session."""
    entry = InstanceId(f'e{number}')
    domain = 'tirol-a' if number % 2 else 'tirol-b'
    session = driver.region.view.session_by_instance.get(entry)
    if kind == 0:
        driver.open(entry, domain, incarnation=str(flag))
    elif kind == 1:
        driver.place(f't{number}', domain)
    elif kind == 2 and session:
        driver.close(entry, clean=flag)
    elif kind == 3 and session:
        driver.apply(commands.LeaveSession(entry, session.epoch))
    elif kind == 4:
        target = TargetId(f't{number}')
        placement = driver.region.view.placement_by_target.get(target)
        owner = placement.owner if placement else entry
        driver.apply(commands.ReleaseTarget(target, owner))
    elif kind == 5:
        driver.apply(
            commands.SetOutage(
                ChangeId(f'{driver.region.view.index}'),
                OutageKind.domain,
                domain,
                flag,
                'x',
            ),
        )
    elif kind == 6:
        driver.apply(
            commands.WithdrawTarget(
                TargetId(f't{number}'),
                entry,
                SPEC.incarnation,
            ),
        )
