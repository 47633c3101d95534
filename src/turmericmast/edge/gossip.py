"""Assignment of probes to instances, and gossip of their results."""

from collections.abc import Collection, Iterable
from typing import final

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
from turmericmast.ids import DomainId, Seconds, ServiceId, TargetId

REVERIFY_AFTER = 0.4
"""Age in seconds from which the verification of a target is renewed."""
DIGEST_INTERVAL = 0.2
"""Seconds between two digests to other failure domains.

Traffic between domains is billed by volume; within a domain it is not."""


@final
class LoadGossip:
    """Divides the probing of targets among instances and spreads the results.

    One instance of a target's failure domain probes it and sends the result
    to the other instances there at once. One instance of each domain, its
    delegate, regularly sends a digest to the delegates of the other domains,
    which forward it within theirs.
    """

    def __init__(self, edge: Edge) -> None:
        """Assign roles by the instances and targets that ``edge`` knows."""
        self._edge = edge
        self._digest_sent_at = float(0)
        self._known_revision = -1
        self._domain_peers: tuple[str, ...] = ()
        self._delegate_by_domain: dict[DomainId, EdgeRecord] = {}

    def probes_due(self, now: Seconds) -> list[TargetView]:
        """Return the targets that this instance must probe now."""
        services_to_probe = {
            service
            for service, pool in self._edge.pool_by_service.items()
            if pool.needs_background_probes(now)
        }
        return [
            view
            for view in self._known_views(
                self._edge.membership.assignments.probed_targets
            )
            if self._is_due(view, services_to_probe, now)
        ]

    def domain_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the other instances of the domain."""
        self._update_peers()
        return self._domain_peers

    def delegates(self) -> tuple[str, ...]:
        """Return the peer addresses of the delegates of the other domains."""
        self._update_peers()
        return tuple(
            edge.peer
            for domain, edge in self._delegate_by_domain.items()
            if domain != self._edge.record.domain
        )

    def digest(self, now: Seconds) -> LoadNews | None:
        """Return the digest for the other domains if one is due.

        It holds the targets of the own domain that have a report since the
        previous digest. Only the delegate of a domain sends digests.
        """
        self._update_peers()
        own_record = self._edge.record
        delegate = self._delegate_by_domain.get(own_record.domain)
        is_delegate = (
            delegate is not None and delegate.instance == own_record.instance
        )
        if not is_delegate or now - self._digest_sent_at < DIGEST_INTERVAL:
            return None
        elapsed = now - self._digest_sent_at
        self._digest_sent_at = now
        loads = tuple(
            describe_load(view, now)
            for view in self._edge.views()
            if view.record.domain == own_record.domain
            and view.report_age(now) < elapsed
        )
        return LoadNews(own_record.domain, hand_on=True, loads=loads)

    def load_news(
        self,
        view: TargetView,
        now: Seconds,
        *,
        is_lost: bool = False,
    ) -> LoadNews:
        """Return a message with the load of a target.

        With ``is_lost``, it reports the target as lost instead: a probe or
        connection of this instance failed.
        """
        target = view.record.target
        return LoadNews(
            self._edge.record.domain,
            hand_on=False,
            loads=() if is_lost else (describe_load(view, now),),
            lost=(target,) if is_lost else (),
        )

    def request_news(self, view: TargetView) -> LoadNews:
        """Return a message that a request is about to be sent to a target."""
        return LoadNews(
            self._edge.record.domain,
            hand_on=False,
            started=(view.record.target,),
        )

    def receive(self, news: LoadNews, now: Seconds) -> None:
        """Update the views from a message of another instance."""
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
        views = map(self._edge.view, targets)
        return [view for view in views if view]

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
        is_stale = view.verification_age(now) > REVERIFY_AFTER or (
            needs_load and view.report_age(now) > PROBE_AFTER
        )
        is_probe_allowed = now - view.probed_at >= PROBE_AFTER
        return (
            is_in_use
            and is_stale
            and is_probe_allowed
            and view.ejected_until() <= now
        )

    def _update_peers(self) -> None:
        """Recompute peers and delegates after instances have changed."""
        if self._known_revision == self._edge.membership.revision:
            return
        self._known_revision = self._edge.membership.revision
        own_record = self._edge.record
        edges_by_domain = self._edge.membership.assignments.edges_by_domain
        self._domain_peers = tuple(
            edge.peer
            for edge in edges_by_domain.get(own_record.domain, {}).values()
            if edge.instance != own_record.instance
        )
        # The lowest name is the delegate, so that instances with the same
        # view of the membership agree.
        self._delegate_by_domain = {
            domain: edge_by_instance[min(edge_by_instance)]
            for domain, edge_by_instance in edges_by_domain.items()
            if edge_by_instance
        }
