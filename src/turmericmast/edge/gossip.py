"""Assignment of probes to instances, and gossip of their results."""

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterable, Iterator
from typing import final

from turmericmast.balance.news import (
    LoadNews,
    TargetDeparture,
    TargetLoad,
    describe_departure,
    describe_load,
    merge_load,
)
from turmericmast.balance.openness import withheld_by
from turmericmast.balance.pool import PROBE_AFTER
from turmericmast.balance.targetview import TargetView
from turmericmast.cluster.records import EdgeRecord, TargetPhase, TargetReach
from turmericmast.edge.edge import Edge
from turmericmast.ids import Seconds, ServiceId, TargetId
from turmericmast.units import MILLIS_PER_SECOND

REVERIFY_AFTER = 0.6
"""Age in seconds from which the verification of a target is renewed.

The others in the domain learn of it 0.15 s later at most, before it expires."""
MAX_DIRECT_PEERS = 8
"""Other instances of the domain up to which each sends its news to all.

With more of them, news goes through the delegate of the domain, so that an
instance sends one datagram for a request, whatever the size of its domain."""
RELAY_INTERVAL = 0.05
"""Seconds for which the delegate collects news before it forwards them."""
BUSY_CHECK_INTERVAL = 0.03
"""Seconds between two checks for due probes and collected news.

A quarter of the age at which load reports are refreshed."""
IDLE_CHECK_INTERVAL = 0.1
"""The same, in seconds, where only verifications are renewed.

An instance of a large fleet is idle most of the time, and waking up is the most
that it does then."""
MAX_PATH_PROBES = 4
"""Targets that a cut-off instance probes at a time to find its links back.

Without them, an instance that the directory no longer names would not notice
that its links are back."""
MAX_RELAYED_TARGETS = 24
"""Targets in one forwarded datagram, which then fits into one packet."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Parcel:
    """News and the peer addresses that they are to be sent to."""

    news: LoadNews
    peers: tuple[str, ...]


@final
class LoadGossip:
    """Divides the probing of targets among instances and spreads the results.

    One instance of a target's failure domain probes it, and the other
    instances there learn of the result. Traffic between domains is billed by
    volume, so no news leave a domain: far targets are probed when needed.
    """

    def __init__(self, edge: Edge) -> None:
        """Assign roles by the instances and targets that ``edge`` knows."""
        self._edge = edge
        self._known_revision = -1
        self._peers: tuple[str, ...] = ()
        """Peer addresses of the other instances of the domain."""
        self._delegate: EdgeRecord | None = None
        self._relay = _NewsRelay()
        self._forwarded_at = float(0)
        self._announced: collections.Counter[TargetId] = collections.Counter()
        """Own requests that the delegate has not forwarded yet."""

    def check_interval(self, now: Seconds) -> float:
        """Return the seconds until ``probes_due`` and ``forward`` are due."""
        self._update_peers()
        delegate = self._delegate
        own_instance = self._edge.record.instance
        is_relay = delegate is not None and delegate.instance == own_instance
        is_busy = is_relay or any(
            pool.needs_background_probes(now)
            for pool in self._edge.pool_by_service.values()
        )
        return BUSY_CHECK_INTERVAL if is_busy else IDLE_CHECK_INTERVAL

    def probes_due(self, now: Seconds) -> list[TargetView]:
        """Return the targets that this instance must probe now."""
        services_to_probe = {
            service
            for service, pool in self._edge.pool_by_service.items()
            if pool.needs_background_probes(now)
        }
        assigned = [
            view
            for view in self._known_views(
                self._edge.membership.assignments.probed_targets
            )
            if self._is_due(view, services_to_probe, now)
        ]
        doubtful = (
            view for view in self._doubtful_paths(now) if view not in assigned
        )
        return [*assigned, *itertools.islice(doubtful, MAX_PATH_PROBES)]

    def share_load(
        self,
        view: TargetView,
        now: Seconds,
        *,
        is_lost: bool = False,
    ) -> Iterator[Parcel]:
        """Yield what tells the other instances the load of a target.

        Its departure is told again each time, since datagrams may be lost.
        With ``is_lost``, it reports the target as lost instead: a probe or
        connection of this instance failed.
        """
        target = view.record.target
        return self._share(
            loads=() if is_lost else (describe_load(view, now),),
            lost=(target,) if is_lost else (),
            leaving=tuple(_describe_departures((view,), now)),
        )

    def announce_request(self, view: TargetView) -> Iterator[Parcel]:
        """Yield what tells the others that a request is about to be sent."""
        target = view.record.target
        return self._share(started=(target,))

    def receive(self, news: LoadNews, now: Seconds) -> list[TargetView]:
        """Update the views from a message of another instance.

        Return the targets that were not known to be leaving.
        """
        for load in news.loads:
            self._merge_load(load, now)
        for view in self._known_views(self._started_by_others(news)):
            view.count_peer_request()
        for lost_view in self._known_views(news.lost):
            lost_view.mark_unverified()
        if news.hand_on:
            self._relay.add(news)
        found = (
            self._merge_departure(departure, now) for departure in news.leaving
        )
        return list(filter(None, found))

    def forward(self, now: Seconds) -> Iterator[Parcel]:
        """Yield the collected news for all other instances, if it is time."""
        if now - self._forwarded_at < RELAY_INTERVAL:
            return
        self._forwarded_at = now
        self._update_peers()
        for batch in self._relay.take():
            loads = tuple(
                describe_load(view, now, is_forwarded=True)
                for view in self._known_views(batch.loads)
            )
            news = LoadNews(
                self._edge.record.domain,
                hand_on=False,
                loads=loads,
                started=batch.started,
                lost=batch.lost,
                leaving=tuple(
                    _describe_departures(self._known_views(batch.leaving), now)
                ),
            )
            yield Parcel(news, self._peers)

    def _share(
        self,
        loads: tuple[TargetLoad, ...] = (),
        started: tuple[TargetId, ...] = (),
        lost: tuple[TargetId, ...] = (),
        leaving: tuple[TargetDeparture, ...] = (),
    ) -> Iterator[Parcel]:
        self._update_peers()
        delegate = self._delegate
        if delegate is None:
            return
        own_record = self._edge.record
        is_relayed = len(self._peers) > MAX_DIRECT_PEERS
        news = LoadNews(
            own_record.domain,
            hand_on=is_relayed,
            loads=loads,
            started=started,
            lost=lost,
            leaving=leaving,
        )
        if is_relayed and delegate.instance == own_record.instance:
            self._relay.add(news)
        elif is_relayed:
            self._announced.update(started)
            yield Parcel(news, (delegate.peer,))
        else:
            yield Parcel(news, self._peers)

    def _started_by_others(self, news: LoadNews) -> Iterator[TargetId]:
        """Yield the targets of announced requests, own ones left out."""
        for target in news.started:
            is_own = not news.hand_on and self._announced[target] > 0
            if is_own:
                self._announced[target] -= 1
            else:
                yield target

    def _merge_load(self, load: TargetLoad, now: Seconds) -> None:
        view = self._edge.view(load.target)
        if view:
            merge_load(view, load, now)

    def _merge_departure(
        self, departure: TargetDeparture, now: Seconds
    ) -> TargetView | None:
        """Return the view if the departure of this incarnation was unknown."""
        view = self._edge.view(departure.target)
        if view is None or view.record.born != departure.born:
            return None
        began_at = Seconds(now - departure.age_ms / MILLIS_PER_SECOND)
        return view if view.departure.begin(began_at) else None

    def _known_views(self, targets: Iterable[TargetId]) -> Iterable[TargetView]:
        views = map(self._edge.view, targets)
        return [view for view in views if view]

    def _is_due(
        self,
        view: TargetView,
        services_to_probe: Collection[ServiceId],
        now: Seconds,
    ) -> bool:
        needs_load = view.record.service in services_to_probe
        is_stale = view.verification_age(now) > REVERIFY_AFTER or (
            needs_load and view.report_age(now) > PROBE_AFTER
        )
        return is_stale and self._may_probe(view, now)

    def _doubtful_paths(self, now: Seconds) -> list[TargetView]:
        """Return targets to probe if the edge reports to be cut off.

        They are those that have not answered it lately. The one whose last
        probe is the longest ago comes first.
        """
        if self._edge.record.reach is TargetReach.direct:
            return []
        due = (
            view
            for view in self._edge.views()
            if not view.path.is_confirmed(now) and self._may_probe(view, now)
        )
        return sorted(due, key=lambda view: view.probed_at)

    def _may_probe(self, view: TargetView, now: Seconds) -> bool:
        is_in_use = view.record.phase is TargetPhase.ready and (
            view.record.domain not in self._edge.evacuated
        )
        is_probe_allowed = (
            now - view.probed_at >= PROBE_AFTER
            and withheld_by(view, now, as_last_resort=True) is None
        )
        return is_in_use and is_probe_allowed and view.ejected_until() <= now

    def _update_peers(self) -> None:
        """Recompute peers and delegate after instances have changed."""
        membership = self._edge.membership
        if self._known_revision == membership.revision:
            return
        self._known_revision = membership.revision
        self._announced.clear()
        own_record = self._edge.record
        edge_by_instance = membership.assignments.edges_by_domain.get(
            own_record.domain, {}
        )
        self._peers = tuple(
            edge.peer
            for edge in edge_by_instance.values()
            if edge.instance != own_record.instance
        )
        # The lowest name is the delegate, so that instances with the same
        # view of the membership agree.
        lowest = min(edge_by_instance, default=None)
        self._delegate = edge_by_instance[lowest] if lowest else None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    """Targets of collected news that are forwarded in one datagram."""

    loads: tuple[TargetId, ...]
    started: tuple[TargetId, ...]
    lost: tuple[TargetId, ...]
    leaving: tuple[TargetId, ...]


@final
class _NewsRelay:
    """Collects the news of a domain's instances to forward them together.

    Of several load reports of one target, only the newest is forwarded.
    """

    def __init__(self) -> None:
        self._loads: dict[TargetId, None] = {}
        self._started: list[TargetId] = []
        self._lost: dict[TargetId, None] = {}
        self._leaving: dict[TargetId, None] = {}

    def add(self, news: LoadNews) -> None:
        """Add the news of one instance."""
        self._loads.update(
            dict.fromkeys(load.target for load in news.loads),
        )
        self._started.extend(news.started)
        self._lost.update(dict.fromkeys(news.lost))
        self._leaving.update(
            dict.fromkeys(departure.target for departure in news.leaving),
        )

    def take(self) -> list[_Batch]:
        """Return and forget what was collected."""
        batches = [
            _Batch(*parts)
            for parts in itertools.zip_longest(
                _split(self._loads),
                _split(self._started),
                _split(self._lost),
                _split(self._leaving),
                fillvalue=(),
            )
        ]
        self._loads.clear()
        self._started.clear()
        self._lost.clear()
        self._leaving.clear()
        return batches


def _describe_departures(
    views: Iterable[TargetView], now: Seconds
) -> Iterator[TargetDeparture]:
    """Yield the departures of those targets that are leaving."""
    return (
        describe_departure(view, now)
        for view in views
        if view.departure.has_begun
    )


def _split(targets: Iterable[TargetId]) -> Iterator[tuple[TargetId, ...]]:
    """Yield the targets in tuples that fit into one datagram."""
    rest = iter(targets)
    part = tuple(itertools.islice(rest, MAX_RELAYED_TARGETS))
    while part:
        yield part
        part = tuple(itertools.islice(rest, MAX_RELAYED_TARGETS))
