"""Routing of calls that an entry cannot serve, and addresses for callers."""

import dataclasses
import enum
import random
from collections.abc import Collection, Iterable
from typing import final

from turmericmast.call.call import MAX_HOPS, CallRequest
from turmericmast.ids import DomainId, InstanceId, RegionId, ServiceId
from turmericmast.region.records import Session
from turmericmast.region.view import RegionView

MAX_ADDRESSES = 8
"""Addresses in one answer to a caller that asks for them."""


@final
class RouteAction(enum.Enum):
    """What an entry does with a call that arrived."""

    local = 'local'
    """Queue the call for a target that this entry owns."""
    forward = 'hand_on'
    """Forward the call to another entry."""
    misdirected = 'misdirected'
    """Refuse the call: it must be served in one of its home regions."""
    no_target = 'no_target'
    """Refuse the call: no entry that may serve it has a target."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A routing decision with the addresses to use, best first."""

    action: RouteAction
    addresses: tuple[str, ...] = ()


@final
class Router:
    """Finds the entries that serve a service, here and in other regions."""

    def __init__(
        self,
        region: RegionId,
        instance: InstanceId,
        view: RegionView,
        source: random.Random,
    ) -> None:
        """Read the current ``view``; break ties with ``source``."""
        self._region = region
        self._instance = instance
        self._view = view
        self._source = source

    def addresses(
        self,
        service: ServiceId,
        domain: DomainId,
        home_regions: tuple[RegionId, ...],
        avoid: Collection[str] = (),
    ) -> tuple[str, ...]:
        """Return the entries that a caller should use, nearest first.

        Addresses in ``avoid`` are left out unless there are no others: they
        just refused the caller, which the control group may not know yet.
        """
        ranked = self._addresses(service, domain, home_regions)
        preferred = tuple(address for address in ranked if address not in avoid)
        return (preferred or ranked)[:MAX_ADDRESSES]

    def weights(
        self,
        service: ServiceId,
        addresses: Collection[str],
    ) -> tuple[int, ...]:
        """Return the relative share of calls that each address should get.

        The weight is the number of slots that the entry owns, since a call
        queued at one entry cannot use the free slots of another.
        """
        slots = self._view.slots_of(service)
        weight_by_http = {
            session.http: slots[session.instance]
            for session in self._view.session_by_instance.values()
        }
        return tuple(
            weight_by_http.get(address, 0) or 1 for address in addresses
        )

    def forward_route(self, request: CallRequest) -> Route:
        """Decide where to forward a call that cannot be served here.

        Owners in the same region come first, but only on the first hop.
        """
        others = [
            session
            for session in self._view.owners_of(request.service)
            if session.instance != self._instance
        ]
        if request.hops == 0 and others:
            session = self._view.session_by_instance.get(self._instance)
            domain = session.domain if session else DomainId('')
            return Route(
                RouteAction.forward, self._nearest_first(others, domain)
            )
        remote = self._remote_addresses(request.service, request.home_regions)
        if request.hops < MAX_HOPS and remote:
            return Route(RouteAction.forward, remote)
        return Route(RouteAction.no_target)

    def _addresses(
        self,
        service: ServiceId,
        domain: DomainId,
        home_regions: tuple[RegionId, ...],
    ) -> tuple[str, ...]:
        """Return the addresses of entries, best first.

        These are the owners of targets in this region. If there are none,
        owners in other regions come first, then the serving entries of this
        region, which can forward calls.
        """
        if home_regions and self._region not in home_regions:
            return self._remote_addresses(service, home_regions)
        owners = self._nearest_first(self._view.owners_of(service), domain)
        if owners:
            return owners
        remote = self._remote_addresses(service, home_regions)
        serving = (
            session
            for session in self._view.session_by_instance.values()
            if self._view.is_serving(session)
        )
        return (*remote, *self._nearest_first(serving, domain))

    def _nearest_first(
        self,
        sessions: Iterable[Session],
        domain: DomainId,
    ) -> tuple[str, ...]:
        ranked = sorted(
            sessions,
            key=lambda session: (
                session.domain != domain,
                self._source.random(),
            ),
        )
        return tuple(session.http for session in ranked)

    def _remote_addresses(
        self,
        service: ServiceId,
        home_regions: tuple[RegionId, ...],
    ) -> tuple[str, ...]:
        return tuple(
            address
            for region, summary in self._view.summary_by_region.items()
            if region != self._region
            if not home_regions or region in home_regions
            for addresses in summary.services
            if addresses.service == service
            for address in addresses.http
        )
