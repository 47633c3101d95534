"""What it is worth to its caller to send a request to a target."""

import dataclasses
import enum
import math
from typing import final

from turmericmast.balance.targetview import TargetView
from turmericmast.ids import Seconds

LATE_ANSWER_VALUE = 0.1
"""Worth of an answer after the aim, of one within it."""
GOAL_SPREAD = 0.08
"""Share of the aim over which an expected time is uncertain."""
GOAL_MARGIN = 0.9
"""Share of the aim at which an answer is as likely late as not."""
STALENESS_COST = 0.6
"""Worth lost for each second between a report and the expected answer.

The machine of a target may slow down at any moment. On the users' bench the
share of late answers grew by a tenth for each 0.1 s that a report was old."""
MAX_COUNTED_AGE = 1.0
"""Seconds after which a report tells no less than any older one."""
LOAD_COST = 0.05
"""Worth lost at a target whose slots are all taken: spread before filling."""
NEAR_FULL_SLOWDOWN = 0.2
"""Share of the work that each request from the last free slot on adds.

Some targets slow down when they are nearly full."""
SPREAD_COST = 0.1
"""Worth by which instances rank far targets that are alike differently.

They hear of each other's requests there only after some 0.2 s: without this all
of them send to the same target until its queue is long. As much as a report
loses in this time."""
UNHEALTHY_COST = 0.3
"""Worth lost at a target that says it is not healthy."""
CROSS_DOMAIN_COST = 0.03
"""Worth lost for each kilobyte between failure domains, which is billed."""
CROSS_REGION_COST = 0.02
"""The same between regions, on top."""
KILOBYTE = 1000
MAX_EXPONENT = 50.0
"""Exponent beyond which a likelihood is 0 for any purpose."""


@final
class Distance(enum.IntEnum):
    """How far a target is from this instance."""

    domain = 0
    region = 1
    remote = 2


ROUND_TRIP_BY_DISTANCE = (0.001, 0.004, 0.018)
"""Seconds there and back, from the delays that the brief gives."""
_COST_BY_DISTANCE = (
    0,
    CROSS_DOMAIN_COST,
    CROSS_DOMAIN_COST + CROSS_REGION_COST,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestEstimate:
    """What a request expects of any target."""

    goal_left: float
    """Seconds until its answer is late."""
    time_left: float
    """Seconds until its caller gives up."""
    service_time: float
    """Seconds of work on an undisturbed target."""
    octets: float
    """Size of the request and its answer."""


def expected_latency(
    view: TargetView,
    distance: Distance,
    service_time: float,
) -> float:
    """Return the seconds until an answer, queueing included."""
    report = view.report
    slots = max(report.slots, 1)
    requests = view.outstanding() + 1
    rounds = 1 + max(requests - slots, 0) / slots
    slowdown = 1 + NEAR_FULL_SLOWDOWN * max(requests - slots + 1, 0)
    took = service_time * report.slowness * rounds * slowdown
    return ROUND_TRIP_BY_DISTANCE[distance] + took


def score(
    view: TargetView,
    distance: Distance,
    estimate: RequestEstimate,
    now: Seconds,
) -> float:
    """Return the expected worth of sending there, 1 at best."""
    took = expected_latency(view, distance, estimate.service_time)
    gained = answer_value(took, estimate) * (1 - view.failure_share(now))
    cost = transfer_cost(distance, estimate)
    cost += STALENESS_COST * (took + min(view.report_age(now), MAX_COUNTED_AGE))
    cost += LOAD_COST * view.outstanding() / max(view.report.slots, 1)
    if distance is not Distance.domain:
        cost += SPREAD_COST * view.spread_rank
    if view.is_unhealthy:
        cost += UNHEALTHY_COST
    return gained - cost


def transfer_cost(distance: Distance, estimate: RequestEstimate) -> float:
    """Return the worth lost to the octets between failure domains."""
    return _COST_BY_DISTANCE[distance] * estimate.octets / KILOBYTE


def answer_value(took: float, estimate: RequestEstimate) -> float:
    """Return the worth of an answer that is expected in some seconds."""
    in_goal = _probability(took, estimate.goal_left)
    in_time = _probability(took, estimate.time_left)
    return in_goal + LATE_ANSWER_VALUE * max(in_time - in_goal, 0)


def _probability(took: float, limit: float) -> float:
    """Return how likely an answer arrives within a limit."""
    if limit <= 0:
        return 0
    excess = (took - GOAL_MARGIN * limit) / (GOAL_SPREAD * limit)
    return 1 / (1 + math.exp(min(excess, MAX_EXPONENT)))
