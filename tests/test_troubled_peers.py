"""Forwarding to instances that are in trouble of their own.

Pattern: an instance has lost its links to targets while those that it forwards
requests to have busy targets, or while one of them is frozen.
"""

import itertools
import unittest
from collections.abc import Iterator

from tests.edge_samples import NOW, edge, feed, instance, target
from turmericmast.edge.peers import PeerOutcome, Peers
from turmericmast.ids import InstanceId

OWN = instance('own')
OTHERS = (
    instance('near-1'),
    instance('near-2'),
    instance('region-1', 'tirol-b'),
    instance('region-2', 'tirol-b'),
)
RATE = 100
"""Requests in a second."""


class BusyTargetsTest(unittest.TestCase):
    """Instances that serve a part of the requests are asked again.

    Guards against RECOVER: callers of a cut-off instance fared far worse than
    others where targets were busy.
    """

    def test_others_serve_every_second_request(self) -> None:
        peers = edge(OWN, feed(OWN, *OTHERS, targets=(target('1'),))).peers
        turns = itertools.cycle((PeerOutcome.refused, PeerOutcome.answered))
        served = sum(
            _is_served(peers, NOW + step / RATE, turns)
            for step in range(2 * RATE)
        )
        served_by_others = RATE
        self.assertGreaterEqual(served, served_by_others * 2 / 3)


def _is_served(peers: Peers, now: float, turns: Iterator[PeerOutcome]) -> bool:
    """Forward one request until an instance answers; tell whether one did."""
    tried: set[InstanceId] = set()
    while chosen := peers.choose('stock', (), tried, now):
        tried.add(chosen.instance)
        outcome = next(turns)
        peers.begin(chosen.instance, now)
        peers.end(chosen.instance, 'stock', outcome, now)
        if outcome is PeerOutcome.answered:
            return True
    return False
