"""Who probes which target, and who tells whom what was learned."""

from collections.abc import Collection, Iterable
from typing import final

from turmericmast.balance.coldshare import senders
from turmericmast.balance.news import (
    LoadNews,
    TargetLoad,
    describe,
    learn,
)
from turmericmast.balance.pool import REPORT_AGE
from turmericmast.balance.standing import Standing
from turmericmast.cluster.records import EdgeRecord, TargetPhase
from turmericmast.edge.edge import Edge
from turmericmast.ids import DomainId, InstanceId, Seconds, ServiceId, TargetId

PROOF_AGE = 0.4
"""Seconds after which a target is asked again whether it is cold."""
DIGEST_INTERVAL = 0.2
"""Seconds between two digests to other failure domains.

Links between domains are billed by volume; within one they are not."""


@final
class Bulletin:
    """Shares the work of knowing the load of all targets.

    One instance of a target's failure domain probes it and tells the others
    there at once. One instance a domain, its herald, tells the heralds of
    the other domains from time to time, and they tell theirs.
    """

    def __init__(self, edge: Edge) -> None:
        """Follow what the edge knows of instances and targets."""
        self._edge = edge
        self._told_at = float(0)
        self._known_changes = -1
        self._duties: tuple[Standing, ...] = ()
        self._neighbours: tuple[str, ...] = ()
        self._herald_by_domain: dict[DomainId, EdgeRecord] = {}

    def due(self, now: Seconds) -> list[Standing]:
        """Return the targets that this instance has to probe now."""
        self._follow()
        wanting = {
            service
            for service, pool in self._edge.pool_by_service.items()
            if pool.wants_reports(now)
        }
        return [one for one in self._duties if self._is_due(one, wanting, now)]

    def neighbours(self) -> tuple[str, ...]:
        """Return the addresses of the other instances of the domain."""
        self._follow()
        return self._neighbours

    def heralds(self) -> tuple[str, ...]:
        """Return the addresses of the heralds of the other domains."""
        self._follow()
        return tuple(
            edge.peer
            for domain, edge in self._herald_by_domain.items()
            if domain != self._edge.record.domain
        )

    def digest(self, now: Seconds) -> LoadNews | None:
        """Return the news for other domains, when this herald owes some."""
        self._follow()
        me = self._edge.record
        herald = self._herald_by_domain.get(me.domain)
        is_herald = herald is not None and herald.instance == me.instance
        if not is_herald or now - self._told_at < DIGEST_INTERVAL:
            return None
        since = now - self._told_at
        self._told_at = now
        fresh = tuple(
            describe(standing, now)
            for standing in self._edge.standings()
            if standing.record.domain == me.domain and standing.age(now) < since
        )
        return LoadNews(me.domain, hand_on=True, loads=fresh)

    def news(
        self,
        standing: Standing,
        now: Seconds,
        *,
        is_lost: bool = False,
    ) -> LoadNews:
        """Return what was just learned of a target."""
        target = standing.record.target
        return LoadNews(
            self._edge.record.domain,
            hand_on=False,
            loads=() if is_lost else (describe(standing, now),),
            lost=(target,) if is_lost else (),
        )

    def start(self, standing: Standing) -> LoadNews:
        """Return the news that a request is about to be sent."""
        return LoadNews(
            self._edge.record.domain,
            hand_on=False,
            started=(standing.record.target,),
        )

    def hear(self, news: LoadNews, now: Seconds) -> None:
        """Take the news of another instance."""
        for load in news.loads:
            self._hear_load(load, now)
        for standing in self._known(news.started):
            standing.expect()
        for standing in self._known(news.lost):
            standing.disprove()

    def _hear_load(self, load: TargetLoad, now: Seconds) -> None:
        standing = self._edge.standing(load.target)
        if standing:
            learn(standing, load, now)

    def _known(self, targets: Iterable[TargetId]) -> Iterable[Standing]:
        found = map(self._edge.standing, targets)
        return [standing for standing in found if standing]

    def _is_due(
        self,
        standing: Standing,
        wanting: Collection[ServiceId],
        now: Seconds,
    ) -> bool:
        is_in = standing.record.phase is TargetPhase.ready and (
            standing.record.domain not in self._edge.evacuated
        )
        is_wanted = standing.record.service in wanting
        is_old = standing.proof_age(now) > PROOF_AGE or (
            is_wanted and standing.age(now) > REPORT_AGE
        )
        has_paused = now - standing.probed_at >= REPORT_AGE
        return is_in and is_old and has_paused and standing.opens_at() <= now

    def _follow(self) -> None:
        """Work out who does what, when instances or targets have changed."""
        if self._known_changes == self._edge.changes:
            return
        self._known_changes = self._edge.changes
        me = self._edge.record
        edges = tuple(self._edge.edge_by_instance.values())
        self._duties = tuple(
            standing
            for standing in self._edge.standings()
            if _prober(standing, edges) == me.instance
        )
        self._neighbours = tuple(
            edge.peer
            for edge in edges
            if edge.domain == me.domain and edge.instance != me.instance
        )
        # The first by name is the herald: all that know a domain agree.
        ordered = sorted(edges, key=lambda edge: edge.instance, reverse=True)
        self._herald_by_domain = {edge.domain: edge for edge in ordered}


def _prober(
    standing: Standing,
    edges: tuple[EdgeRecord, ...],
) -> InstanceId | None:
    chosen = senders(standing.record, standing.region, edges)
    return next(iter(chosen), None)
