"""Sessions: a lease ends at the entry before the session ends."""

import unittest

from parameterized import parameterized

from turmericmast.ids import Epoch, Index, InstanceId, Seconds, Version
from turmericmast.session.lease import Lease
from turmericmast.session.renewals import LEASE_LENGTH, RenewalTracker

ENTRY = InstanceId('e')


class LeaseTest(unittest.TestCase):
    """The lease as the entry measures it."""

    @parameterized.expand(
        [
            ('just_before', 2.9, True),
            ('just_after', 3.1, False),
        ],
    )
    def test_is_measured_from_the_sending(
        self,
        _name: str,
        now: float,
        valid: bool,
    ) -> None:
        lease = Lease()
        lease.renew(Epoch(1), Seconds(0), LEASE_LENGTH)
        self.assertIs(valid, lease.is_valid(Seconds(now)))

    def test_late_answer_does_not_shorten_the_lease(self) -> None:
        lease = Lease()
        lease.renew(Epoch(1), Seconds(2), LEASE_LENGTH)
        lease.renew(Epoch(1), Seconds(1), LEASE_LENGTH)
        self.assertTrue(lease.is_valid(Seconds(4.5)))

    def test_new_epoch_ends_the_old_lease(self) -> None:
        lease = Lease()
        lease.renew(Epoch(1), Seconds(9), LEASE_LENGTH)
        lease.renew(Epoch(2), Seconds(1), LEASE_LENGTH)
        self.assertFalse(lease.is_valid(Seconds(5)))


class RenewalTrackerTest(unittest.TestCase):
    """Renewals as the leader tracks them."""

    def test_lease_ends_before_the_session(self) -> None:
        lease = Lease()
        tracker = RenewalTracker()
        lease.renew(Epoch(1), Seconds(0), LEASE_LENGTH)
        tracker.renew(ENTRY, Index(1), Version(1), Seconds(0))
        for tick in range(500):
            now = Seconds(tick / 100)
            if tracker.expired([ENTRY], now):
                self.assertFalse(lease.is_valid(now))
                return
        self.fail('the session never expired')

    def test_new_leader_treats_sessions_as_renewed(self) -> None:
        tracker = RenewalTracker()
        tracker.renew(ENTRY, Index(1), Version(1), Seconds(0))
        tracker.start_leadership([ENTRY], Seconds(100))
        self.assertFalse(tracker.expired([ENTRY], Seconds(103)))
        self.assertTrue(tracker.expired([ENTRY], Seconds(104)))

    def test_in_force_is_the_minimum_of_all_sessions(self) -> None:
        tracker = RenewalTracker()
        other = InstanceId('f')
        tracker.renew(ENTRY, Index(7), Version(3), Seconds(0))
        self.assertEqual(0, tracker.index_in_force([ENTRY, other]))
        tracker.renew(other, Index(5), Version(2), Seconds(0))
        self.assertEqual(5, tracker.index_in_force([ENTRY, other]))
        self.assertEqual(
            2, tracker.version_in_force([ENTRY, other], Version(9))
        )
        self.assertEqual(9, tracker.version_in_force([], Version(9)))
