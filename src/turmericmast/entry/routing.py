"""Where a call goes from the entry it arrived at."""

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
"""Addresses in one answer to a caller."""


@final
class RouteAction(enum.Enum):
    """What an entry does with a call."""

    local = 'local'
    forward = 'hand_on'
    misdirected = 'misdirected'
    """The call may not be here; its caller must go elsewhere."""
    no_target = 'no_target'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A decision, with the addresses that go with it, best first."""

    action: RouteAction
    addresses: tuple[str, ...] = ()


@final
class Router:
    """Knows the addresses of a region and of the others' services."""

    def __init__(
        self,
        region: RegionId,
        instance: InstanceId,
        view: RegionView,
        source: random.Random,
    ) -> None:
        """Read ``view`` as it changes; break ties by ``source``."""
        self._region = region
        self._instance = instance
        self._view = view
        self._random = source

    def addresses(
        self,
        service: ServiceId,
        domain: DomainId,
        home_regions: tuple[RegionId, ...],
        avoid: Collection[str] = (),
    ) -> tuple[str, ...]:
        """Return the entries that a caller should use, nearest first.

        ``avoid`` are those that just refused the caller, perhaps before the
        control group has noticed.
        """
        known = self._addresses(service, domain, home_regions)
        kept = tuple(one for one in known if one not in avoid)
        return (kept or known)[:MAX_ADDRESSES]

    def weights(
        self,
        service: ServiceId,
        addresses: Collection[str],
    ) -> tuple[int, ...]:
        """Return the share of calls that each address should get.

        Callers spread by the slots behind an address, since an owner's queue
        cannot use the free slots of another one.
        """
        slots = self._view.slots_of(service)
        weight_by_http = {
            session.http: slots[session.instance]
            for session in self._view.session_by_instance.values()
        }
        return tuple(weight_by_http.get(one, 0) or 1 for one in addresses)

    def forward_route(self, request: CallRequest) -> Route:
        """Decide where to hand a call that cannot be served here."""
        others = [
            session
            for session in self._view.owners_of(request.service)
            if session.instance != self._instance
        ]
        if request.hops == 0 and others:
            session = self._view.session_by_instance.get(self._instance)
            domain = session.domain if session else DomainId('')
            return Route(RouteAction.forward, self._near(others, domain))
        abroad = self._abroad(request.service, request.home_regions)
        if request.hops < MAX_HOPS and abroad:
            return Route(RouteAction.forward, abroad)
        return Route(RouteAction.no_target)

    def _addresses(
        self,
        service: ServiceId,
        domain: DomainId,
        home_regions: tuple[RegionId, ...],
    ) -> tuple[str, ...]:
        """Return addresses, best first.

        Owners of targets come first; where the region has none, another
        region's owners follow, and any entry here that can hand on.
        """
        if home_regions and self._region not in home_regions:
            return self._abroad(service, home_regions)
        owners = self._near(self._view.owners_of(service), domain)
        if owners:
            return owners
        abroad = self._abroad(service, home_regions)
        serving = (
            session
            for session in self._view.session_by_instance.values()
            if self._view.is_serving(session)
        )
        return (*abroad, *self._near(serving, domain))

    def _near(
        self,
        sessions: Iterable[Session],
        domain: DomainId,
    ) -> tuple[str, ...]:
        ranked = sorted(
            sessions,
            key=lambda one: (one.domain != domain, self._random.random()),
        )
        return tuple(one.http for one in ranked)

    def _abroad(
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
