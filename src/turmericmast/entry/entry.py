"""The entry aggregate: lease, owned targets and fleet document."""

import random
from collections.abc import Iterator
from typing import final

from turmericmast.balance.pause import PauseOutcome, PauseRequest
from turmericmast.call.call import CallRequest
from turmericmast.entry.ownership import Ownership
from turmericmast.entry.routing import Route, RouteAction, Router
from turmericmast.fleet.document import FleetDocument, parse_document
from turmericmast.fleet.values import Values
from turmericmast.ids import (
    CallId,
    DomainId,
    Epoch,
    InstanceId,
    RegionId,
    Seconds,
    ServiceId,
    TargetId,
    Version,
)
from turmericmast.region.records import Feed, FleetRecord
from turmericmast.region.view import RegionView
from turmericmast.service.backlog import QueuedCall
from turmericmast.service.policy import DEFAULT_POLICY, make_policy
from turmericmast.service.service import Dispatch
from turmericmast.session.lease import Lease
from turmericmast.target.announcement import Announcement
from turmericmast.target.target import Ending


@final
class Entry:
    """Makes the decisions of one entry instance, without any input or output.

    It may send requests to its owned targets while its lease is valid.
    """

    def __init__(
        self,
        region: RegionId,
        domain: DomainId,
        instance: InstanceId,
        source: random.Random,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        """Start without a lease or targets; ``source`` breaks ties."""
        self.region = region
        self.domain = domain
        self.instance = instance
        self.lease = Lease()
        self.view = RegionView()
        self.document = FleetDocument()
        self.version = Version(0)
        """Newest fleet version received.

        ``document`` stays an earlier one if this version does not parse.
        """
        self.is_leaving = False
        """Whether the entry is shutting down and serves no new calls."""
        self.is_stopping = False
        """Whether it takes no calls at all, to forward them neither."""
        self.ownership = Ownership(
            instance,
            lambda: make_policy(policy, source),
        )
        self.router = Router(region, instance, self.view, source)

    def renew(
        self,
        epoch: Epoch,
        feed: Feed,
        sent_at: Seconds,
        length: float,
        now: Seconds,
    ) -> None:
        """Apply the answer to a renewal: the lease and changes of the region.

        ``sent_at`` is when the renewal was sent, ``length`` the lease in
        seconds.
        """
        if epoch != self.lease.epoch:
            # A new session does not inherit the targets of the previous one.
            self.ownership.clear()
        self.view.apply_feed(feed)
        if feed.fleet:
            self._apply_fleet(feed.fleet)
        self.lease.renew(epoch, sent_at, length)
        self.ownership.sync(self.view, self.document, now)

    def values_for(
        self,
        service: ServiceId,
        tenant: str = '',
        route: str = '',
    ) -> Values:
        """Return the values of the fleet document that apply to a call."""
        subject = {'service': service, 'tenant': tenant, 'route': route}
        return self.document.values_for(subject)

    def route(self, request: CallRequest, now: Seconds) -> Route:
        """Decide whether to serve, forward or refuse a call that arrived."""
        if not request.is_allowed_in(self.region):
            return Route(
                RouteAction.misdirected,
                self.router.addresses(
                    request.service,
                    DomainId(''),
                    request.home_regions,
                ),
            )
        if self._serves(request.service, now):
            return Route(RouteAction.local)
        return self.router.forward_route(request)

    def admit(
        self,
        request: CallRequest,
        now: Seconds,
        avoid: TargetId,
    ) -> bool:
        """Queue a call for an owned target; return false when it is shed."""
        service = self.ownership.service(request.service, self.document)
        queued_call = QueuedCall(
            request.call, request.tenant, request.deadline, avoid
        )
        return service.admit(queued_call, now)

    def dispatch(self, service: ServiceId, now: Seconds) -> Iterator[Dispatch]:
        """Yield the calls of a service to send now; none without a lease."""
        known = self.ownership.service_by_id.get(service)
        if known and self.lease.is_valid(now):
            yield from known.dispatch(now)

    def may_send(self, target: TargetId, now: Seconds) -> bool:
        """Tell whether a dispatched call may still be sent to its target.

        Lease, ownership and state can change between dispatch and sending.
        """
        owned = self.ownership.target(target)
        return (
            owned is not None
            and self.lease.is_valid(now)
            and not owned.is_excluded
            and not owned.wants_nothing(now)
        )

    def pause_target(
        self, target: TargetId, request: PauseRequest, now: Seconds
    ) -> PauseOutcome | None:
        """Send nothing to a target for as long as it asks for.

        Return ``None`` if it is no longer owned here.
        """
        owned = self.ownership.target(target)
        return owned.pause.begin(request, now) if owned else None

    def remove_queued(self, service: ServiceId, call: CallId) -> bool:
        """Remove a call from the queue; return whether it was still queued."""
        known = self.ownership.service_by_id.get(service)
        return known is not None and known.backlog.remove(call) is not None

    def end(
        self,
        dispatch: Dispatch,
        service: ServiceId,
        ending: Ending,
        now: Seconds,
    ) -> None:
        """Free the slot of a dispatched call that ended."""
        known = self.ownership.service_by_id.get(service)
        if known:
            known.end(dispatch.call, dispatch.target, ending, now)

    def apply_announcement(
        self, announcement: Announcement, now: Seconds
    ) -> bool:
        """Apply an announcement; return whether the target is owned here."""
        return self.lease.is_valid(now) and self.ownership.apply_announcement(
            announcement,
            now,
        )

    def changes_target(self, announcement: Announcement) -> bool:
        """Tell whether an announcement is of a new target or changes one.

        Such an announcement matters at once; it is not to be put off to keep
        within the budget for announcements.
        """
        target = self.ownership.target(announcement.spec.target)
        return target is None or target.is_changed_by(announcement)

    def _apply_fleet(self, record: FleetRecord) -> None:
        if record.version < self.version:
            return
        self.version = record.version
        self.document = parse_document(record.document).value_or(self.document)
        for service in self.ownership.service_by_id.values():
            values = self.values_for(service.service)
            service.backlog.limit = values.queue_limit
            service.budget.ratio = values.retry_ratio

    def _serves(self, name: ServiceId, now: Seconds) -> bool:
        is_serving = not self.is_leaving and self.lease.is_valid(now)
        if not is_serving or self.view.is_domain_out(self.domain):
            return False
        service = self.ownership.service_by_id.get(name)
        has_targets = service is not None and service.accepts_calls(now)
        return has_targets or name in self.ownership.incoming_services
