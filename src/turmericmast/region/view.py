"""The state of a region that its control group and its entries share."""

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
"""Entries whose addresses a region tells other regions, for each service."""


@final
class RegionView:
    """Holds sessions, placements and tables, and answers queries on them."""

    def __init__(self) -> None:
        """Start with no records, at log index 0."""
        self.index = Index(0)
        self.session_by_instance: dict[InstanceId, Session] = {}
        self.placement_by_target: dict[TargetId, Placement] = {}
        self.outage_by_name: dict[tuple[OutageKind, str], Outage] = {}
        self.suspicion_by_fingerprint: dict[Fingerprint, Suspicion] = {}
        self.summary_by_region: dict[RegionId, RegionSummary] = {}

    def apply_feed(self, feed: Feed) -> None:
        """Merge a feed of the control group.

        A complete feed replaces all sessions and placements.
        """
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
            self.replace_tables(feed.outages, feed.suspicions, feed.summaries)
        self.index = max(self.index, feed.index)

    def build_feed(self, after: int, *, complete: bool, tables: bool) -> Feed:
        """Return a feed of the records with a later index than ``after``.

        ``complete`` marks a feed that replaces all records; ``tables`` tells
        whether to put in outages, suspicions and summaries.
        """
        return Feed(
            index=self.index,
            complete=complete,
            sessions=tuple(
                session
                for session in self.session_by_instance.values()
                if session.changed > after
            ),
            placements=tuple(
                placement
                for placement in self.placement_by_target.values()
                if placement.changed > after
            ),
            has_tables=tables,
            outages=tuple(self.outage_by_name.values()) * tables,
            suspicions=tuple(self.suspicion_by_fingerprint.values()) * tables,
            summaries=tuple(self.summary_by_region.values()) * tables,
        )

    def replace_tables(
        self,
        outages: Iterable[Outage],
        suspicions: Iterable[Suspicion],
        summaries: Iterable[RegionSummary],
    ) -> None:
        """Replace the tables that feeds carry whole."""
        self.outage_by_name = {
            (outage.kind, outage.name): outage for outage in outages
        }
        self.suspicion_by_fingerprint = {
            suspicion.fingerprint: suspicion for suspicion in suspicions
        }
        self.summary_by_region = {
            summary.region: summary for summary in summaries
        }

    def is_domain_out(self, domain: DomainId) -> bool:
        """Tell whether operators took a failure domain out of service."""
        return (OutageKind.domain, domain) in self.outage_by_name

    def is_target_out(self, target: TargetId, domain: DomainId) -> bool:
        """Tell whether operators took out a target or its failure domain."""
        is_out = (OutageKind.target, target) in self.outage_by_name
        return is_out or self.is_domain_out(domain)

    def is_quarantined(self, fingerprint: Fingerprint, wall_ms: int) -> bool:
        """Tell whether entries must refuse a request at a wall time."""
        known = self.suspicion_by_fingerprint.get(fingerprint)
        return (
            known is not None
            and known.is_quarantined
            and wall_ms < known.until_ms
        )

    def is_serving(self, session: Session) -> bool:
        """Tell whether callers may be sent to an entry.

        Its session must be open and its failure domain not taken out.
        """
        is_open = session.phase is SessionPhase.open
        return is_open and not self.is_domain_out(session.domain)

    def owned_by(self, instance: InstanceId) -> list[Placement]:
        """Return the placements of the targets that an entry owns."""
        return [
            placement
            for placement in self.placement_by_target.values()
            if placement.owner == instance
        ]

    def owners_of(self, service: ServiceId) -> list[Session]:
        """Return the serving entries with targets of a service.

        Targets count as in ``slots_of``; the entry with most slots is first.
        """
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
        """Return the slots of each owner, without targets out of service.

        A target with a successor counts for the successor.
        """
        slots: collections.Counter[InstanceId] = collections.Counter()
        for placement in self.placement_by_target.values():
            spec = placement.spec
            is_out = self.is_target_out(spec.target, spec.domain)
            if spec.service == service and not is_out:
                slots[placement.successor or placement.owner] += spec.slots
        return slots

    def services(self) -> frozenset[ServiceId]:
        """Return the services with targets in this or another region.

        Other regions are known by their summaries.
        """
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
        """Return the summary of this region that other regions get.

        Services without a serving owner are left out.
        """
        services = sorted(
            {
                placement.spec.service
                for placement in self.placement_by_target.values()
            },
        )
        return RegionSummary(
            region,
            tuple(
                addresses
                for service in services
                if (addresses := self._addresses(service)).http
            ),
        )

    def _addresses(self, service: ServiceId) -> ServiceAddresses:
        owners = self.owners_of(service)[:MAX_SUMMARY_ENTRIES]
        return ServiceAddresses(
            service, tuple(session.http for session in owners)
        )
