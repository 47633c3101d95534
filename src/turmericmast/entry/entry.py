"""The entry aggregate: lease, owned targets and the fleet's rules."""

import random
from collections.abc import Iterator
from typing import final

from turmericmast.call.call import CallRequest
from turmericmast.entry.ownership import Ownership
from turmericmast.entry.routing import Route, Router, Way
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
from turmericmast.service.backlog import Waiting
from turmericmast.service.policy import DEFAULT_POLICY, make_policy
from turmericmast.service.service import Dispatch
from turmericmast.session.lease import Lease
from turmericmast.target.announcement import Announcement
from turmericmast.target.target import Ending


@final
class Entry:
    """Decides for one entry instance; knows neither sockets nor HTTP."""

    def __init__(
        self,
        region: RegionId,
        domain: DomainId,
        instance: InstanceId,
        source: random.Random,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        """Start without a lease and without targets."""
        self.region = region
        self.domain = domain
        self.instance = instance
        self.lease = Lease()
        self.view = RegionView()
        self.document = FleetDocument()
        self.version = Version(0)
        self.is_leaving = False
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
        """Take a granted lease and what changed in the region."""
        if epoch != self.lease.epoch:
            # A new session owns nothing of what the old one did.
            self.ownership.clear()
        self.view.apply_feed(feed)
        if feed.fleet:
            self._adopt(feed.fleet)
        self.lease.renew(epoch, sent_at, length)
        self.ownership.follow(self.view, self.document, now)

    def values_for(
        self,
        service: ServiceId,
        tenant: str = '',
        route: str = '',
    ) -> Values:
        """Return the fleet's values for a call."""
        subject = {'service': service, 'tenant': tenant, 'route': route}
        return self.document.values_for(subject)

    def route(self, request: CallRequest, now: Seconds) -> Route:
        """Decide what to do with a call that arrived."""
        if not request.may_be_in(self.region):
            return Route(
                Way.misdirected,
                self.router.addresses(
                    request.service,
                    DomainId(''),
                    request.home_regions,
                ),
            )
        if self._serves(request.service, now):
            return Route(Way.local)
        return self.router.onward(request)

    def admit(
        self,
        request: CallRequest,
        now: Seconds,
        avoid: TargetId,
    ) -> bool:
        """Queue a call for an owned target; false when it has no chance."""
        service = self.ownership.service(request.service, self.document)
        waiting = Waiting(request.call, request.tenant, request.deadline, avoid)
        return service.admit(waiting, now)

    def dispatch(self, service: ServiceId, now: Seconds) -> Iterator[Dispatch]:
        """Yield the calls of a service that are to be sent now."""
        known = self.ownership.service_by_id.get(service)
        if known and self.lease.is_valid(now):
            yield from known.dispatch(now)

    def may_send(self, target: TargetId, now: Seconds) -> bool:
        """Check once more, at the moment of sending."""
        owned = self.ownership.target(target)
        return (
            owned is not None
            and self.lease.is_valid(now)
            and not owned.is_excluded
            and not owned.is_leaving
        )

    def withdraw(self, service: ServiceId, call: CallId) -> bool:
        """Take a call out of the queue; tell whether it still was there."""
        known = self.ownership.service_by_id.get(service)
        return known is not None and known.backlog.remove(call) is not None

    def end(
        self,
        dispatch: Dispatch,
        service: ServiceId,
        ending: Ending,
        now: Seconds,
    ) -> None:
        """Free the slot of a call that ended."""
        known = self.ownership.service_by_id.get(service)
        if known:
            known.end(dispatch.call, dispatch.target, ending, now)

    def hear(self, announcement: Announcement, now: Seconds) -> bool:
        """Take an announcement; tell whether the target is owned here."""
        return self.lease.is_valid(now) and self.ownership.hear(
            announcement,
            now,
        )

    def is_news(self, announcement: Announcement) -> bool:
        """Tell whether an announcement says anything that matters at once."""
        target = self.ownership.target(announcement.spec.target)
        return target is None or target.differs(announcement)

    def _adopt(self, record: FleetRecord) -> None:
        if record.version < self.version:
            return
        self.version = record.version
        self.document = parse_document(record.document).value_or(self.document)
        for service in self.ownership.service_by_id.values():
            values = self.values_for(service.service)
            service.backlog.limit = values.queue_limit
            service.budget.ratio = values.retry_ratio

    def _serves(self, name: ServiceId, now: Seconds) -> bool:
        is_open = not self.is_leaving and self.lease.is_valid(now)
        if not is_open or self.view.is_domain_out(self.domain):
            return False
        service = self.ownership.service_by_id.get(name)
        has_targets = service is not None and service.takes_calls(now)
        return has_targets or name in self.ownership.incoming
