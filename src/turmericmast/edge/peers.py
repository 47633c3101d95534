"""Selection of another instance that serves a request for this one."""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Collection, Iterator
from typing import final

from turmericmast.balance.scoring import Distance
from turmericmast.clock import LONG_AGO
from turmericmast.cluster.records import EdgePhase, EdgeRecord, TargetReach
from turmericmast.edge.membership import Membership
from turmericmast.ids import (
    DomainId,
    InstanceId,
    RegionId,
    Seconds,
    ServiceId,
)

REFUSAL_BACKOFF = 0.5
"""Seconds for which an instance gets no requests for a service it refused."""
BUSY_BACKOFF = 0.05
"""The same, in seconds, if it has just answered others for the service.

It reaches targets, so they are busy, and room for the next one comes soon."""
LOSS_BACKOFF = 1.0
"""Seconds for which an instance that was not reached gets no requests."""
SILENCE_BACKOFF = 2.0
"""Seconds between two requests to an instance that leaves them unanswered."""
CONFIRMATION_LIFETIME = 1.0
"""Seconds for which an answer for a service speaks for an instance."""
MAX_REFUSALS = 4
"""Instances that may refuse a service in a row before others are spared.

A service whose targets are all down is refused everywhere."""
MAX_NEAR_IN_FLIGHT = 8
"""Forwarded requests at one instance from which farther ones share them."""


@final
class PeerOutcome(enum.Enum):
    """What became of a forwarded request."""

    answered = 'answered'
    """A target's response came back."""
    refused = 'refused'
    """The instance has not run it: it has no target for it either."""
    declined = 'declined'
    """It has no target for it but, maybe, those that were tried before."""
    unreached = 'unreached'
    """No connection to the instance could be opened."""
    withdrawn = 'withdrawn'
    """Nothing was sent, for a reason of this instance."""
    failed = 'failed'
    """No answer, which may be due to the instance, a target or the caller."""


@final
@dataclasses.dataclass(slots=True)
class _Peer:
    """What this instance knows of another one."""

    in_flight: int = 0
    used_at: float = LONG_AGO
    lost_until: float = LONG_AGO
    failed_at: float = LONG_AGO
    """When a request ended without an answer, if none came since."""
    refused_until_by_service: dict[ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    declined_until_by_service: dict[ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    answered_at_by_service: dict[ServiceId, float] = dataclasses.field(
        default_factory=dict
    )

    def is_silent(self, now: Seconds) -> bool:
        """Tell whether it may be frozen; one request at a time finds out."""
        has_failed = self.failed_at > LONG_AGO
        was_just_tried = now - self.failed_at < SILENCE_BACKOFF
        return has_failed and (was_just_tried or self.in_flight > 0)

    def refuses(
        self, service: ServiceId, now: Seconds, *, is_repeat: bool
    ) -> bool:
        """Tell whether it has just refused such a request for a service."""
        refused_until = self.refused_until_by_service.get(service, LONG_AGO)
        declined_until = self.declined_until_by_service.get(service, LONG_AGO)
        return now < refused_until or (is_repeat and now < declined_until)

    def backed_off_until(self, service: ServiceId, now: Seconds) -> float:
        """Return until when it is left out after a refusal."""
        is_busy = self.serves(service, now)
        backoff = BUSY_BACKOFF if is_busy else REFUSAL_BACKOFF
        return now + backoff

    def serves(self, service: ServiceId, now: Seconds) -> bool:
        """Tell whether it has just answered a request for a service."""
        answered_at = self.answered_at_by_service.get(service, LONG_AGO)
        return now - answered_at < CONFIRMATION_LIFETIME


@final
class Peers:
    """The other instances, and how requests fared that were forwarded there.

    Near instances come first. Where one refuses a service, another domain is
    tried next: a domain may have lost its links as a whole.
    """

    def __init__(self, own_record: EdgeRecord, membership: Membership) -> None:
        """Choose for the instance with ``own_record`` among ``membership``."""
        self._own_record = own_record
        self._membership = membership
        self._peer_by_instance: collections.defaultdict[InstanceId, _Peer] = (
            collections.defaultdict(_Peer)
        )

    def choose(
        self,
        service: ServiceId,
        home_regions: Collection[RegionId],
        avoid: Collection[InstanceId],
        now: Seconds,
        *,
        is_repeat: bool = False,
    ) -> EdgeRecord | None:
        """Return the instance to forward a request to, ``None`` without one.

        Only instances in ``home_regions`` may get it, if there are any, and
        none of ``avoid``. With ``is_repeat``, some target may have got the
        request, so that instances that declined others like it are left out.
        """
        if self._is_refused_everywhere(service, now, is_repeat=is_repeat):
            return None
        refusing_domains = {
            edge.domain
            for edge in self._others()
            if self._peer_by_instance[edge.instance].refuses(
                service, now, is_repeat=is_repeat
            )
        }
        candidates = (
            edge
            for edge in self._others()
            if edge.instance not in avoid
            and _may_serve(edge, home_regions)
            and not self._is_backed_off(edge, service, now, is_repeat=is_repeat)
        )
        return min(
            candidates,
            key=lambda edge: self._rank(edge, service, refusing_domains, now),
            default=None,
        )

    def begin(self, instance: InstanceId, now: Seconds) -> None:
        """Count a request that is about to be forwarded to an instance."""
        peer = self._peer_by_instance[instance]
        peer.in_flight += 1
        peer.used_at = now

    def end(
        self,
        instance: InstanceId,
        service: ServiceId,
        outcome: PeerOutcome,
        now: Seconds,
    ) -> None:
        """Record what became of a request that was forwarded."""
        peer = self._peer_by_instance[instance]
        peer.in_flight -= 1
        peer.failed_at = now if outcome is PeerOutcome.failed else LONG_AGO
        if outcome is PeerOutcome.answered:
            peer.answered_at_by_service[service] = now
            peer.refused_until_by_service.pop(service, None)
            peer.declined_until_by_service.pop(service, None)
        elif outcome is PeerOutcome.refused:
            peer.refused_until_by_service[service] = peer.backed_off_until(
                service, now
            )
        elif outcome is PeerOutcome.declined:
            peer.declined_until_by_service[service] = peer.backed_off_until(
                service, now
            )
        elif outcome is PeerOutcome.unreached:
            peer.lost_until = now + LOSS_BACKOFF
            peer.answered_at_by_service.clear()

    def forget_removed(self) -> None:
        """Forget instances that have left and have no request in flight."""
        known = self._membership.edge_by_instance
        for instance, peer in tuple(self._peer_by_instance.items()):
            if instance not in known and not peer.in_flight:
                self._peer_by_instance.pop(instance)

    def _others(self) -> Iterator[EdgeRecord]:
        return (
            edge
            for edge in self._membership.edge_by_instance.values()
            if edge.instance != self._own_record.instance
        )

    def _is_refused_everywhere(
        self, service: ServiceId, now: Seconds, *, is_repeat: bool
    ) -> bool:
        peers = self._peer_by_instance.values()
        if any(peer.serves(service, now) for peer in peers):
            return False
        refusing = (
            peer
            for peer in peers
            if peer.refuses(service, now, is_repeat=is_repeat)
        )
        return len(tuple(itertools.islice(refusing, MAX_REFUSALS))) == (
            MAX_REFUSALS
        )

    def _is_backed_off(
        self,
        edge: EdgeRecord,
        service: ServiceId,
        now: Seconds,
        *,
        is_repeat: bool,
    ) -> bool:
        peer = self._peer_by_instance[edge.instance]
        return now < peer.lost_until or peer.refuses(
            service, now, is_repeat=is_repeat
        )

    def _rank(
        self,
        edge: EdgeRecord,
        service: ServiceId,
        refusing_domains: Collection[DomainId],
        now: Seconds,
    ) -> tuple[int, int, bool, Distance, float]:
        """Return the sort key of an instance; the lowest comes first."""
        peer = self._peer_by_instance[edge.instance]
        is_cut_off = edge.reach is not TargetReach.direct
        is_doubtful = edge.domain in refusing_domains and not (
            peer.serves(service, now)
        )
        return (
            2 * is_cut_off + peer.is_silent(now),
            peer.in_flight // MAX_NEAR_IN_FLIGHT,
            is_doubtful,
            self._distance(edge),
            peer.used_at,
        )

    def _distance(self, edge: EdgeRecord) -> Distance:
        if edge.domain == self._own_record.domain:
            return Distance.domain
        is_near = edge.region == self._own_record.region
        return Distance.region if is_near else Distance.remote


def _may_serve(edge: EdgeRecord, home_regions: Collection[RegionId]) -> bool:
    is_home = not home_regions or edge.region in home_regions
    return is_home and edge.phase is EdgePhase.serving and bool(edge.peer)
