"""The directory: which instances callers should connect to."""

import dataclasses
from collections.abc import Collection, Iterable
from typing import final

from turmericmast.cluster.records import EdgePhase, EdgeRecord, TargetReach
from turmericmast.edge.keyfence import KeyTrust
from turmericmast.ids import DomainId, InstanceId, RegionId
from turmericmast.instancesettings import Bounds

DIRECTORY_TTL = 5.0
"""Longest time in seconds that callers cache an answer of the directory.

A look-up costs a caller two round trips before its request."""
MIN_ADDRESSES = 2
"""Fewest addresses in an answer, if the region has that many instances."""
MAX_ADDRESSES = 64
"""Most addresses in an answer of the directory."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """The instances that callers should connect to, and for how long."""

    addresses: tuple[str, ...]
    ttl: float
    """Seconds for which callers may use the addresses."""


def directory_ttl(bounds: Bounds) -> float:
    """Return the seconds that callers cache an answer of the directory."""
    return min(DIRECTORY_TTL, bounds.directory_ttl)


def trusted_instances(
    edges: Collection[EdgeRecord], own: InstanceId, trust: KeyTrust
) -> Collection[EdgeRecord]:
    """Return the instances that this one may name to callers with keys.

    Once its proof ages, it leaves itself out. Without contact it knows nothing
    of the others, so that callers should ask another directory.
    """
    if trust is KeyTrust.fresh:
        return edges
    if trust is KeyTrust.stale:
        return ()
    return [edge for edge in edges if edge.instance != own]


def choose_instances(
    edges: Iterable[EdgeRecord],
    homes: Collection[RegionId],
    region: RegionId,
    domain: DomainId,
) -> list[EdgeRecord]:
    """Return the instances for a caller in ``region`` and ``domain``.

    They are in ``homes``, if there are any and an instance serves there. Those
    that have lost their targets are named only if no other one is left.
    """
    serving = [edge for edge in edges if edge.phase is EdgePhase.serving]
    at_home = [edge for edge in serving if edge.region in homes]
    chosen = _nearest(_reaching(at_home or serving), region, domain)
    return chosen[:MAX_ADDRESSES]


def _reaching(edges: list[EdgeRecord]) -> list[EdgeRecord]:
    """Return the instances that reach targets by themselves, else all."""
    direct = [edge for edge in edges if edge.reach is TargetReach.direct]
    return direct or edges


def _nearest(
    edges: list[EdgeRecord],
    region: RegionId,
    domain: DomainId,
) -> list[EdgeRecord]:
    in_domain = [edge for edge in edges if edge.domain == domain]
    in_region = [edge for edge in edges if edge.region == region]
    if len(in_domain) >= MIN_ADDRESSES:
        return in_domain
    if not in_domain:
        return in_region or edges
    # A domain with one instance needs a fallback while that one is down.
    others = [edge for edge in in_region if edge.domain != domain]
    return in_domain + others[: MIN_ADDRESSES - len(in_domain)] or edges
