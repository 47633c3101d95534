"""Which instances probe a target and send to it while it is cold.

Pattern: one instance of hundreds starts or stops at a time.
"""

import itertools
import random
import unittest.mock
from collections.abc import Iterable

from parameterized import parameterized

from turmericmast.balance.affinity import affinity
from turmericmast.balance.assignment import AssignmentTable
from turmericmast.cluster.records import (
    EdgePhase,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)

OWN = 'edge-0'


def region_of(domain: str) -> str:
    """Return the region of a domain, which is the start of its name."""
    return domain.partition('-')[0]


def make_edge(number: int, domains: list[str]) -> EdgeRecord:
    """Return an instance; domains get instances in turn."""
    domain = domains[number % len(domains)]
    name = f'edge-{number}'
    phase = EdgePhase.serving
    return EdgeRecord(
        name, '1', f'{name}:80', domain, region_of(domain), phase, f'{name}:81'
    )


def make_target(number: int, domains: list[str]) -> TargetRecord:
    """Return a target; domains get targets in turn."""
    domain = domains[number % len(domains)]
    name = f't{number}'
    return TargetRecord(
        name, 10, 1, 'stock', f'{name}:80', domain, 4, TargetPhase.ready
    )


def make_domains(regions: int, each: int) -> list[str]:
    """Return the names of ``each`` domains in each of ``regions``."""
    return [
        f'r{region}-{domain}'
        for domain, region in itertools.product(range(each), range(regions))
    ]


def nearest(
    target: TargetRecord, edges: Iterable[EdgeRecord]
) -> tuple[str, ...]:
    """Return the three nearest instances by comparing all of them."""
    ranked = sorted(
        edges,
        key=lambda edge: (
            edge.domain != target.domain,
            edge.region != region_of(target.domain),
            affinity(target.target, edge.instance),
        ),
    )
    return tuple(edge.instance for edge in ranked[:3])


class AssignmentHistoryTest(unittest.TestCase):
    """After any history the table equals one made from scratch."""

    @parameterized.expand(
        [
            ('one_domain', 1, 1, 6, 5),
            ('two_instances_a_domain', 3, 2, 12, 12),
            ('fewer_instances_than_domains', 3, 3, 5, 12),
            ('many', 3, 3, 40, 40),
        ],
    )
    def test_random_history(
        self,
        _name: str,
        regions: int,
        each: int,
        instances: int,
        targets: int,
    ) -> None:
        domains = make_domains(regions, each)
        draw = random.Random(instances)
        table = AssignmentTable(OWN)
        edge_by_instance: dict[str, EdgeRecord] = {}
        by_target: dict[str, TargetRecord] = {}
        for _ in range(400):
            if draw.random() < 0.5:
                edge = make_edge(draw.randrange(instances), domains)
                if edge_by_instance.pop(edge.instance, None):
                    table.remove_edge(edge)
                else:
                    edge_by_instance[edge.instance] = edge
                    table.set_edge(edge)
            else:
                record = make_target(draw.randrange(targets), domains)
                if by_target.pop(record.target, None):
                    table.remove_target(record.target)
                else:
                    by_target[record.target] = record
                    table.add_target(record, region_of(record.domain))
            senders_by_target = {
                target: nearest(record, edge_by_instance.values())
                for target, record in by_target.items()
            }
            self._check(table, senders_by_target)

    def test_restarted_instance_keeps_its_roles(self) -> None:
        table = AssignmentTable(OWN)
        edge = make_edge(0, ['r0-0'])
        table.set_edge(edge)
        table.add_target(make_target(1, ['r0-0']), 'r0')
        table.set_edge(edge)
        self.assertEqual(table.senders('t1'), (OWN,))
        self.assertEqual(set(table.probed_targets), {'t1'})

    def _check(
        self,
        table: AssignmentTable,
        senders_by_target: dict[str, tuple[str, ...]],
    ) -> None:
        for target, senders in senders_by_target.items():
            self.assertEqual(table.senders(target), senders)
        own = {
            target
            for target, senders in senders_by_target.items()
            if OWN in senders
        }
        first = {
            target for target in own if senders_by_target[target][0] == OWN
        }
        self.assertEqual(set(table.own_targets), own)
        self.assertEqual(set(table.probed_targets), first)


class AssignmentWorkTest(unittest.TestCase):
    """The work for one changed instance grows with its domain only.

    A hash is the costly step, so hashes are counted. Without the table, each
    change hashes every instance with every target.
    """

    @parameterized.expand([(122, 108), (315, 360), (874, 1000)])
    def test_one_change(self, instances: int, targets: int) -> None:
        domains = make_domains(3, 3)
        table = AssignmentTable(OWN)
        for number in range(instances):
            table.set_edge(make_edge(number, domains))
        for number in range(targets):
            record = make_target(number, domains)
            table.add_target(record, region_of(record.domain))
        edge = make_edge(instances // 2, domains)
        most = (instances // 9 + 1) * (targets // 9 + 1)
        with unittest.mock.patch(
            'turmericmast.balance.assignment.affinity', side_effect=affinity
        ) as hashed:
            table.remove_edge(edge)
            removed = hashed.call_count
            table.set_edge(edge)
        self.assertLessEqual(removed, most)
        self.assertLessEqual(hashed.call_count - removed, targets // 9 + 1)
