"""Shares of a split over all instances, of which each gets few requests."""

import itertools
import unittest
from collections.abc import Iterable
from typing import Any

from parameterized import parameterized

from tests.edge_harness import EdgeHarness
from tests.edge_samples import REGION_BY_DOMAIN, feed, instance
from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.cluster.records import EdgeRecord
from turmericmast.edge.edge import Edge
from turmericmast.ids import Incarnation, InstanceId
from turmericmast.instancesettings import Bounds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.route.document import RouteDocument

MAX_DEVIATION = 0.1
"""Most by which a share may differ from that of the weight.

The site files call it ``weight_off``."""
LARGE = 315
"""Instances of the large site."""
SERVICES = ('stock', 'stock-next', 'orders')
EVEN = (50, 50)
SKEWED = (70, 30)
SLIGHT = (60, 40)
RARE = (85, 15)
TRIPLE = (40, 35, 25)

SHARES = [
    # name, instances, starts of each, requests after each start, weights
    ('one_request_each', LARGE, 1, 1, SKEWED),
    ('one_request_each_of_equal_services', LARGE, 1, 1, EVEN),
    ('one_request_each_of_three_services', LARGE, 1, 1, TRIPLE),
    ('two_requests_each', LARGE, 1, 2, SKEWED),
    ('three_requests_each', LARGE, 1, 3, SLIGHT),
    ('three_requests_each_with_a_rare_service', LARGE, 1, 3, RARE),
    ('one_request_after_each_start', 14, 22, 1, SKEWED),
    ('two_requests_after_each_start', 14, 22, 2, TRIPLE),
]

REPEATED = [
    # name, services in the order of the split, weights
    ('side_by_side', ('stock', 'stock', 'orders'), (1, 1, 1)),
    ('around_another', ('stock', 'orders', 'stock'), (30, 40, 30)),
    ('alone', ('stock', 'stock'), (1, 1)),
]

CHANGES = [
    # name, requests at each instance before, weights before and after
    ('first_requests', 0, EVEN, SKEWED),
    ('skewed', 1, EVEN, RARE),
    ('evened', 2, RARE, EVEN),
    ('service_added', 1, SLIGHT, TRIPLE),
    ('service_removed', 1, TRIPLE, SLIGHT),
]


def _document(
    weights: Iterable[int],
    version: int = 7,
    services: Iterable[str] = SERVICES,
) -> RouteDocument:
    branches = [
        {'service': service, 'weight': weight}
        for service, weight in zip(services, weights, strict=False)
    ]
    tree: Any = changed(ROUTES, 'routes.look.traffic_split', branches)
    tree['version'] = f'{version:08x}'
    return DocumentFormat().parse(encoded(tree)).unwrap()


def _start(name: int, start: int, document: RouteDocument) -> Edge:
    """Start an instance that has applied its first feed and routes."""
    sample = instance(f'edge-{name}')
    record = EdgeRecord(
        InstanceId(sample.instance),
        Incarnation(f'start-{name}-{start}'),
        sample.address,
        sample.domain,
        sample.region,
        sample.phase,
        sample.peer,
    )
    edge = Edge(record, REGION_BY_DOMAIN, Bounds())
    edge.apply(feed(record), document)
    return edge


def _pick(edge: Edge, requests: int) -> list[str]:
    """Return the services that the next requests of the route get."""
    route = edge.find_route('shop.example', '/stock/')
    assert route is not None
    pools = (edge.pick_pool(route) for _ in range(requests))
    return [pool.service for pool in pools if pool]


class SplitSharesTest(unittest.TestCase):
    """Services get their weights' shares of all requests together."""

    # Guards against CONFIG on the large site: each instance began a split at
    # the largest weight, and the others got hardly a request.
    @parameterized.expand(SHARES)
    def test_few_requests_at_each_instance(
        self,
        _name: str,
        instances: int,
        starts: int,
        requests: int,
        weights: tuple[int, ...],
    ) -> None:
        document = _document(weights)
        edges = itertools.starmap(
            lambda name, start: _start(name, start, document),
            itertools.product(range(instances), range(starts)),
        )
        self._check(
            weights,
            list(
                itertools.chain.from_iterable(
                    _pick(edge, requests) for edge in edges
                )
            ),
        )

    # Guards against the same after a change of weights.
    @parameterized.expand(CHANGES)
    def test_one_request_after_a_change(
        self,
        _name: str,
        requests: int,
        before: tuple[int, ...],
        after: tuple[int, ...],
    ) -> None:
        document = _document(before)
        edges = [_start(name, 0, document) for name in range(LARGE)]
        for edge in edges:
            _pick(edge, requests)
            edge.apply(feed(edge.record, index=2), _document(after, version=8))
        self._check(
            after,
            list(
                itertools.chain.from_iterable(_pick(edge, 1) for edge in edges)
            ),
        )

    # Guards against a service that is listed twice and moves on twice for
    # each request.
    @parameterized.expand(REPEATED)
    def test_service_listed_twice(
        self, _name: str, services: tuple[str, ...], weights: tuple[int, ...]
    ) -> None:
        document = _document(weights, services=services)
        picked = list(
            itertools.chain.from_iterable(
                _pick(_start(name, 0, document), 1) for name in range(LARGE)
            )
        )
        weight = sum(
            own
            for service, own in zip(services, weights, strict=True)
            if service == 'stock'
        )
        self.assertAlmostEqual(
            picked.count('stock') / len(picked),
            weight / sum(weights),
            delta=MAX_DEVIATION,
        )

    def _check(self, weights: tuple[int, ...], picked: list[str]) -> None:
        shares = [
            picked.count(service) / len(picked)
            for service in SERVICES[: len(weights)]
        ]
        for share, weight in zip(shares, weights, strict=True):
            self.assertAlmostEqual(
                share, weight / sum(weights), delta=MAX_DEVIATION, msg=shares
            )


class SplitReportTest(unittest.TestCase):
    """Lines and counters tell which service of a split got a request."""

    @parameterized.expand(
        [
            ('split', (0, 5), 'stock-next', 1),
            ('all_to_the_first', (5, 0), 'stock', 1),
            ('one_service', (5,), 'stock', 0),
        ]
    )
    def test_report(
        self, _name: str, weights: tuple[int, ...], service: str, lines: int
    ) -> None:
        harness = EdgeHarness()
        document = _document(weights, version=9)
        harness.edge.apply(feed(instance('a'), index=2), document)
        harness.read()
        expected = {
            'request': 'r',
            'route': 'look',
            'service': service,
            'share': 1,
            'version': 9,
        }
        self.assertEqual(harness.logged('request_split'), lines * [expected])
        counted = harness.count('split_requests', route='look', service=service)
        self.assertEqual(counted, lines)


if __name__ == '__main__':
    unittest.main()
