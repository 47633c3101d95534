"""The targets of one service, as one instance sees them."""

import dataclasses
from collections.abc import Collection, Iterator
from typing import final

from turmericmast.balance.coldshare import ColdShare
from turmericmast.balance.demand import Demand
from turmericmast.balance.repeats import RepeatBudget
from turmericmast.balance.standing import Standing, Trust
from turmericmast.balance.usual import Usual
from turmericmast.balance.value import (
    Distance,
    Outlook,
    expected_time,
    octets_cost,
    worth,
)
from turmericmast.cluster.records import TargetPhase
from turmericmast.ids import (
    DomainId,
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    TargetId,
)

FRESH = 0.1
"""Seconds for which a load report is not asked for again before a send.

The speed of targets that share their machine changes several times a second;
a probe within the domain takes a hundredth of this time."""
FRESH_ABROAD = 0.15
"""The same for targets in other regions, where a probe takes 20 ms."""
REPORT_AGE = 0.12
"""Seconds after which the load of a target is asked for again.

The speed of targets changes several times a second."""
GOOD_WORTH = 0.6
"""Worth from which on farther targets are not looked at."""
MAX_PROBES = 2
"""Targets probed at once for one request."""
MAX_PROBES_ABROAD = 2
SHORTEST_RETURN = 0.05
"""Seconds after which a refused caller may come back at the earliest."""
LONGEST_RETURN = 1.0
TIME_DIGITS = 2
"""Decimal places of seconds that tell targets apart."""
WORTH_DIGITS = 2
"""Decimal places of worth that tell targets apart."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this instance stands."""

    domain: DomainId
    region: RegionId

    def distance(self, standing: Standing) -> Distance:
        """Return how far a target is."""
        if standing.record.domain == self.domain:
            return Distance.domain
        is_near = standing.region == self.region
        return Distance.region if is_near else Distance.abroad


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What a request needs of a target."""

    route: RouteName
    aim_at: Seconds
    deadline: Seconds
    home_regions: Collection[RegionId]
    avoid: Collection[TargetId] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that a request may go to, and what that is worth."""

    standing: Standing
    distance: Distance
    worth: float


@final
class Pool:
    """Ranks the targets of a service for each request."""

    def __init__(
        self,
        service: ServiceId,
        place: Place,
        repeats: RepeatBudget,
    ) -> None:
        """Start without targets."""
        self.service = service
        self.standing_by_target: dict[TargetId, Standing] = {}
        self.repeats = repeats
        self.cold_targets: frozenset[TargetId] = frozenset()
        """Targets that this instance may send to while they are cold."""
        self.cold_rate = float(0)
        self.evacuated: Collection[DomainId] = frozenset()
        self.probe_interval = FRESH
        """Fewest seconds between two probes of one target."""
        self._place = place
        self.near_instances = 1
        """Instances of the own domain, which share the probes there."""
        self.demand = Demand()
        self._usual_by_route: dict[RouteName, Usual] = {}
        self._cold_share_by_target: dict[TargetId, ColdShare] = {}

    def stale(self, ask: Ask, ring: Distance, now: Seconds) -> list[Standing]:
        """Return the targets at a distance to probe before sending."""
        limit = FRESH_ABROAD if ring is Distance.abroad else FRESH
        known = [
            one
            for one in self._open(ask, now)
            if self._place.distance(one) is ring
        ]
        most = MAX_PROBES_ABROAD if ring is Distance.abroad else MAX_PROBES
        work = self.usual(ask.route).work
        likely = sorted(
            known,
            key=lambda one: (
                round(expected_time(one, ring, work), TIME_DIGITS),
                one.spread_rank,
            ),
        )[:most]
        return [
            one
            for one in likely
            if one.age(now) > limit or one.trust(now) is Trust.unproved
            if now - one.probed_at >= self.probe_interval
        ]

    def wants_reports(self, now: Seconds) -> bool:
        """Tell whether to ask the near targets before requests arrive.

        Where requests are rare, it costs fewer probes to ask at each of them.
        """
        near = sum(
            self._place.distance(one) is Distance.domain
            for one in self.standing_by_target.values()
        )
        requests = self.demand.rate(now) * self.near_instances
        return requests * MAX_PROBES * REPORT_AGE > near

    def best(self, ask: Ask, ring: Distance, now: Seconds) -> Candidate | None:
        """Return the best target up to a distance that may be sent to."""
        outlook = self.outlook(ask, now)
        candidates = (
            Candidate(one, distance, worth(one, distance, outlook, now))
            for one in self._open(ask, now)
            if (distance := self._place.distance(one)) <= ring
            if self._is_sendable(one, now)
        )
        return max(candidates, key=_preference, default=None)

    def may_do_better(
        self,
        ask: Ask,
        ring: Distance,
        best: Candidate,
        now: Seconds,
    ) -> bool:
        """Tell whether any target at a distance could beat the best one."""
        return 1 - octets_cost(ring, self.outlook(ask, now)) > best.worth

    def is_settled(self, best: Candidate, now: Seconds) -> bool:
        """Tell whether a target is good by knowledge that is fresh."""
        is_fresh = best.standing.age(now) <= FRESH
        return is_fresh and best.worth >= GOOD_WORTH

    def outlook(self, ask: Ask, now: Seconds) -> Outlook:
        """Return what a request expects of any target."""
        usual = self.usual(ask.route)
        return Outlook(
            aim_left=ask.aim_at - now,
            time_left=ask.deadline - now,
            work=usual.work,
            octets=usual.octets,
        )

    def start(self, standing: Standing, now: Seconds) -> None:
        """Count a request that is about to be sent."""
        standing.start()
        standing.sent_at = now
        if standing.trust(now) is Trust.cold:
            self._cold_share(standing).take(self.cold_rate, now)

    def usual(self, route: RouteName) -> Usual:
        """Return what the requests of a route usually take here."""
        return self._usual_by_route.setdefault(route, Usual())

    def opens_in(self, ask: Ask, now: Seconds) -> float:
        """Return the seconds until a target may take a request again."""
        waits = (one.opens_at() - now for one in self._allowed(ask))
        soonest = min(waits, default=LONGEST_RETURN)
        return min(max(soonest, SHORTEST_RETURN), LONGEST_RETURN)

    def _allowed(self, ask: Ask) -> Iterator[Standing]:
        for standing in self.standing_by_target.values():
            record = standing.record
            is_home = not ask.home_regions or standing.region in (
                ask.home_regions
            )
            is_in = record.phase is TargetPhase.ready and (
                record.domain not in self.evacuated
            )
            if is_home and is_in and record.target not in ask.avoid:
                yield standing

    def _open(self, ask: Ask, now: Seconds) -> Iterator[Standing]:
        return (
            one
            for one in self._allowed(ask)
            if one.trust(now) is not Trust.shunned
        )

    def _is_sendable(self, standing: Standing, now: Seconds) -> bool:
        trust = standing.trust(now)
        if trust is Trust.cold:
            is_own = standing.record.target in self.cold_targets
            return is_own and self._cold_share(standing).has_room(now)
        return trust is Trust.warm

    def _cold_share(self, standing: Standing) -> ColdShare:
        return self._cold_share_by_target.setdefault(
            standing.record.target,
            ColdShare(),
        )


def _preference(candidate: Candidate) -> tuple[float, float]:
    """Return what ranks a candidate: its worth, then how long it was idle.

    Of targets that are worth the same, the one that was not sent to for
    longest goes first, so a newcomer gets its turn.
    """
    return (
        round(candidate.worth, WORTH_DIGITS),
        -candidate.standing.sent_at,
    )
