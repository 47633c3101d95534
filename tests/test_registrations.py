"""Registrations of edges at a core member.

Pattern: hundreds of instances register while the leader is busy.
"""

import dataclasses
import unittest

from parameterized import parameterized

from tests.edge_samples import instance
from turmericmast.cluster.records import EdgePhase, EdgeRecord
from turmericmast.cluster.registrations import PendingRegistrations

SERVING = instance('a')
LEAVING = dataclasses.replace(SERVING, phase=EdgePhase.leaving)
OTHER = instance('b')


class PendingRegistrationsTest(unittest.TestCase):
    """A record is committed once, however often its edge polls meanwhile."""

    @parameterized.expand(
        [
            ('unknown', None, (), SERVING, True),
            ('committed', SERVING, (), SERVING, False),
            ('being_committed', None, (SERVING,), SERVING, False),
            ('newer_while_committing', None, (SERVING,), LEAVING, True),
            ('newer_than_committed', SERVING, (), LEAVING, True),
            ('another_instance', None, (OTHER,), SERVING, True),
        ]
    )
    def test_begin(
        self,
        _name: str,
        known: EdgeRecord | None,
        pending: tuple[EdgeRecord, ...],
        edge: EdgeRecord,
        expected: bool,
    ) -> None:
        registrations = PendingRegistrations()
        for earlier in pending:
            registrations.begin(earlier, None)
        self.assertEqual(registrations.begin(edge, known), expected)

    @parameterized.expand(
        [
            ('failed', (SERVING,), SERVING, SERVING, True),
            ('older_one_ended', (SERVING, LEAVING), SERVING, LEAVING, False),
            ('another_ended', (SERVING, OTHER), OTHER, SERVING, False),
        ]
    )
    def test_end(
        self,
        _name: str,
        begun: tuple[EdgeRecord, ...],
        ended: EdgeRecord,
        edge: EdgeRecord,
        expected: bool,
    ) -> None:
        registrations = PendingRegistrations()
        for earlier in begun:
            registrations.begin(earlier, None)
        registrations.end(ended)
        self.assertEqual(registrations.begin(edge, None), expected)
