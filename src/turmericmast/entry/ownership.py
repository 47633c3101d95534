"""The targets that an entry owns, synchronised with the region's view."""

from collections.abc import Callable, Iterator
from typing import final

from turmericmast.fleet.document import FleetDocument
from turmericmast.ids import CallId, InstanceId, Seconds, ServiceId, TargetId
from turmericmast.region.records import Placement
from turmericmast.region.view import RegionView
from turmericmast.service.policy import Policy
from turmericmast.service.service import Service
from turmericmast.target.announcement import Announcement
from turmericmast.target.target import Target


@final
class Ownership:
    """The services of an entry with their owned targets and queues."""

    def __init__(
        self,
        instance: InstanceId,
        make_policy: Callable[[], Policy],
    ) -> None:
        """Start with no targets; ``make_policy`` is called once per service."""
        self.instance = instance
        self._make_policy = make_policy
        self.service_by_id: dict[ServiceId, Service] = {}
        self.incoming_services: frozenset[ServiceId] = frozenset()
        """Services with targets that another entry will release to this one."""
        self._placement_by_target: dict[TargetId, Placement] = {}

    def service(self, name: ServiceId, document: FleetDocument) -> Service:
        """Return a service; create a new one with values of ``document``."""
        known = self.service_by_id.get(name)
        if known is None:
            values = document.values_for({'service': name})
            known = Service(
                name,
                self._make_policy(),
                values.queue_limit,
                values.retry_ratio,
            )
            self.service_by_id[name] = known
        return known

    def target(self, name: TargetId) -> Target | None:
        """Return an owned target, or ``None`` if it is not owned here."""
        placement = self._placement_by_target.get(name)
        if placement is None:
            return None
        service = self.service_by_id[placement.spec.service]
        return service.target_by_id.get(name)

    def targets(self) -> Iterator[Target]:
        """Yield the owned targets of all services."""
        for service in self.service_by_id.values():
            yield from service.target_by_id.values()

    def sync(
        self,
        view: RegionView,
        document: FleetDocument,
        now: Seconds,
    ) -> None:
        """Add granted targets, remove revoked ones and update outages."""
        granted = {
            placement.spec.target: placement
            for placement in view.owned_by(self.instance)
        }
        for name in self._placement_by_target.keys() - granted.keys():
            self._remove(name)
        for name in granted:
            self._add(granted[name], document, now)
        self.incoming_services = frozenset(
            placement.spec.service
            for placement in view.placement_by_target.values()
            if placement.successor == self.instance
        )
        for target in self.targets():
            spec = target.spec
            target.is_excluded = view.is_target_out(spec.target, spec.domain)
            target.is_moving = bool(granted[spec.target].successor)

    def apply_announcement(
        self, announcement: Announcement, now: Seconds
    ) -> bool:
        """Apply an announcement; return whether its target is owned here.

        A target that announces another service than the granted one does
        not count as owned.
        """
        target = self.target(announcement.spec.target)
        if target is None:
            return False
        if target.spec.service != announcement.spec.service:
            return False
        target.apply_announcement(announcement, now)
        return True

    def releasable_targets(self) -> list[Target]:
        """Return the targets that can be released to their new owner now.

        They have no requests in flight. While calls are queued for a
        service, it must keep another target that accepts them, even a stale
        one: at time 0 no target counts as stale.
        """
        return [
            target
            for service in self.service_by_id.values()
            for target in service.target_by_id.values()
            if target.is_moving and not target.in_flight
            if not len(service.backlog) or service.accepts_calls(Seconds(0))
        ]

    def unservable_calls(self, now: Seconds) -> list[tuple[ServiceId, CallId]]:
        """Return queued calls that no target will serve in time."""
        return [
            (service.service, call)
            for service in self.service_by_id.values()
            for call in self._unservable_calls_of(service, now)
        ]

    def clear(self) -> None:
        """Remove all targets; queued calls stay."""
        for name in tuple(self._placement_by_target):
            self._remove(name)

    def queued_calls(self) -> list[tuple[ServiceId, CallId]]:
        """Return the queued calls of all services."""
        return [
            (service.service, call)
            for service in self.service_by_id.values()
            for call in service.backlog.calls()
        ]

    def _unservable_calls_of(
        self, service: Service, now: Seconds
    ) -> list[CallId]:
        if self._may_be_served(service, now):
            return service.hopeless_calls(now)
        return service.backlog.calls()

    def _may_be_served(self, service: Service, now: Seconds) -> bool:
        """Tell whether an owned or incoming target may serve queued calls."""
        is_incoming = service.service in self.incoming_services
        return is_incoming or service.has_moving or service.accepts_calls(now)

    def _add(
        self,
        placement: Placement,
        document: FleetDocument,
        now: Seconds,
    ) -> None:
        name = placement.spec.target
        known = self._placement_by_target.get(name)
        is_same = known is not None and (
            known.granted == placement.granted
            and known.spec.service == placement.spec.service
        )
        if not is_same:
            self._remove(name)
            service = self.service(placement.spec.service, document)
            target = Target(
                placement.spec, now, unclean_handover=placement.wary
            )
            service.target_by_id[name] = target
        self._placement_by_target[name] = placement

    def _remove(self, name: TargetId) -> None:
        placement = self._placement_by_target.pop(name, None)
        if placement:
            service = self.service_by_id[placement.spec.service]
            service.target_by_id.pop(name, None)
