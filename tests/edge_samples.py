"""Sample targets, instances and edges for tests without a network."""

from tests.platform_samples import ROUTES, encoded
from turmericmast.balance.candidate import Locality, Requirements
from turmericmast.balance.load import LoadReport
from turmericmast.balance.pool import Pool
from turmericmast.balance.retrybudget import SharedRetryBudget
from turmericmast.balance.targetview import TargetView
from turmericmast.clock import SystemClock
from turmericmast.cluster.records import (
    ClusterFeed,
    EdgePhase,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)
from turmericmast.edge.edge import Edge
from turmericmast.ids import Seconds
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
    """Return a complete feed of a cluster."""
    return ClusterFeed(index, True, None, evacuated, targets, (), edges, ())


def document() -> RouteDocument:
    """Return the sample route document."""
    return DocumentFormat().parse(encoded(ROUTES)).unwrap()


def edge(record: EdgeRecord, cluster: ClusterFeed) -> Edge:
    """Return an edge that has applied a feed and the sample routes."""
    sample = Edge(record, REGION_BY_DOMAIN, Bounds())
    sample.apply(cluster, document())
    return sample


def target_view(
    name: str = '1',
    domain: str = 'tirol-a',
    slowness: float = 1,
    busy: int = 0,
    *,
    verified_at: float = NOW,
    age: float = 0,
) -> TargetView:
    """Return the view of a target whose load report is ``age`` seconds old."""
    view = TargetView(target(name, domain), REGION_BY_DOMAIN[domain])
    view.verify(0, verified_at)
    report = LoadReport(min(busy, 4), max(busy - 4, 0), 4, slowness)
    view.update_load(report, NOW - age)
    return view


def pool(*views: TargetView) -> Pool:
    """Return the pool of an instance in ``tirol-a``."""
    sample = Pool('stock', Locality('tirol-a', 'tirol'), SharedRetryBudget(0.2))
    sample.cold_rate = 13
    for view in views:
        sample.add(view)
    return sample


def requirements(*avoid: str, homes: tuple[str, ...] = ()) -> Requirements:
    """Return the requirements of a look-up: goal 250 ms, deadline 1.2 s."""
    return Requirements('look', 0.25, NOW + 0.25, NOW + 1.2, homes, avoid)


class SkewedClock(SystemClock):
    """The system clock with an offset in seconds."""

    offset = 0.0

    def now(self) -> Seconds:
        """Return the time with the offset added."""
        return Seconds(super().now() + self.offset)
