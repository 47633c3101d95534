"""Targets, instances and edges for tests without a network."""

from tests.platform_samples import ROUTES, encoded
from turmericmast.balance.load import LoadReport
from turmericmast.balance.pool import Ask, Place, Pool
from turmericmast.balance.repeats import RepeatBudget
from turmericmast.balance.standing import Standing
from turmericmast.cluster.records import (
    ClusterFeed,
    EdgePhase,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)
from turmericmast.edge.edge import Edge
from turmericmast.instancesettings import Bounds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.route.document import RouteDocument

REGION_BY_DOMAIN = {
    'tirol-a': 'tirol',
    'tirol-b': 'tirol',
    'wien-a': 'wien',
}
NOW = 100.0


def target(name: str, domain: str = 'tirol-a', slots: int = 4) -> TargetRecord:
    """Return a target of the service ``stock``."""
    return TargetRecord(
        name,
        10,
        1,
        'stock',
        f'10.0.0.{name}:80',
        domain,
        slots,
        TargetPhase.ready,
    )


def instance(
    name: str,
    domain: str = 'tirol-a',
    phase: EdgePhase = EdgePhase.serving,
) -> EdgeRecord:
    """Return an edge instance."""
    return EdgeRecord(
        name,
        '1',
        f'{name}:80',
        domain,
        REGION_BY_DOMAIN[domain],
        phase,
        f'{name}:81',
    )


def feed(
    *edges: EdgeRecord,
    targets: tuple[TargetRecord, ...] = (),
    evacuated: tuple[str, ...] = (),
    index: int = 1,
) -> ClusterFeed:
    """Return a complete feed."""
    return ClusterFeed(index, True, None, evacuated, targets, (), edges, ())


def document() -> RouteDocument:
    """Return the routes of the samples."""
    return DocumentFormat().parse(encoded(ROUTES)).unwrap()


def edge(me: EdgeRecord, others: ClusterFeed) -> Edge:
    """Return an edge that follows a cluster."""
    made = Edge(me, REGION_BY_DOMAIN, Bounds())
    made.apply(others, document())
    return made


def standing(
    name: str = '1',
    domain: str = 'tirol-a',
    slowness: float = 1,
    busy: int = 0,
    *,
    proved_at: float = NOW,
    age: float = 0,
) -> Standing:
    """Return a target that has just told its load."""
    made = Standing(target(name, domain), REGION_BY_DOMAIN[domain])
    made.prove(0, proved_at)
    report = LoadReport(min(busy, 4), max(busy - 4, 0), 4, slowness)
    made.hear_load(report, NOW - age)
    return made


def pool(*standings: Standing) -> Pool:
    """Return a pool seen from ``tirol-a``."""
    made = Pool('stock', Place('tirol-a', 'tirol'), RepeatBudget(0.2))
    made.cold_rate = 13
    made.standing_by_target = {one.record.target: one for one in standings}
    return made


def ask(*avoid: str, homes: tuple[str, ...] = ()) -> Ask:
    """Return what a look-up needs: 250 ms, 1.2 s at most."""
    return Ask('look', NOW + 0.25, NOW + 1.2, homes, avoid)
