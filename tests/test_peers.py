"""Which instance a request is forwarded to, and whom the directory names.

Pattern: a few instances, a failure domain or a region lose their targets.
"""

import unittest

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, target
from turmericmast.cluster.records import EdgePhase, EdgeRecord, TargetReach
from turmericmast.edge.directory import choose_instances
from turmericmast.edge.peers import (
    LOSS_BACKOFF,
    MAX_NEAR_IN_FLIGHT,
    MAX_REFUSALS,
    REFUSAL_BACKOFF,
    SILENCE_BACKOFF,
    PeerOutcome,
    Peers,
)

OWN = instance('own')
NEAR = (instance('near-1'), instance('near-2'))
REGION = (instance('region-1', 'tirol-b'), instance('region-2', 'tirol-b'))
REMOTE = (instance('remote', 'wien-a'),)


def _cut_off(record: EdgeRecord) -> EdgeRecord:
    return EdgeRecord(
        record.instance,
        record.incarnation,
        record.address,
        record.domain,
        record.region,
        record.phase,
        record.peer,
        TargetReach.forwarded,
    )


CHOICES = [
    ('near_first', (*REMOTE, *REGION, *NEAR), (), (), ['near-1', 'near-2']),
    ('domain_alone', (*REMOTE, *REGION), (), (), ['region-1', 'region-2']),
    ('homes', (*REMOTE, *REGION, *NEAR), ('wien',), (), ['remote']),
    ('no_instance_at_home', NEAR, ('wien',), (), [None]),
    ('already_tried', NEAR, (), ('near-1',), ['near-2']),
    (
        'leaving',
        (instance('near-1', phase=EdgePhase.leaving), *REGION),
        (),
        (),
        ['region-1', 'region-2'],
    ),
    (
        'cut_off_as_well',
        (*map(_cut_off, NEAR), *REMOTE),
        (),
        (),
        ['remote'],
    ),
    ('all_are_cut_off', tuple(map(_cut_off, NEAR)), (), (), ['near-1']),
    ('alone', (), (), (), [None]),
]


class PeersTest(unittest.TestCase):
    """Requests go to near instances that serve them, or nowhere."""

    @parameterized.expand(CHOICES)
    def test_choice(
        self,
        _name: str,
        others: tuple[EdgeRecord, ...],
        homes: tuple[str, ...],
        avoid: tuple[str, ...],
        expected: list[str | None],
    ) -> None:
        peers = _peers(*others)
        chosen = peers.choose('stock', homes, avoid, NOW)
        self.assertIn(chosen and chosen.instance, expected)

    @parameterized.expand(
        [
            ('refused', PeerOutcome.refused, REFUSAL_BACKOFF, 'region-1'),
            ('not_reached', PeerOutcome.unreached, LOSS_BACKOFF, 'near-2'),
            ('answered', PeerOutcome.answered, 0, 'near-2'),
            ('failed', PeerOutcome.failed, SILENCE_BACKOFF, 'near-2'),
        ]
    )
    def test_next_choice_after(
        self, _name: str, outcome: PeerOutcome, backoff: float, following: str
    ) -> None:
        peers = _peers(*NEAR, *REGION)
        peers.begin('near-1', NOW)
        peers.end('near-1', 'stock', outcome, NOW)
        chosen = peers.choose('stock', (), (), NOW + 0.01)
        self.assertEqual(chosen and chosen.instance, following)
        again = peers.choose('stock', (), ('near-2',), NOW + backoff + 0.01)
        self.assertEqual(again and again.domain, 'tirol-a')

    def test_service_that_all_refuse_is_not_asked_for_everywhere(self) -> None:
        names = [f'near-{number}' for number in range(MAX_REFUSALS + 4)]
        peers = _peers(*map(instance, names))
        asked = 0
        while chosen := peers.choose('stock', (), (), NOW):
            peers.begin(chosen.instance, NOW)
            peers.end(chosen.instance, 'stock', PeerOutcome.refused, NOW)
            asked += 1
        self.assertEqual(asked, MAX_REFUSALS)
        self.assertIsNotNone(peers.choose('orders', (), (), NOW))
        later = NOW + REFUSAL_BACKOFF
        self.assertIsNotNone(peers.choose('stock', (), (), later))

    def test_many_requests_are_spread_beyond_the_domain(self) -> None:
        peers = _peers(NEAR[0], REGION[0])
        for _ in range(MAX_NEAR_IN_FLIGHT):
            peers.begin('near-1', NOW)
        chosen = peers.choose('stock', (), (), NOW)
        self.assertEqual(chosen and chosen.instance, 'region-1')


class DirectoryTest(unittest.TestCase):
    """Callers are sent to instances that reach targets, if there are any."""

    @parameterized.expand(
        [
            ('one_of_three', (*NEAR, _cut_off(OWN)), ['near-1', 'near-2']),
            (
                'whole_domain',
                (_cut_off(OWN), *REGION, *REMOTE),
                ['region-1', 'region-2'],
            ),
            (
                'whole_region',
                (_cut_off(OWN), _cut_off(REGION[0]), *REMOTE),
                ['remote'],
            ),
            ('all', (_cut_off(OWN), _cut_off(REMOTE[0])), ['own']),
            (
                'whole_home_region',
                (_cut_off(OWN), *REMOTE),
                ['own'],
                ('tirol',),
            ),
        ]
    )
    def test_instances(
        self,
        _name: str,
        edges: tuple[EdgeRecord, ...],
        expected: list[str],
        homes: tuple[str, ...] = (),
    ) -> None:
        chosen = choose_instances(edges, homes, 'tirol', 'tirol-a')
        self.assertEqual([edge.instance for edge in chosen], expected)


def _peers(*others: EdgeRecord) -> Peers:
    sample = edge(OWN, feed(OWN, *others, targets=(target('1'),)))
    return sample.peers
