"""The edge: whom it names to callers, whom it follows, who probes what."""

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
from turmericmast.balance.load import LoadReport
from turmericmast.cluster.records import EdgePhase, EdgeRecord
from turmericmast.edge.bulletin import Bulletin
from turmericmast.route.table import RouteTable, Splitter

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
        'lone_instance_has_a_stand_in',
        'shop.example',
        ('tirol', 'tirol-a'),
        [instance('a'), instance('c', 'tirol-b'), instance('d', 'wien-a')],
        {'a:80', 'c:80'},
    ),
    (
        'leaving_one_is_not_named',
        'shop.example',
        ('tirol', 'tirol-a'),
        [instance('a'), instance('b', phase=LEAVING), instance('c', 'tirol-b')],
        {'a:80', 'c:80'},
    ),
    (
        'empty_region_goes_anywhere',
        'shop.example',
        ('wien', 'wien-a'),
        [instance('a'), instance('c', 'tirol-b')],
        {'a:80', 'c:80'},
    ),
    (
        'host_with_homes_elsewhere',
        'pay.example',
        ('wien', 'wien-a'),
        [instance('a'), instance('d', 'wien-a')],
        {'a:80'},
    ),
    (
        'host_with_own_home',
        'pay.example',
        ('tirol', 'tirol-b'),
        [instance('a'), instance('c', 'tirol-b'), instance('e', 'tirol-b')],
        {'c:80', 'e:80'},
    ),
]

ROUTES = [
    ('prefix', 'shop.example', '/stock/1?x=/orders/', 'look'),
    ('port_and_case', 'SHOP.example:8080', '/stock/', 'look'),
    ('other_host', 'pay.example', '/stock/', None),
    ('no_prefix', 'shop.example', '/stock', None),
    ('order', 'pay.example', '/orders/7', 'order'),
]


class DirectoryTest(unittest.TestCase):
    """Callers learn of instances that can serve them, near ones first."""

    @parameterized.expand(DIRECTORY)
    def test_answer(
        self,
        _name: str,
        host: str,
        place: tuple[str, str],
        edges: list[EdgeRecord],
        addresses: set[str],
    ) -> None:
        answer = edge(edges[0], feed(*edges)).directory(host, *place)
        self.assertEqual(set(answer.addresses), addresses)
        self.assertLessEqual(answer.lifetime, 5)


class FollowTest(unittest.TestCase):
    """What a feed changes, and what it must not."""

    def test_feed_of_a_member_that_lags_is_refused(self) -> None:
        known = edge(instance('a'), feed(instance('a'), index=7))
        self.assertFalse(known.accepts(feed(index=6)))
        self.assertEqual(len(known.edge_by_instance), 1)

    def test_new_start_is_not_trusted_for_the_old_one(self) -> None:
        known = edge(instance('a'), feed(targets=(target('1'),)))
        first = known.standing('1')
        assert first is not None
        first.prove(0, NOW)
        again = dataclasses.replace(target('1'), born=11)
        known.apply(feed(targets=(again,), index=2), None)
        self.assertIsNot(known.standing('1'), first)
        self.assertFalse(known.may_send(first))

    @parameterized.expand([((), True), (('tirol-a',), False)])
    def test_evacuation(self, evacuated: tuple[str, ...], may: bool) -> None:
        known = edge(
            instance('a'),
            feed(targets=(target('1'),), evacuated=evacuated),
        )
        standing = known.standing('1')
        assert standing is not None
        self.assertIs(known.may_send(standing), may)


class RouteTableTest(unittest.TestCase):
    """Host and longest prefix decide."""

    @parameterized.expand(ROUTES)
    def test_find(
        self,
        _name: str,
        host: str,
        path: str,
        wanted: str | None,
    ) -> None:
        route = RouteTable(document()).find(host, path)
        self.assertEqual(route and route.name, wanted)

    def test_split_keeps_its_shares_over_short_spans(self) -> None:
        route = RouteTable(document()).find('shop.example', '/stock/')
        splitter = Splitter()
        assert route is not None
        picked = [splitter.pick(route) for _ in range(20)]
        self.assertEqual(picked.count('stock-next'), 2)


class BulletinTest(unittest.TestCase):
    """The work of probing is shared, and news travel once a link."""

    def setUp(self) -> None:
        self.edges = [
            instance('a'),
            instance('b'),
            instance('c', 'tirol-b'),
            instance('d', 'wien-a'),
        ]
        targets = tuple(
            target(str(number), domain)
            for number, domain in enumerate(
                ('tirol-a', 'tirol-a', 'tirol-b', 'wien-a'),
            )
        )
        cluster = feed(*self.edges, targets=targets)
        self.bulletins = [Bulletin(edge(one, cluster)) for one in self.edges]

    def test_each_target_has_one_prober_in_its_domain(self) -> None:
        due = [
            (standing.record.target, standing.record.domain, me.domain)
            for me, bulletin in zip(self.edges, self.bulletins, strict=True)
            for standing in bulletin.due(NOW)
        ]
        self.assertEqual(sorted(one[0] for one in due), list('0123'))
        self.assertTrue(all(domain == own for _, domain, own in due))

    def test_one_herald_for_each_domain(self) -> None:
        digests = [bulletin.digest(NOW) for bulletin in self.bulletins]
        self.assertEqual(
            [digest is not None for digest in digests],
            [True, False, True, True],
        )
        self.assertEqual(
            set(self.bulletins[0].heralds()),
            {'c:81', 'd:81'},
        )

    def test_news_reach_the_neighbour(self) -> None:
        teller, hearer = self.bulletins[:2]
        told = teller._edge.standing('0')
        heard = hearer._edge.standing('0')
        assert told is not None and heard is not None
        told.hear_load(LoadReport(2, 0, 4, 7), NOW)
        hearer.hear(teller.news(told, NOW), NOW)
        self.assertEqual(heard.report.slowness, 7)
        hearer.hear(teller.start(told), NOW)
        self.assertEqual(heard.busy(), 3)
