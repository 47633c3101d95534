"""Load gossip among the instances of a failure domain.

Pattern: a domain of dozens of instances, each of which has few requests, so
that telling all others of each would cost more than the requests.
"""

import collections
import dataclasses
import itertools
import random
import unittest
from collections.abc import Iterable

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    edge,
    feed,
    instance,
    target,
    target_view,
)
from turmericmast.balance.load import LoadReport
from turmericmast.balance.news import describe_load, merge_load
from turmericmast.balance.targetview import TargetView
from turmericmast.edge.gossip import (
    MAX_DIRECT_PEERS,
    RELAY_INTERVAL,
    LoadGossip,
    Parcel,
)
from turmericmast.ids import Seconds, ServiceId
from turmericmast.units import MILLIS_PER_SECOND

TICK = 0.03
SIZES = [('single', 1), ('few', 3), ('direct', 9), ('dozens', 35), ('100', 97)]


class Domain:
    """Instances of one domain and a network that delivers at once."""

    def __init__(self, instances: int, targets: int = 9) -> None:
        self.now = NOW
        self.records = [
            instance(f'{number:03d}') for number in range(instances)
        ]
        cluster = feed(
            *self.records,
            targets=tuple(target(str(number)) for number in range(targets)),
        )
        self.edges = [edge(record, cluster) for record in self.records]
        self.gossip_by_peer = {
            record.peer: LoadGossip(edge)
            for record, edge in zip(self.records, self.edges, strict=True)
        }
        self.sent: collections.Counter[str] = collections.Counter()
        """Datagrams by the peer address of the sender."""
        self.lost_peers: set[str] = set()

    def gossip(self, number: int) -> LoadGossip:
        """Return the gossip of an instance."""
        return self.gossip_by_peer[self.records[number].peer]

    def view(self, number: int, name: str) -> TargetView:
        """Return the view that an instance has of a target."""
        found = self.edges[number].view(name)
        assert found is not None
        return found

    def send(self, number: int, parcels: Iterable[Parcel]) -> None:
        """Deliver what an instance sends."""
        for parcel in parcels:
            self.sent[self.records[number].peer] += len(parcel.peers)
            for peer in set(parcel.peers) - self.lost_peers:
                self.gossip_by_peer[peer].receive(parcel.news, self.now)

    def tick(self) -> None:
        """Let a moment pass at all instances."""
        self.now += TICK
        for number, record in enumerate(self.records):
            if record.peer not in self.lost_peers:
                self.send(number, self.gossip(number).forward(self.now))

    def tick_until_forwarded(self) -> None:
        """Let as much time pass as news may take."""
        for _ in range(int(RELAY_INTERVAL / TICK) + 2):
            self.tick()


class NewsAgeTest(unittest.TestCase):
    """What an instance tells doesn't come back as newer."""

    # Guards against a verification that never ages where instances tell each
    # other of it again and again.
    @parameterized.expand([(f'after_{ms}_ms', ms) for ms in (0.2, 1.5, 99.9)])
    def test_verification_keeps_its_age(self, _name: str, ms: float) -> None:
        views = [target_view(), target_view()]
        views[0].verify(Seconds(0), Seconds(NOW + 1))
        now = Seconds(NOW + 1 + ms / MILLIS_PER_SECOND)
        merge_load(views[1], describe_load(views[0], now), now)
        for told, telling in itertools.permutations(views):
            is_new = merge_load(told, describe_load(telling, now), now)
            self.assertFalse(is_new)

    # Guards against a target that is taken for warm for as long as instances
    # tell each other so: the time that news take made it look younger.
    @parameterized.expand([('near', 0.002), ('slow', 0.02)])
    def test_confirmation_expires_while_it_is_told_again(
        self, _name: str, delay: float
    ) -> None:
        views = [target_view(verified_at=NOW - 9) for _ in range(2)]
        views[0].verify(Seconds(0), Seconds(NOW))
        now = NOW
        turns = itertools.cycle([tuple(views), tuple(reversed(views))])
        for telling, told in itertools.islice(turns, 50):
            news = describe_load(telling, now)
            now += delay
            merge_load(told, news, now)
        for view in views:
            age = view.verification_age(now)
            self.assertAlmostEqual(age, now - NOW, delta=delay)

    # Guards against a confirmation that counts as another one each time that
    # its news take less long, so that its target need not confirm again.
    @parameterized.expand(
        [
            ('sooner', 0.01, 0, False),
            ('another', 0.03, 0, True),
            ('cold', 0.01, 3, True),
        ]
    )
    def test_newer_confirmation(
        self, _name: str, newer: float, cold: float, is_new: bool
    ) -> None:
        told, telling = (target_view(verified_at=NOW) for _ in range(2))
        telling.verify(Seconds(cold), Seconds(NOW + newer))
        now = Seconds(NOW + 0.05)
        merge_load(told, describe_load(telling, now), now)
        age = 0.05 - newer if is_new else 0.05
        self.assertAlmostEqual(told.verification_age(now), age, delta=0.002)


class LoadGossipTest(unittest.TestCase):
    """Every instance learns of loads, losses and requests exactly once."""

    def test_each_target_has_one_prober_in_its_domain(self) -> None:
        domains = ('tirol-a', 'tirol-a', 'tirol-b', 'wien-a')
        edges = [
            instance(name, domain)
            for name, domain in zip('abcd', domains, strict=True)
        ]
        targets = tuple(
            target(str(number), domain) for number, domain in enumerate(domains)
        )
        cluster = feed(*edges, targets=targets)
        due = [
            (view.record.target, view.record.domain, record.domain)
            for record in edges
            for view in LoadGossip(edge(record, cluster)).probes_due(NOW)
        ]
        self.assertEqual(sorted(probe[0] for probe in due), list('0123'))
        self.assertTrue(all(domain == prober for _, domain, prober in due))

    @parameterized.expand(SIZES)
    def test_load_reaches_all(self, _name: str, instances: int) -> None:
        domain = Domain(instances)
        origin = instances - 1
        domain.view(origin, '0').update_load(LoadReport(2, 0, 4, 7), NOW)
        parcels = domain.gossip(origin).share_load(
            domain.view(origin, '0'), NOW
        )
        domain.send(origin, parcels)
        domain.tick_until_forwarded()
        for number in range(instances):
            view = domain.view(number, '0')
            self.assertEqual(view.report.slowness, 7)
            self.assertAlmostEqual(view.reported_at, NOW, delta=0.01)

    @parameterized.expand(SIZES)
    def test_loss_reaches_all_others(self, _name: str, instances: int) -> None:
        domain = Domain(instances)
        for number in range(instances):
            domain.view(number, '0').verify(0, NOW)
        lost = domain.gossip(0).share_load(
            domain.view(0, '0'), NOW, is_lost=True
        )
        domain.send(0, lost)
        domain.tick_until_forwarded()
        ages = [
            domain.view(number, '0').verification_age(domain.now)
            for number in range(1, instances)
        ]
        self.assertTrue(all(age > 1 for age in ages))

    @parameterized.expand(SIZES)
    def test_request_is_counted_once_by_each_other(
        self, _name: str, instances: int
    ) -> None:
        domain = Domain(instances)
        origins = sorted({0, instances - 1})
        for origin in origins:
            view = domain.view(origin, '0')
            domain.send(origin, domain.gossip(origin).announce_request(view))
        domain.tick_until_forwarded()
        for number in range(instances):
            others = [origin for origin in origins if origin != number]
            outstanding = domain.view(number, '0').outstanding()
            self.assertEqual(outstanding, len(others))

    def test_another_instance_forwards_after_the_delegate_is_removed(
        self,
    ) -> None:
        domain = Domain(35)
        domain.lost_peers.add(domain.records[0].peer)
        view = domain.view(34, '0')
        view.update_load(LoadReport(2, 0, 4, 7), NOW)
        domain.send(34, domain.gossip(34).share_load(view, NOW))
        domain.tick_until_forwarded()
        self.assertNotEqual(domain.view(1, '0').report.slowness, 7)
        removal = dataclasses.replace(
            feed(index=2),
            complete=False,
            removed_edges=(domain.records[0].instance,),
        )
        for survivor in domain.edges:
            survivor.apply(removal, None)
        domain.send(34, domain.gossip(34).share_load(view, NOW))
        domain.tick_until_forwarded()
        self.assertEqual(domain.view(1, '0').report.slowness, 7)


class CheckIntervalTest(unittest.TestCase):
    """An instance without requests wakes up seldom, the delegate often."""

    @parameterized.expand(
        [
            ('idle', 5, 0, 0.1),
            ('busy', 5, 60, 0.03),
            ('delegate', 0, 0, 0.03),
            ('burst_is_over', 5, 60, 0.1),
        ]
    )
    def test_interval(
        self, name: str, number: int, requests: int, interval: float
    ) -> None:
        domain = Domain(35)
        edge_pool = domain.edges[number].pool_by_service[ServiceId('stock')]
        for _ in range(requests):
            edge_pool.request_rate.record(NOW)
        now = NOW + 30 if name == 'burst_is_over' else NOW
        gossip = domain.gossip(number)
        self.assertEqual(gossip.check_interval(now), interval)


class DatagramCountTest(unittest.TestCase):
    """The datagrams for one request do not grow with the domain."""

    @parameterized.expand([(3,), (9,), (35,), (97,)])
    def test_one_second(self, instances: int) -> None:
        domain = Domain(instances)
        draw = random.Random(instances)
        ticks, events = 33, 5
        for _ in range(ticks):
            for _event in range(events):
                number = draw.randrange(instances)
                view = domain.view(number, str(draw.randrange(9)))
                domain.send(
                    number, domain.gossip(number).announce_request(view)
                )
                domain.send(
                    number, domain.gossip(number).share_load(view, domain.now)
                )
            domain.tick()
        news = 2 * events * ticks
        forwards = ticks * TICK / RELAY_INTERVAL + 1
        direct = news * min(instances - 1, MAX_DIRECT_PEERS)
        relayed = news + forwards * (instances - 1)
        is_relayed = instances > MAX_DIRECT_PEERS + 1
        self.assertLessEqual(
            sum(domain.sent.values()), relayed if is_relayed else direct
        )
