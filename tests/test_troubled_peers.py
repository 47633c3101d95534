"""Forwarding to instances that are in trouble of their own.

Pattern: an instance has lost its links to targets while those that it forwards
requests to have busy targets, or while one of them is frozen.
"""

import heapq
import itertools
import unittest
from collections.abc import Iterator

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, target
from turmericmast.cluster.records import EdgeRecord
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
FEW = 10
"""Requests in a second at an instance with few callers."""
CALLER_TIMEOUT = 0.8
"""Seconds after which a request to a frozen instance fails."""


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


class FrozenInstanceTest(unittest.TestCase):
    """An instance that leaves requests unanswered gets one at a time only.

    Guards against RECOVER: near a frozen instance, the callers of a cut-off one
    got no answer, since requests went on to the nearest or least recently used.
    """

    @parameterized.expand(
        [
            ('only_near_one', OTHERS[2:]),
            ('one_of_two_near', OTHERS[1:]),
            ('one_of_four_near', (*OTHERS, instance('near-3'))),
        ]
    )
    def test_lost_requests(
        self, _name: str, others: tuple[EdgeRecord, ...]
    ) -> None:
        frozen = instance('frozen')
        peers = edge(OWN, feed(OWN, frozen, *others)).peers
        ends: list[tuple[float, InstanceId]] = []
        chosen: list[InstanceId] = []
        for step in range(10 * FEW):
            now = NOW + step / FEW
            _end_until(now, peers, ends)
            peer = peers.choose('stock', (), (), now)
            name = peer.instance if peer else InstanceId('')
            chosen.append(name)
            peers.begin(name, now)
            duration = CALLER_TIMEOUT if name == frozen.instance else 0.02
            heapq.heappush(ends, (now + duration, name))
        lost = chosen.count(frozen.instance)
        self.assertLessEqual(lost, 10 + len(chosen) / 50)


def _end_until(
    now: float, peers: Peers, ends: list[tuple[float, InstanceId]]
) -> None:
    """End the requests in the heap ``ends`` that are over by ``now``."""
    while ends and ends[0][0] <= now:
        ended_at, name = heapq.heappop(ends)
        outcome = (
            PeerOutcome.failed if name == 'frozen' else PeerOutcome.answered
        )
        peers.end(name, 'stock', outcome, ended_at)


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
