"""Who probes which target, and who tells whom what was learned."""

from collections.abc import Iterable
from typing import final

from turmericmast.balance.coldshare import senders
from turmericmast.balance.news import (
    LoadNews,
    TargetLoad,
    describe,
    learn,
)
from turmericmast.balance.standing import Standing
from turmericmast.cluster.records import EdgeRecord, TargetPhase
from turmericmast.edge.edge import Edge
from turmericmast.ids import DomainId, Seconds, TargetId

REPORT_AGE = 0.12
"""Seconds after which the load of a target is asked for again.

The speed of targets changes several times a second."""
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

    def due(self, now: Seconds) -> list[Standing]:
        """Return the targets that this instance has to probe now."""
        edges = tuple(self._edge.edge_by_instance.values())
        return [
            standing
            for standing in self._edge.standings()
            if self._is_due(standing, now) and self._is_mine(standing, edges)
        ]

    def neighbours(self) -> tuple[str, ...]:
        """Return the addresses of the other instances of the domain."""
        me = self._edge.record
        return tuple(
            edge.peer
            for edge in self._edge.edge_by_instance.values()
            if edge.domain == me.domain and edge.instance != me.instance
        )

    def heralds(self) -> tuple[str, ...]:
        """Return the addresses of the heralds of the other domains."""
        herald_by_domain = self._herald_by_domain()
        return tuple(
            edge.peer
            for domain, edge in herald_by_domain.items()
            if domain != self._edge.record.domain
        )

    def digest(self, now: Seconds) -> LoadNews | None:
        """Return the news for other domains, when this herald owes some."""
        me = self._edge.record
        herald = self._herald_by_domain().get(me.domain)
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

    def _is_due(self, standing: Standing, now: Seconds) -> bool:
        is_in = standing.record.phase is TargetPhase.ready and (
            standing.record.domain not in self._edge.evacuated
        )
        is_old = standing.age(now) > REPORT_AGE or (
            standing.proof_age(now) > PROOF_AGE
        )
        has_paused = now - standing.probed_at >= REPORT_AGE
        return is_in and is_old and has_paused and standing.opens_at() <= now

    def _is_mine(
        self,
        standing: Standing,
        edges: tuple[EdgeRecord, ...],
    ) -> bool:
        chosen = senders(standing.record, standing.region, edges)
        return chosen[:1] == (self._edge.record.instance,)

    def _herald_by_domain(self) -> dict[DomainId, EdgeRecord]:
        """Return the herald of each domain; all that know it agree."""
        ordered = sorted(
            self._edge.edge_by_instance.values(),
            key=lambda edge: edge.instance,
            reverse=True,
        )
        return {edge.domain: edge for edge in ordered}
