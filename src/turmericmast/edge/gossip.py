"""Who probes which target, and who tells whom what was learned."""

from collections.abc import Collection, Iterable
from typing import final

from turmericmast.balance.coldlimit import cold_senders
from turmericmast.balance.news import (
    LoadNews,
    TargetLoad,
    describe_load,
    merge_load,
)
from turmericmast.balance.pool import PROBE_AFTER
from turmericmast.balance.targetview import TargetView
from turmericmast.cluster.records import EdgeRecord, TargetPhase
from turmericmast.edge.edge import Edge
from turmericmast.ids import DomainId, InstanceId, Seconds, ServiceId, TargetId

REVERIFY_AFTER = 0.4
"""Seconds after which a target is asked again whether it is cold."""
DIGEST_INTERVAL = 0.2
"""Seconds between two digests to other failure domains.

Links between domains are billed by volume; within one they are not."""


@final
class LoadGossip:
    """Shares the work of knowing the load of all targets.

    One instance of a target's failure domain probes it and tells the others
    there at once. One instance a domain, its herald, tells the heralds of
    the other domains from time to time, and they tell theirs.
    """

    def __init__(self, edge: Edge) -> None:
        """Follow what the edge knows of instances and targets."""
        self._edge = edge
        self._digest_sent_at = float(0)
        self._known_revision = -1
        self._assigned_views: tuple[TargetView, ...] = ()
        self._domain_peers: tuple[str, ...] = ()
        self._delegate_by_domain: dict[DomainId, EdgeRecord] = {}

    def probes_due(self, now: Seconds) -> list[TargetView]:
        """Return the targets that this instance has to probe now."""
        self._update_assignments()
        services_to_probe = {
            service
            for service, pool in self._edge.pool_by_service.items()
            if pool.needs_background_probes(now)
        }
        return [
            one
            for one in self._assigned_views
            if self._is_due(one, services_to_probe, now)
        ]

    def domain_peers(self) -> tuple[str, ...]:
        """Return the addresses of the other instances of the domain."""
        self._update_assignments()
        return self._domain_peers

    def delegates(self) -> tuple[str, ...]:
        """Return the addresses of the heralds of the other domains."""
        self._update_assignments()
        return tuple(
            edge.peer
            for domain, edge in self._delegate_by_domain.items()
            if domain != self._edge.record.domain
        )

    def digest(self, now: Seconds) -> LoadNews | None:
        """Return the news for other domains, when this herald owes some."""
        self._update_assignments()
        me = self._edge.record
        delegate = self._delegate_by_domain.get(me.domain)
        is_delegate = delegate is not None and delegate.instance == me.instance
        if not is_delegate or now - self._digest_sent_at < DIGEST_INTERVAL:
            return None
        since = now - self._digest_sent_at
        self._digest_sent_at = now
        fresh = tuple(
            describe_load(view, now)
            for view in self._edge.views()
            if view.record.domain == me.domain and view.report_age(now) < since
        )
        return LoadNews(me.domain, hand_on=True, loads=fresh)

    def load_news(
        self,
        view: TargetView,
        now: Seconds,
        *,
        is_lost: bool = False,
    ) -> LoadNews:
        """Return what was just learned of a target."""
        target = view.record.target
        return LoadNews(
            self._edge.record.domain,
            hand_on=False,
            loads=() if is_lost else (describe_load(view, now),),
            lost=(target,) if is_lost else (),
        )

    def request_news(self, view: TargetView) -> LoadNews:
        """Return the news that a request is about to be sent."""
        return LoadNews(
            self._edge.record.domain,
            hand_on=False,
            started=(view.record.target,),
        )

    def receive(self, news: LoadNews, now: Seconds) -> None:
        """Take the news of another instance."""
        for load in news.loads:
            self._merge_load(load, now)
        for view in self._known_views(news.started):
            view.count_peer_request()
        for view in self._known_views(news.lost):
            view.mark_unverified()

    def _merge_load(self, load: TargetLoad, now: Seconds) -> None:
        view = self._edge.view(load.target)
        if view:
            merge_load(view, load, now)

    def _known_views(self, targets: Iterable[TargetId]) -> Iterable[TargetView]:
        found = map(self._edge.view, targets)
        return [view for view in found if view]

    def _is_due(
        self,
        view: TargetView,
        services_to_probe: Collection[ServiceId],
        now: Seconds,
    ) -> bool:
        is_in_use = view.record.phase is TargetPhase.ready and (
            view.record.domain not in self._edge.evacuated
        )
        needs_load = view.record.service in services_to_probe
        is_old = view.verification_age(now) > REVERIFY_AFTER or (
            needs_load and view.report_age(now) > PROBE_AFTER
        )
        is_probe_allowed = now - view.probed_at >= PROBE_AFTER
        return (
            is_in_use
            and is_old
            and is_probe_allowed
            and view.ejected_until() <= now
        )

    def _update_assignments(self) -> None:
        """Work out who does what, when instances or targets have changed."""
        if self._known_revision == self._edge.revision:
            return
        self._known_revision = self._edge.revision
        me = self._edge.record
        edges = tuple(self._edge.edge_by_instance.values())
        self._assigned_views = tuple(
            view
            for view in self._edge.views()
            if _assigned_prober(view, edges) == me.instance
        )
        self._domain_peers = tuple(
            edge.peer
            for edge in edges
            if edge.domain == me.domain and edge.instance != me.instance
        )
        # The lowest name is the delegate, so that instances with the same
        # view of the membership agree.
        ordered = sorted(edges, key=lambda edge: edge.instance, reverse=True)
        self._delegate_by_domain = {edge.domain: edge for edge in ordered}


def _assigned_prober(
    view: TargetView,
    edges: tuple[EdgeRecord, ...],
) -> InstanceId | None:
    chosen = cold_senders(view.record, view.region, edges)
    return next(iter(chosen), None)
