"""The root of the edge aggregate: state and decisions of one instance."""

from collections.abc import Collection, Iterable, Mapping
from typing import final

from turmericmast.balance.affinity import affinity
from turmericmast.balance.candidate import Locality
from turmericmast.balance.coldlimit import most_unconfirmed
from turmericmast.balance.openness import withheld_by
from turmericmast.balance.pool import FRESH_REPORT_AGE, Pool
from turmericmast.balance.retrybudget import SharedRetryBudget
from turmericmast.balance.targetview import TargetView
from turmericmast.clock import LONG_AGO, NEVER
from turmericmast.cluster.records import (
    ClusterFeed,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)
from turmericmast.edge.crashdoubts import CrashDoubts
from turmericmast.edge.directory import (
    DirectoryAnswer,
    choose_instances,
    directory_ttl,
    trusted_instances,
)
from turmericmast.edge.freshness import Freshness
from turmericmast.edge.keyfence import KeyFence, KeyTrust
from turmericmast.edge.membership import Membership
from turmericmast.edge.peers import Peers
from turmericmast.edge.quarantine import Quarantine
from turmericmast.edge.reach import ReachReport, is_cut_off
from turmericmast.ids import (
    ApiKey,
    DomainId,
    Index,
    InstanceId,
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    TargetId,
)
from turmericmast.instancesettings import Bounds
from turmericmast.rollout.gates import VersionGates
from turmericmast.route.document import Route, RouteDocument, ServiceConfig
from turmericmast.route.table import RouteTable, TrafficSplitter

RESPONSE_TIME = 0.1
"""Seconds to write a response that is ready at the deadline of its request."""
PROBE_SHARE = 0.5
"""Fraction of a target's permitted probe rate that near instances use."""


@final
class Edge:
    """One instance's view of the cluster, and its decisions for callers."""

    def __init__(
        self,
        record: EdgeRecord,
        region_by_domain: Mapping[DomainId, RegionId],
        bounds: Bounds,
        started_at: Seconds = LONG_AGO,
        gates: VersionGates | None = None,
    ) -> None:
        """Begin with an empty view of the cluster.

        ``started_at`` is when this process started, ``LONG_AGO`` if none can
        have run here shortly before. ``gates`` choose targets by their
        version; ``None`` where rollouts are not in force.
        """
        self.record = record
        self.bounds = bounds
        self._gates = gates
        self.index = Index(0)
        """Index of the newest feed that was applied."""
        self.route_table: RouteTable | None = None
        self.pool_by_service: dict[ServiceId, Pool] = {}
        self.membership = Membership(record.instance)
        self.peers = Peers(record, self.membership)
        self.evacuated: frozenset[DomainId] = frozenset()
        self._started_at = started_at
        self._region_by_domain = region_by_domain
        self._locality = Locality(record.domain, record.region)
        self._view_by_target: dict[TargetId, TargetView] = {}
        self.unusable_targets: set[TargetId] = set()
        """Targets that are passed over, since their records are odd."""
        self.quarantine = Quarantine()
        self.crash_doubts = CrashDoubts()
        self.key_fence = KeyFence(
            bounds.revocation,
            gates.freshness
            if gates
            else Freshness(is_wanted=bounds.revocation is not None),
        )
        self._splitter = TrafficSplitter(
            lambda route, service: _split_start(record, route, service)
        )
        self._reach_report = ReachReport()
        self._stops_at = NEVER
        """When the process ends; infinite unless it is leaving."""

    def is_ready(self, now: Seconds) -> bool:
        """Tell whether new callers should connect.

        It has routes and stays, and a recent proof if callers need a key.
        """
        if self.route_table is None or self.record.is_leaving:
            return False
        return not self.route_table.needs_keys or (
            self.key_fence.trust(now) is KeyTrust.fresh
        )

    @property
    def gates(self) -> VersionGates | None:
        """Return the gates by version, ``None`` without rollouts."""
        return self._gates

    def update_reach(self, now: Seconds) -> bool:
        """Report to the core how targets are reached; true after a change."""
        has_changed = self._reach_report.update(
            now, cut_off=is_cut_off(self.views(), now, self.evacuated)
        )
        if has_changed:
            self.record = self.record.with_reach(self._reach_report.state)
        return has_changed

    def leave(self, stops_at: Seconds) -> None:
        """Stop attracting new callers; the process ends at ``stops_at``.

        No request is taken that may run longer.
        """
        self._stops_at = stops_at
        self.record = self.record.leaving()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, ``None`` without a match."""
        return self.route_table.find(host, path) if self.route_table else None

    def pick_pool(
        self, route: Route, wanted: ServiceId | None = None
    ) -> Pool | None:
        """Choose a service of a route by weight, and return its targets.

        ``wanted`` is the choice of the instance that forwarded the request. It
        is kept if the route still has that service.
        """
        is_known = any(
            branch.service == wanted and branch.weight > 0
            for branch in route.branches
        )
        service = wanted if is_known else self._splitter.pick(route)
        return self._pool(service) if service else None

    def can_finish(self, deadline: Seconds) -> bool:
        """Tell whether a request certainly ends before this instance stops.

        It may run until its ``deadline``. Other requests must go elsewhere,
        since they could be cut off here.
        """
        return deadline + RESPONSE_TIME <= self._stops_at

    def views(self) -> Iterable[TargetView]:
        """Return the views of all targets."""
        return self._view_by_target.values()

    def view(self, target: TargetId) -> TargetView | None:
        """Return the view of a target, ``None`` if it is unknown."""
        return self._view_by_target.get(target)

    def health_path(self, service: ServiceId) -> str:
        """Return the path of a service's health check, empty if unknown."""
        config = self._config(service)
        return config.health_path if config else ''

    def may_send(
        self,
        view: TargetView,
        now: Seconds,
        *,
        as_last_resort: bool = False,
    ) -> bool:
        """Tell whether a request may still be sent to a chosen target.

        The target may have been removed, restarted, drained or evacuated
        since it was chosen, or may have asked for no more requests.
        """
        record = view.record
        known = self._view_by_target.get(record.target)
        is_permitted = self._gates is None or self._gates.may_send(record, now)
        is_ready = is_permitted and record.phase is TargetPhase.ready
        cause = withheld_by(view, now, as_last_resort=as_last_resort)
        return (
            known is view
            and is_ready
            and (record.domain not in self.evacuated)
            and cause is None
        )

    def resolve(
        self,
        host: str,
        region: RegionId,
        domain: DomainId,
        now: Seconds,
        keys: tuple[ApiKey, ...] = (),
    ) -> DirectoryAnswer:
        """Return the instances that callers of a host should connect to.

        ``region`` and ``domain`` are those of the caller, ``keys`` those that
        its look-up carries. Callers outside of
        the home regions of a host are sent there, if any instance serves.
        Those that have lost their targets are named only if no other is left.
        Without a recent proof, callers who need a key are sent elsewhere.
        """
        table = self.route_table
        edges: Collection[EdgeRecord]
        edges = self.membership.edge_by_instance.values()
        if table and table.host_needs_keys(host):
            trust = self.key_fence.trust(now)
            edges = trusted_instances(edges, self.record.instance, trust)
        chosen = choose_instances(
            edges,
            table.home_regions(host, keys) if table else frozenset(),
            region,
            domain,
        )
        return DirectoryAnswer(
            tuple(edge.address for edge in chosen),
            directory_ttl(self.bounds),
        )

    def accepts(self, feed: ClusterFeed) -> bool:
        """Tell whether a feed is at least as new as the current view.

        A core member that lags behind the previous one sends an older feed.
        """
        return feed.index >= self.index

    def apply(self, feed: ClusterFeed, document: RouteDocument | None) -> None:
        """Update the view from an accepted feed.

        ``document`` holds the routes of the feed, ``None`` if they have not
        changed or cannot be read.
        """
        is_same = feed.index == self.index and not feed.complete
        self.index = feed.index
        if is_same and document is None:
            return
        if document:
            self.route_table = RouteTable(document)
            self._splitter.keep(document.route_by_name.values())
        self.evacuated = frozenset(feed.evacuated)
        self.quarantine.update(feed.suspects)
        if self._gates:
            self._gates.apply(feed.rollouts)
        self.membership.apply(feed)
        self.peers.forget_removed()
        self._apply_targets(feed)
        self._update_shares()

    def _apply_targets(self, feed: ClusterFeed) -> None:
        listed = {record.target for record in feed.targets}
        removed = (
            (self._view_by_target.keys() | self.unusable_targets) - listed
            if feed.complete
            else set(feed.removed_targets)
        )
        for target in removed:
            self._remove_target(target)
        for record in feed.targets:
            self._apply_target(record)

    def _apply_target(self, record: TargetRecord) -> None:
        known = self._view_by_target.get(record.target)
        is_same_start = known and _is_same_start(known.record, record)
        if known and is_same_start and record.is_usable:
            known.record = record
            return
        self._remove_target(record.target)
        if not record.is_usable:
            self.unusable_targets.add(record.target)
            return
        region = self._region_by_domain.get(record.domain, RegionId(''))
        spread_rank = affinity(record.target, self.record.instance)
        view = TargetView(record, region, spread_rank, self.bounds.drain)
        self._view_by_target[record.target] = view
        self._pool(record.service).add(view)
        self.membership.assignments.add_target(record, region)

    def _remove_target(self, target: TargetId) -> None:
        self.unusable_targets.discard(target)
        view = self._view_by_target.pop(target, None)
        if view:
            self._pool(view.record.service).remove(view)
            self.membership.assignments.remove_target(target)

    def _pool(self, service: ServiceId) -> Pool:
        known = self.pool_by_service.get(service)
        if known is None:
            known = Pool(
                service,
                self._locality,
                self._make_retry_budget(service),
                self.membership.assignments.own_targets,
                affinity(service, self.record.instance),
            )
            if self._gates:
                known.gate = self._gates.gate(service)
            self.pool_by_service[service] = known
        return known

    def _make_retry_budget(self, service: ServiceId) -> SharedRetryBudget:
        return SharedRetryBudget(
            self.bounds.retry_ratio,
            affinity(service, self.record.instance),
            Seconds(self._started_at + self.bounds.retry_window),
            self.bounds.retry_window,
        )

    def _update_shares(self) -> None:
        """Update this instance's share of the limits for all instances."""
        near = len(
            self.membership.assignments.edges_by_domain.get(
                self.record.domain, ()
            )
        )
        probe_rate = self.bounds.probe_rate * PROBE_SHARE
        for service, pool in self.pool_by_service.items():
            pool.evacuated = self.evacuated
            pool.near_instances = max(near, 1)
            pool.probe_interval = max(
                FRESH_REPORT_AGE,
                pool.near_instances / probe_rate,
            )
            pool.retry_budget.share_slack(
                self.bounds.retry_slack, len(self.membership.edge_by_instance)
            )
            config = self._config(service)
            pool.cold_rate = config.cold_rate if config else 0
        for view in self.views():
            rate = self.pool_by_service[view.record.service].cold_rate
            view.confirmation.most_requests = most_unconfirmed(rate)

    def _config(self, service: ServiceId) -> ServiceConfig | None:
        if self.route_table is None:
            return None
        return self.route_table.document.config_by_service.get(service)


def _is_same_start(known: TargetRecord, record: TargetRecord) -> bool:
    return (known.born, known.address, known.service, known.domain) == (
        record.born,
        record.address,
        record.service,
        record.domain,
    )


def _split_start(
    record: EdgeRecord, route: RouteName, service: ServiceId
) -> float:
    """Return where this start of an instance begins a branch, from 0 to 1."""
    return affinity(
        ServiceId(f'{route}/{service}'),
        InstanceId(f'{record.instance}/{record.incarnation}'),
    )
