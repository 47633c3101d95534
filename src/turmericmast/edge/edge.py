"""The root of the edge aggregate."""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import final

from turmericmast.balance.affinity import affinity
from turmericmast.balance.coldshare import senders
from turmericmast.balance.pool import FRESH, Place, Pool
from turmericmast.balance.repeats import RepeatBudget
from turmericmast.balance.standing import Standing
from turmericmast.cluster.records import (
    ClusterFeed,
    EdgePhase,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)
from turmericmast.edge.quarantine import Quarantine
from turmericmast.ids import (
    DomainId,
    Index,
    InstanceId,
    RegionId,
    Seconds,
    ServiceId,
    TargetId,
)
from turmericmast.instancesettings import Bounds
from turmericmast.route.document import Route, RouteDocument, ServiceTerms
from turmericmast.route.table import RouteTable, Splitter

DIRECTORY_LIFETIME = 5.0
"""Seconds that callers keep an answer of the directory, at most.

A look-up costs a caller two round trips before its request."""
FEWEST_ADDRESSES = 2
"""Addresses in an answer, as long as the region has so many instances."""
MAX_ADDRESSES = 64
"""Addresses in one answer of the directory."""
LONGEST_USUAL = 2.0
"""Seconds within which requests are over but for rare ones."""
PROBE_SHARE = 0.5
"""Share of the probes a target bears that near instances use."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Where callers should connect, and how long they may think so."""

    addresses: tuple[str, ...]
    lifetime: float
    """Seconds."""


@final
class Edge:
    """Follows the cluster, and decides for the callers of one instance."""

    def __init__(
        self,
        record: EdgeRecord,
        region_by_domain: Mapping[DomainId, RegionId],
        bounds: Bounds,
    ) -> None:
        """Know nothing of the cluster yet."""
        self.record = record
        self.bounds = bounds
        self.index = Index(0)
        self.changes = 0
        """Counts what changed here, so that others know what to work out."""
        self.table: RouteTable | None = None
        self.pool_by_service: dict[ServiceId, Pool] = {}
        self.edge_by_instance: dict[InstanceId, EdgeRecord] = {}
        self.evacuated: frozenset[DomainId] = frozenset()
        self._region_by_domain = region_by_domain
        self._place = Place(record.domain, record.region)
        self._standing_by_target: dict[TargetId, Standing] = {}
        self.quarantine = Quarantine()
        self._splitter = Splitter()
        self._ends_at = math.inf

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should come here."""
        is_serving = self.record.phase is EdgePhase.serving
        return is_serving and self.table is not None

    @property
    def is_leaving(self) -> bool:
        """Tell whether this instance is about to stop."""
        return self.record.phase is EdgePhase.leaving

    @property
    def lifetime(self) -> float:
        """Return the seconds that callers keep an answer of the directory."""
        return min(DIRECTORY_LIFETIME, self.bounds.directory_ttl)

    def leave(self, ends_at: Seconds) -> None:
        """Begin to stop: no new callers, and no process after ``ends_at``."""
        self._ends_at = ends_at
        self.record = dataclasses.replace(
            self.record,
            phase=EdgePhase.leaving,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        return self.table.find(host, path) if self.table else None

    def pick_pool(self, route: Route) -> Pool | None:
        """Return the targets of the service that a request goes to."""
        service = self._splitter.pick(route)
        return self._pool(service) if service else None

    def can_finish(self, deadline: Seconds, now: Seconds) -> bool:
        """Tell whether a request is over before this instance stops.

        One that may not be must go elsewhere, where it is not cut off.
        """
        return min(deadline, now + LONGEST_USUAL) < self._ends_at

    def standings(self) -> Iterable[Standing]:
        """Return all targets as they are known."""
        return self._standing_by_target.values()

    def standing(self, target: TargetId) -> Standing | None:
        """Return a target as it is known."""
        return self._standing_by_target.get(target)

    def health_path(self, service: ServiceId) -> str:
        """Return where the targets of a service tell their health."""
        terms = self._terms(service)
        return terms.health_path if terms else ''

    def may_send(self, standing: Standing) -> bool:
        """Tell whether a target still takes work, right before a send."""
        record = standing.record
        known = self._standing_by_target.get(record.target)
        is_ready = standing.record.phase is TargetPhase.ready
        return (
            known is standing
            and is_ready
            and (record.domain not in self.evacuated)
        )

    def directory(
        self,
        host: str,
        region: RegionId,
        domain: DomainId,
    ) -> DirectoryAnswer:
        """Return the instances that callers of a host should use."""
        serving = [
            edge
            for edge in self.edge_by_instance.values()
            if edge.phase is EdgePhase.serving
        ]
        homes = self.table.home_regions(host) if self.table else frozenset()
        if homes and region not in homes:
            at_home = [edge for edge in serving if edge.region in homes]
            chosen = at_home or serving
        else:
            chosen = _nearest(serving, region, domain)
        addresses = tuple(edge.address for edge in chosen[:MAX_ADDRESSES])
        return DirectoryAnswer(addresses, self.lifetime)

    def accepts(self, feed: ClusterFeed) -> bool:
        """Tell whether a feed is no older than what is known.

        A member that lags behind the last one that was asked has an old one.
        """
        return feed.index >= self.index

    def apply(self, feed: ClusterFeed, document: RouteDocument | None) -> None:
        """Follow the cluster by a feed that is accepted."""
        is_same = feed.index == self.index and not feed.complete
        self.index = feed.index
        if is_same and document is None:
            return
        if document:
            self.table = RouteTable(document)
        self.evacuated = frozenset(feed.evacuated)
        self.quarantine.take(feed.suspects)
        self._apply_edges(feed)
        self._apply_targets(feed)
        self._share_out()
        self.changes += 1

    def _apply_edges(self, feed: ClusterFeed) -> None:
        if feed.complete:
            self.edge_by_instance.clear()
        for gone in feed.removed_edges:
            self.edge_by_instance.pop(gone, None)
        for edge in feed.edges:
            self.edge_by_instance[edge.instance] = edge

    def _apply_targets(self, feed: ClusterFeed) -> None:
        kept = {record.target for record in feed.targets}
        gone = (
            self._standing_by_target.keys() - kept
            if feed.complete
            else set(feed.removed_targets)
        )
        for target in gone:
            self._forget(target)
        for record in feed.targets:
            self._take(record)

    def _take(self, record: TargetRecord) -> None:
        known = self._standing_by_target.get(record.target)
        if known and _is_same_start(known.record, record):
            known.record = record
            return
        self._forget(record.target)
        region = self._region_by_domain.get(record.domain, RegionId(''))
        spread_rank = affinity(record.target, self.record.instance)
        standing = Standing(record, region, spread_rank)
        self._standing_by_target[record.target] = standing
        pool = self._pool(record.service)
        pool.standing_by_target[record.target] = standing

    def _forget(self, target: TargetId) -> None:
        standing = self._standing_by_target.pop(target, None)
        if standing:
            pool = self._pool(standing.record.service)
            pool.standing_by_target.pop(target, None)

    def _pool(self, service: ServiceId) -> Pool:
        known = self.pool_by_service.get(service)
        if known is None:
            known = Pool(
                service,
                self._place,
                RepeatBudget(self.bounds.retry_ratio),
            )
            self.pool_by_service[service] = known
        return known

    def _share_out(self) -> None:
        """Work out this instance's part of what all of them share."""
        edges = tuple(self.edge_by_instance.values())
        near = sum(edge.domain == self.record.domain for edge in edges)
        probe_rate = self.bounds.probe_rate * PROBE_SHARE
        for service, pool in self.pool_by_service.items():
            pool.evacuated = self.evacuated
            pool.near_instances = max(near, 1)
            pool.probe_interval = max(
                FRESH,
                pool.near_instances / probe_rate,
            )
            pool.repeats.share(self.bounds.retry_slack, len(edges))
            terms = self._terms(service)
            pool.cold_rate = terms.cold_rate if terms else 0
            pool.cold_targets = frozenset(
                target
                for target, standing in pool.standing_by_target.items()
                if self.record.instance
                in senders(standing.record, standing.region, edges)
            )

    def _terms(self, service: ServiceId) -> ServiceTerms | None:
        if self.table is None:
            return None
        return self.table.document.terms_by_service.get(service)


def _is_same_start(known: TargetRecord, record: TargetRecord) -> bool:
    return (known.born, known.address, known.service) == (
        record.born,
        record.address,
        record.service,
    )


def _nearest(
    edges: list[EdgeRecord],
    region: RegionId,
    domain: DomainId,
) -> list[EdgeRecord]:
    in_domain = [edge for edge in edges if edge.domain == domain]
    in_region = [edge for edge in edges if edge.region == region]
    if len(in_domain) >= FEWEST_ADDRESSES:
        return in_domain
    # Callers of a lone instance need another one while it is gone.
    others = [edge for edge in in_region if edge.domain != domain]
    return in_domain + others[: FEWEST_ADDRESSES - len(in_domain)] or edges
