"""The tables of a region, as its control group and its entries hold them."""

import collections
from collections.abc import Iterable
from typing import final

from turmericmast.ids import (
    DomainId,
    Fingerprint,
    Index,
    InstanceId,
    RegionId,
    ServiceId,
    TargetId,
)
from turmericmast.region.records import (
    Feed,
    Outage,
    OutageKind,
    Placement,
    RegionSummary,
    ServiceAddresses,
    Session,
    SessionPhase,
    Suspicion,
)

MAX_SUMMARY_ENTRIES = 4
"""Entries that a region names to others for each service."""


@final
class RegionView:
    """Sessions, placements and tables, with the questions asked of them."""

    def __init__(self) -> None:
        """Start empty."""
        self.index = Index(0)
        self.session_by_instance: dict[InstanceId, Session] = {}
        self.placement_by_target: dict[TargetId, Placement] = {}
        self.outage_by_name: dict[tuple[OutageKind, str], Outage] = {}
        self.suspicion_by_fingerprint: dict[Fingerprint, Suspicion] = {}
        self.summary_by_region: dict[RegionId, RegionSummary] = {}

    def apply_feed(self, feed: Feed) -> None:
        """Merge a feed of the control group."""
        if feed.complete:
            self.session_by_instance.clear()
            self.placement_by_target.clear()
        for removal in feed.removals:
            self.session_by_instance.pop(removal.instance, None)
            self.placement_by_target.pop(removal.target, None)
        self.session_by_instance.update(
            (session.instance, session) for session in feed.sessions
        )
        self.placement_by_target.update(
            (placement.spec.target, placement) for placement in feed.placements
        )
        if feed.has_tables:
            self.set_tables(feed.outages, feed.suspicions, feed.summaries)
        self.index = max(self.index, feed.index)

    def changes(self, floor: int, *, complete: bool, tables: bool) -> Feed:
        """Return the records that changed after ``floor``."""
        return Feed(
            index=self.index,
            complete=complete,
            sessions=tuple(
                one
                for one in self.session_by_instance.values()
                if one.changed > floor
            ),
            placements=tuple(
                one
                for one in self.placement_by_target.values()
                if one.changed > floor
            ),
            has_tables=tables,
            outages=tuple(self.outage_by_name.values()) * tables,
            suspicions=tuple(self.suspicion_by_fingerprint.values()) * tables,
            summaries=tuple(self.summary_by_region.values()) * tables,
        )

    def set_tables(
        self,
        outages: Iterable[Outage],
        suspicions: Iterable[Suspicion],
        summaries: Iterable[RegionSummary],
    ) -> None:
        """Replace the tables that travel as a whole."""
        self.outage_by_name = {(one.kind, one.name): one for one in outages}
        self.suspicion_by_fingerprint = {
            one.fingerprint: one for one in suspicions
        }
        self.summary_by_region = {one.region: one for one in summaries}

    def is_domain_out(self, domain: DomainId) -> bool:
        """Tell whether operators took out a failure domain."""
        return (OutageKind.domain, domain) in self.outage_by_name

    def is_target_out(self, target: TargetId, domain: DomainId) -> bool:
        """Tell whether operators took out a target or its domain."""
        is_out = (OutageKind.target, target) in self.outage_by_name
        return is_out or self.is_domain_out(domain)

    def is_quarantined(self, fingerprint: Fingerprint, wall_ms: int) -> bool:
        """Tell whether entries must refuse a request."""
        known = self.suspicion_by_fingerprint.get(fingerprint)
        return (
            known is not None
            and known.is_quarantined
            and wall_ms < known.until_ms
        )

    def is_serving(self, session: Session) -> bool:
        """Tell whether callers should be sent to an entry."""
        is_open = session.phase is SessionPhase.open
        return is_open and not self.is_domain_out(session.domain)

    def owned_by(self, instance: InstanceId) -> list[Placement]:
        """Return the placements of an owner."""
        return [
            placement
            for placement in self.placement_by_target.values()
            if placement.owner == instance
        ]

    def owners_of(self, service: ServiceId) -> list[Session]:
        """Return the serving entries that own usable targets, most first."""
        return [
            session
            for owner, _ in self.slots_of(service).most_common()
            if (session := self.session_by_instance.get(owner))
            and self.is_serving(session)
        ]

    def slots_of(
        self,
        service: ServiceId,
    ) -> collections.Counter[InstanceId]:
        """Return the slots of usable targets that each entry owns."""
        slots: collections.Counter[InstanceId] = collections.Counter()
        for placement in self.placement_by_target.values():
            spec = placement.spec
            is_out = self.is_target_out(spec.target, spec.domain)
            if spec.service == service and not is_out:
                slots[placement.successor or placement.owner] += spec.slots
        return slots

    def services(self) -> frozenset[ServiceId]:
        """Return the services with targets here or, as told, elsewhere."""
        own = (
            placement.spec.service
            for placement in self.placement_by_target.values()
        )
        others = (
            addresses.service
            for summary in self.summary_by_region.values()
            for addresses in summary.services
        )
        return frozenset((*own, *others))

    def summary(self, region: RegionId) -> RegionSummary:
        """Return what other regions need to know."""
        from_services = sorted(
            {
                placement.spec.service
                for placement in self.placement_by_target.values()
            },
        )
        return RegionSummary(
            region,
            tuple(
                addresses
                for service in from_services
                if (addresses := self._addresses(service)).http
            ),
        )

    def _addresses(self, service: ServiceId) -> ServiceAddresses:
        owners = self.owners_of(service)[:MAX_SUMMARY_ENTRIES]
        return ServiceAddresses(service, tuple(one.http for one in owners))
