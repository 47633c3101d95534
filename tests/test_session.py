"""Sessions: the lease ends at the entry before it ends at the leader."""

import unittest

from parameterized import parameterized

from turmericmast.ids import Epoch, Index, InstanceId, Seconds, Version
from turmericmast.session.lease import Lease
from turmericmast.session.renewals import LEASE_LENGTH, RenewalTracker

ENTRY = InstanceId('e')


class LeaseTest(unittest.TestCase):
    """The lease as the entry counts it."""

    @parameterized.expand(
        [
            ('just_before', 2.9, True),
            ('just_after', 3.1, False),
        ],
    )
    def test_counts_from_the_sending(
        self,
        _name: str,
        now: float,
        valid: bool,
    ) -> None:
        lease = Lease()
        lease.renew(Epoch(1), Seconds(0), LEASE_LENGTH)
        self.assertIs(valid, lease.is_valid(Seconds(now)))

    def test_late_answer_does_not_shorten(self) -> None:
        lease = Lease()
        lease.renew(Epoch(1), Seconds(2), LEASE_LENGTH)
        lease.renew(Epoch(1), Seconds(1), LEASE_LENGTH)
        self.assertTrue(lease.is_valid(Seconds(4.5)))

    def test_new_epoch_starts_over(self) -> None:
        lease = Lease()
        lease.renew(Epoch(1), Seconds(9), LEASE_LENGTH)
        lease.renew(Epoch(2), Seconds(1), LEASE_LENGTH)
        self.assertFalse(lease.is_valid(Seconds(5)))


class RollTest(unittest.TestCase):
    """Renewals as the leader counts them."""

    def test_lease_is_over_at_the_entry_first(self) -> None:
        lease = Lease()
        roll = RenewalTracker()
        lease.renew(Epoch(1), Seconds(0), LEASE_LENGTH)
        roll.renew(ENTRY, Index(1), Version(1), Seconds(0))
        for tick in range(500):
            now = Seconds(tick / 100)
            if roll.expired([ENTRY], now):
                self.assertFalse(lease.is_valid(now))
                return
        self.fail('the session never expired')

    def test_new_leader_treats_sessions_as_fresh(self) -> None:
        roll = RenewalTracker()
        roll.renew(ENTRY, Index(1), Version(1), Seconds(0))
        roll.start_leadership([ENTRY], Seconds(100))
        self.assertFalse(roll.expired([ENTRY], Seconds(103)))
        self.assertTrue(roll.expired([ENTRY], Seconds(104)))

    def test_in_force_means_everywhere(self) -> None:
        roll = RenewalTracker()
        other = InstanceId('f')
        roll.renew(ENTRY, Index(7), Version(3), Seconds(0))
        self.assertEqual(0, roll.index_in_force([ENTRY, other]))
        roll.renew(other, Index(5), Version(2), Seconds(0))
        self.assertEqual(5, roll.index_in_force([ENTRY, other]))
        self.assertEqual(2, roll.version_in_force([ENTRY, other], Version(9)))
        self.assertEqual(9, roll.version_in_force([], Version(9)))
