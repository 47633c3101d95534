"""Sessions of entries: the lease at the entry, the roll at the leader."""

from turmericmast.session.lease import Lease as Lease
from turmericmast.session.roll import LEASE_LENGTH as LEASE_LENGTH
from turmericmast.session.roll import RENEW_INTERVAL as RENEW_INTERVAL
from turmericmast.session.roll import Roll as Roll
