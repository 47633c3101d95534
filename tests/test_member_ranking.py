"""The order in which an edge asks the members of the core."""

import types
import unittest
from typing import Any

from parameterized import parameterized

from tests.edge_samples import NOW, REGION_BY_DOMAIN
from turmericmast.edge.memberranking import MemberRanking
from turmericmast.ids import DomainId, Incarnation, MemberId, Seconds
from turmericmast.replica.seat import Seat

OWN = MemberId('10.0.0.9:7')
NEAR = MemberId('10.0.0.4:7')
SAME_REGION = MemberId('10.0.0.3:7')
FAR = MemberId('10.0.0.1:7')
CONTACT = MemberId('10.0.0.2:7')
DOMAIN_BY_MEMBER = {
    FAR: 'wien-a',
    SAME_REGION: 'tirol-b',
    NEAR: 'tirol-a',
}

ORDERS = [
    # name, members with seats, seconds until they are used again, order
    ('contacts_at_the_start', (), {}, [OWN, CONTACT]),
    ('near_ones_first', (FAR, SAME_REGION, NEAR), {}, [NEAR, SAME_REGION, FAR]),
    ('failed_one_last', (FAR, NEAR), {NEAR: 1.0}, [FAR, NEAR]),
    ('failure_is_over', (FAR, NEAR), {NEAR: -1.0}, [NEAR, FAR]),
    (
        'contacts_once_all_have_failed',
        (FAR, NEAR),
        {NEAR: 1.0, FAR: 0.5},
        [OWN, CONTACT, FAR, NEAR],
    ),
]


class MemberRankingTest(unittest.TestCase):
    """Members that work come first, near ones before distant ones."""

    @parameterized.expand(ORDERS)
    def test_order(
        self,
        _name: str,
        seated: tuple[MemberId, ...],
        failed_for: dict[MemberId, float],
        expected: list[MemberId],
    ) -> None:
        settings: Any = types.SimpleNamespace(
            domain='tirol-a',
            region='tirol',
            region_by_domain=REGION_BY_DOMAIN,
            listening=types.SimpleNamespace(peers='10.0.0.9:8'),
            local_contact=OWN,
            contacts=(CONTACT,),
        )
        ranking = MemberRanking()
        ranking.seats = tuple(
            Seat(
                member,
                Incarnation('1'),
                witness=False,
                domain=DomainId(DOMAIN_BY_MEMBER[member]),
            )
            for member in seated
        )
        for member, seconds in failed_for.items():
            ranking.deprioritize(member, NOW + seconds)
        self.assertEqual(ranking.order(settings, Seconds(NOW)), expected)


if __name__ == '__main__':
    unittest.main()
