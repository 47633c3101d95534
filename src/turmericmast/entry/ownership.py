"""The targets an entry owns, kept in step with what the region says."""

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
    """Services and their owned targets."""

    def __init__(
        self,
        instance: InstanceId,
        make_policy: Callable[[], Policy],
    ) -> None:
        """Own nothing; each service gets a policy of its own."""
        self.instance = instance
        self._make_policy = make_policy
        self.service_by_id: dict[ServiceId, Service] = {}
        self.incoming_services: frozenset[ServiceId] = frozenset()
        """Services with targets that another owner is about to release."""
        self._placement_by_target: dict[TargetId, Placement] = {}

    def service(self, name: ServiceId, document: FleetDocument) -> Service:
        """Return a service, made when it is new."""
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
        """Return an owned target."""
        placement = self._placement_by_target.get(name)
        if placement is None:
            return None
        service = self.service_by_id[placement.spec.service]
        return service.target_by_id.get(name)

    def targets(self) -> Iterator[Target]:
        """Yield every owned target."""
        for service in self.service_by_id.values():
            yield from service.target_by_id.values()

    def sync(
        self,
        view: RegionView,
        document: FleetDocument,
        now: Seconds,
    ) -> None:
        """Take over what was granted, drop what was taken away."""
        granted = {
            placement.spec.target: placement
            for placement in view.owned_by(self.instance)
        }
        for name in self._placement_by_target.keys() - granted.keys():
            self._drop(name)
        for name in granted:
            self._take(granted[name], document, now)
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
        """Give an announcement to its target; tell whether it is owned."""
        target = self.target(announcement.spec.target)
        if target is None:
            return False
        if target.spec.service != announcement.spec.service:
            return False
        target.apply_announcement(announcement, now)
        return True

    def releasable_targets(self) -> list[Target]:
        """Return the targets that may go to their new owner now."""
        return [
            target
            for service in self.service_by_id.values()
            for target in service.target_by_id.values()
            if target.is_moving and not target.in_flight
            if not len(service.backlog) or service.accepts_calls(Seconds(0))
        ]

    def unservable_calls(self, now: Seconds) -> list[tuple[ServiceId, CallId]]:
        """Return queued calls that no owned target will take."""
        return [
            (service.service, call)
            for service in self.service_by_id.values()
            if not self._has_prospect(service, now)
            for call in service.backlog.calls()
        ]

    def clear(self) -> None:
        """Own nothing any more."""
        for name in tuple(self._placement_by_target):
            self._drop(name)

    def queued_calls(self) -> list[tuple[ServiceId, CallId]]:
        """Return all queued calls."""
        return [
            (service.service, call)
            for service in self.service_by_id.values()
            for call in service.backlog.calls()
        ]

    def _has_prospect(self, service: Service, now: Seconds) -> bool:
        """Tell whether calls of a service may wait here."""
        is_coming = service.service in self.incoming_services
        return is_coming or service.has_moving or service.accepts_calls(now)

    def _take(
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
            self._drop(name)
            service = self.service(placement.spec.service, document)
            target = Target(
                placement.spec, now, unclean_handover=placement.wary
            )
            service.target_by_id[name] = target
        self._placement_by_target[name] = placement

    def _drop(self, name: TargetId) -> None:
        placement = self._placement_by_target.pop(name, None)
        if placement:
            service = self.service_by_id[placement.spec.service]
            service.target_by_id.pop(name, None)
