"""The edge aggregate: directory, cluster feeds and routes."""

import dataclasses
import unittest

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    document,
    edge,
    feed,
    instance,
    target,
)
from turmericmast.cluster.records import EdgePhase, EdgeRecord
from turmericmast.edge.edge import Edge
from turmericmast.route.document import Route, RouteDocument
from turmericmast.route.table import RouteTable, TrafficSplitter

LEAVING = EdgePhase.leaving

DIRECTORY = [
    (
        'own_domain',
        'shop.example',
        ('tirol', 'tirol-a'),
        [instance('a'), instance('b'), instance('c', 'tirol-b')],
        {'a:80', 'b:80'},
    ),
    (
        'single_instance_has_a_fallback',
        'shop.example',
        ('tirol', 'tirol-a'),
        [instance('a'), instance('c', 'tirol-b'), instance('d', 'wien-a')],
        {'a:80', 'c:80'},
    ),
    (
        'leaving_instance_is_left_out',
        'shop.example',
        ('tirol', 'tirol-a'),
        [instance('a'), instance('b', phase=LEAVING), instance('c', 'tirol-b')],
        {'a:80', 'c:80'},
    ),
    (
        'region_without_instances_uses_others',
        'shop.example',
        ('wien', 'wien-a'),
        [instance('a'), instance('c', 'tirol-b')],
        {'a:80', 'c:80'},
    ),
    (
        'host_with_other_home_regions',
        'pay.example',
        ('wien', 'wien-a'),
        [instance('a'), instance('d', 'wien-a')],
        {'a:80'},
    ),
    (
        'host_with_own_home_region',
        'pay.example',
        ('tirol', 'tirol-b'),
        [instance('a'), instance('c', 'tirol-b'), instance('e', 'tirol-b')],
        {'c:80', 'e:80'},
    ),
]

ROUTES = [
    ('prefix', 'shop.example', '/stock/1?x=/orders/', 'look'),
    ('port_and_case', 'SHOP.example:8080', '/stock/', 'look'),
    ('path_of_another_host', 'pay.example', '/stock/', None),
    ('no_matching_prefix', 'shop.example', '/stock', None),
    ('route_of_another_host', 'pay.example', '/orders/7', 'order'),
]


class DirectoryTest(unittest.TestCase):
    """The directory names instances that can serve, near ones first."""

    @parameterized.expand(DIRECTORY)
    def test_answer(
        self,
        _name: str,
        host: str,
        locality: tuple[str, str],
        edges: list[EdgeRecord],
        addresses: set[str],
    ) -> None:
        answer = edge(edges[0], feed(*edges)).resolve(host, *locality, NOW)
        self.assertEqual(set(answer.addresses), addresses)
        self.assertLessEqual(answer.ttl, 5)


class EdgeFeedTest(unittest.TestCase):
    """Feeds update the view of the cluster, but never to an older state."""

    def test_older_feed_is_refused(self) -> None:
        own_edge = edge(instance('a'), feed(instance('a'), index=7))
        self.assertFalse(own_edge.accepts(feed(index=6)))
        self.assertEqual(len(own_edge.membership.edge_by_instance), 1)

    def test_restarted_target_gets_a_new_view(self) -> None:
        own_edge = edge(instance('a'), feed(targets=(target('1'),)))
        before = own_edge.view('1')
        assert before is not None
        before.verify(0, NOW)
        restarted = dataclasses.replace(target('1'), born=11)
        own_edge.apply(feed(targets=(restarted,), index=2), None)
        self.assertIsNot(own_edge.view('1'), before)
        self.assertFalse(own_edge.may_send(before, NOW))

    @parameterized.expand([((), True), (('tirol-a',), False)])
    def test_evacuation(
        self, evacuated: tuple[str, ...], may_send: bool
    ) -> None:
        own_edge = edge(
            instance('a'),
            feed(targets=(target('1'),), evacuated=evacuated),
        )
        view = own_edge.view('1')
        assert view is not None
        self.assertIs(own_edge.may_send(view, NOW), may_send)


class RouteTableTest(unittest.TestCase):
    """The host and the longest matching prefix select the route."""

    @parameterized.expand(ROUTES)
    def test_find(
        self,
        _name: str,
        host: str,
        path: str,
        expected: str | None,
    ) -> None:
        route = RouteTable(document()).find(host, path)
        self.assertEqual(route and route.name, expected)

    @parameterized.expand([(0.0,), (0.05,), (0.5,), (0.99,)])
    def test_split_is_exact_over_few_requests(self, start: float) -> None:
        route = RouteTable(document()).find('shop.example', '/stock/')
        splitter = TrafficSplitter(lambda _route, _service: start)
        assert route is not None
        picked = [splitter.pick(route) for _ in range(20)]
        self.assertEqual(picked.count('stock-next'), 2)

    # Guards against credits that are kept for routes that are gone.
    def test_split_forgets_routes_that_are_gone(self) -> None:
        own_edge = edge(instance('a'), feed(instance('a')))
        route = own_edge.find_route('shop.example', '/stock/')
        assert route is not None
        first = _pick_services(own_edge, route)
        own_edge.apply(feed(index=2), RouteDocument())
        own_edge.apply(feed(index=3), document())
        self.assertEqual(_pick_services(own_edge, route), first)


def _pick_services(own_edge: Edge, route: Route) -> list[str]:
    pools = (own_edge.pick_pool(route) for _ in range(7))
    return [pool.service for pool in pools if pool]
