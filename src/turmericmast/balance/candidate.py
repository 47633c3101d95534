"""What a request requires of a target, and the targets that it may go to."""

import dataclasses
from collections.abc import Collection
from typing import final

from turmericmast.balance.scoring import Distance
from turmericmast.balance.targetview import TargetView
from turmericmast.ids import (
    DomainId,
    RegionId,
    RouteName,
    Seconds,
    TargetId,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """The failure domain and region of this instance."""

    domain: DomainId
    region: RegionId

    def distance(self, view: TargetView) -> Distance:
        """Return the network distance to a target."""
        if view.record.domain == self.domain:
            return Distance.domain
        is_near = view.region == self.region
        return Distance.region if is_near else Distance.remote


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """Constraints on the target of a request."""

    route: RouteName
    latency_goal: Seconds
    """Latency goal of the route, counted from the arrival of a request."""
    goal_at: Seconds
    """When the latency goal of the route is missed."""
    deadline: Seconds
    """When the caller gives up."""
    home_regions: Collection[RegionId]
    """Regions that may serve the request; any region when empty."""
    avoid: Collection[TargetId] = ()
    """Targets that were already tried."""
    is_download: bool = False
    """Whether a large answer is expected."""
    has_last_resort: bool = True
    """Whether a leaving target may be considered at all."""
    allows_leaving: bool = False
    """Whether a leaving target may serve, since no other one can."""
    takes_new: bool = False
    """Whether the version that is rolled out serves, not the current one."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that a request may be sent to, with its score."""

    view: TargetView
    distance: Distance
    score: float
    is_last_resort: bool = False
    """Whether it is leaving and was chosen because no other one can serve."""
