"""Time that decisions of one edge take, by the size of the fleet.

Without a network: an edge with that many instances and targets, of which none
answers it, so that it forwards all requests.
"""

import time
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from turmericmast.balance.candidate import Requirements
from turmericmast.balance.scoring import Distance
from turmericmast.cluster.records import (
    ClusterFeed,
    EdgePhase,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)
from turmericmast.edge.edge import Edge
from turmericmast.edge.gossip import LoadGossip
from turmericmast.edge.reach import is_cut_off
from turmericmast.ids import (
    Born,
    DomainId,
    Incarnation,
    Index,
    InstanceId,
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    TargetId,
)
from turmericmast.instancesettings import Bounds

SIZES = ((16, 41), (116, 150), (315, 360), (874, 1000))
"""Instances and targets of the fleets that are measured."""
REPEATS = 200
"""Times that each decision is made; the fastest tenth counts."""
NOW = Seconds(100)
SERVICE = ServiceId('stock')
REGION_BY_DOMAIN = MappingProxyType(
    {
        DomainId(f'{region}-{letter}'): RegionId(region)
        for region in ('tirol', 'kaernten', 'wien')
        for letter in 'abc'
    }
)


def measure() -> list[dict[str, Any]]:
    """Return a row of microseconds for each size."""
    return [_measure(*size) for size in SIZES]


def _measure(instances: int, targets: int) -> dict[str, Any]:
    edge = _edge(instances, targets)
    pool = edge.pool_by_service[SERVICE]
    needs = Requirements(
        RouteName('look'), Seconds(1), Seconds(101), Seconds(102), ()
    )
    gossip = LoadGossip(edge)
    decisions: dict[str, Callable[[], object]] = {
        'is_cut_off': lambda: is_cut_off(edge.views(), NOW),
        'choose_peer': lambda: edge.peers.choose(SERVICE, (), (), NOW),
        'choose_target': lambda: pool.best(needs, Distance.remote, NOW),
        'probes_due': lambda: gossip.probes_due(NOW),
    }
    return {
        'instances': instances,
        'targets': targets,
        **{f'{name}_us': micros(act) for name, act in decisions.items()},
    }


def micros(act: Callable[[], object]) -> float:
    """Return the microseconds that the fastest tenth of the calls takes."""
    times = []
    for _ in range(REPEATS):
        began_at = time.perf_counter()
        act()
        times.append(time.perf_counter() - began_at)
    fastest = sorted(times)[: REPEATS // 10]
    return round(sum(fastest) / len(fastest) * 1e6, 1)


def _edge(instances: int, targets: int) -> Edge:
    domains = tuple(REGION_BY_DOMAIN)
    edges = tuple(
        EdgeRecord(
            InstanceId(f'e-{number}'),
            Incarnation('1'),
            f'10.0.0.1:{number + 1}',
            domains[number % len(domains)],
            REGION_BY_DOMAIN[domains[number % len(domains)]],
            EdgePhase.serving,
            f'10.0.0.2:{number + 1}',
        )
        for number in range(instances)
    )
    records = tuple(
        TargetRecord(
            TargetId(f't-{number}'),
            Born(1),
            1,
            SERVICE,
            f'10.0.1.1:{number + 1}',
            domains[number % len(domains)],
            4,
            TargetPhase.ready,
        )
        for number in range(targets)
    )
    edge = Edge(edges[0], REGION_BY_DOMAIN, Bounds())
    edge.apply(
        ClusterFeed(Index(1), True, None, (), records, (), edges, ()), None
    )
    for view in edge.views():
        view.lose_path(Seconds(NOW - 10))
    edge.update_reach(NOW)
    return edge
