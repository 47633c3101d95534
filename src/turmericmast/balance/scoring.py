"""Scores of targets for a request: expected benefit less costs."""

import dataclasses
import enum
import math
from typing import final

from turmericmast.balance.targetview import TargetView
from turmericmast.ids import Seconds

LATE_ANSWER_VALUE = 0.1
"""Value of an answer after the latency goal; one within it counts 1."""
GOAL_SPREAD = 0.08
"""Uncertainty of an expected latency, as a fraction of the limit."""
GOAL_MARGIN = 0.9
"""Fraction of the limit at which an answer is late with probability 0.5."""
STALENESS_COST = 0.6
"""Score lost for each second between a load report and the expected answer.

The host of a target may slow down at any moment: the share of late answers
grows by a tenth for each 0.1 s of age of the report."""
MAX_COUNTED_AGE = 1.0
"""Age of a report in seconds beyond which its cost grows no further."""
LOAD_COST = 0.05
"""Score lost at a target whose slots are all taken.

Requests are spread over targets before any of them fills up."""
NEAR_FULL_SLOWDOWN = 0.2
"""Fraction by which a request slows a target whose last slot it takes.

Some targets slow down when they are nearly full. A first request that waits
counts as much again, further ones do not."""
MAX_SLOWING_REQUESTS = 2
"""Requests from the last free slot on that slow a target."""
SPREAD_COST = 0.1
"""Score by which instances rank equal targets differently.

Instances learn of each other's requests only after a while: in a domain of
dozens after some 50 ms, of other domains from the answers alone. Without this
cost, all of them would send to the target that reported last until its queue
is long. Each instance also comes back to the targets to which it has open
connections. It is about what a report loses in 0.2 s."""
UNHEALTHY_COST = 0.3
"""Score lost at a target that reports itself unhealthy."""
CROSS_DOMAIN_COST = 0.03
"""Score lost for each kilobyte between failure domains, which is billed."""
CROSS_REGION_COST = 0.02
"""Further score lost for each kilobyte between regions."""
KILOBYTE = 1000
"""Bytes in a kilobyte."""
MAX_EXPONENT = 50.0
"""Exponent beyond which a probability is practically 0; avoids overflow."""


@final
class Distance(enum.IntEnum):
    """Network distance from this instance to a target, near to far."""

    domain = 0
    """In the failure domain of this instance."""
    region = 1
    """In another failure domain of its region."""
    remote = 2
    """In another region."""


ROUND_TRIP_BY_DISTANCE = (0.001, 0.004, 0.018)
"""Seconds that a network round trip takes, by ``Distance``."""
_COST_BY_DISTANCE = (
    0,
    CROSS_DOMAIN_COST,
    CROSS_DOMAIN_COST + CROSS_REGION_COST,
)
"""Score lost for each kilobyte, by ``Distance``."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestEstimate:
    """Time limits of a request and its expected service time and size."""

    goal_left: float
    """Seconds until the latency goal of its route is missed."""
    time_left: float
    """Seconds until its deadline, at which the caller gives up."""
    service_time: float
    """Seconds that a target takes when it is not slowed down."""
    octets: float
    """Size of the request and its answer in bytes."""


def expected_latency(
    view: TargetView,
    distance: Distance,
    service_time: float,
) -> float:
    """Return the expected seconds until an answer, queueing included."""
    report = view.report
    slots = max(report.slots, 1)
    requests = view.outstanding() + 1
    rounds = 1 + max(requests - slots, 0) / slots
    slowing = min(max(requests - slots + 1, 0), MAX_SLOWING_REQUESTS)
    slowdown = 1 + NEAR_FULL_SLOWDOWN * slowing
    latency = service_time * report.slowness * rounds * slowdown
    return ROUND_TRIP_BY_DISTANCE[distance] + latency


def score(
    view: TargetView,
    distance: Distance,
    estimate: RequestEstimate,
    now: Seconds,
) -> float:
    """Return the score of sending a request to a target; 1 is the best."""
    latency = expected_latency(view, distance, estimate.service_time)
    benefit = answer_value(latency, estimate) * (1 - view.failure_share(now))
    cost = transfer_cost(distance, estimate)
    cost += STALENESS_COST * (
        latency + min(view.report_age(now), MAX_COUNTED_AGE)
    )
    cost += LOAD_COST * view.outstanding() / max(view.report.slots, 1)
    cost += SPREAD_COST * view.spread_rank
    if view.is_unhealthy:
        cost += UNHEALTHY_COST
    return benefit - cost


def ideal_score(distance: Distance, estimate: RequestEstimate) -> float:
    """Return the score of an idle, healthy target that has just reported.

    No target at ``distance`` or farther away has a better one.
    """
    latency = ROUND_TRIP_BY_DISTANCE[distance] + estimate.service_time
    cost = transfer_cost(distance, estimate) + STALENESS_COST * latency
    return answer_value(latency, estimate) - cost


def transfer_cost(distance: Distance, estimate: RequestEstimate) -> float:
    """Return the score lost to traffic between failure domains."""
    return _COST_BY_DISTANCE[distance] * estimate.octets / KILOBYTE


def answer_value(latency: float, estimate: RequestEstimate) -> float:
    """Return the value, 0 to 1, of an answer after ``latency`` seconds."""
    in_goal = _probability(latency, estimate.goal_left)
    in_time = _probability(latency, estimate.time_left)
    return in_goal + LATE_ANSWER_VALUE * max(in_time - in_goal, 0)


def _probability(latency: float, limit: float) -> float:
    """Return the probability that an answer arrives within a limit.

    It is a logistic function of the expected latency.
    """
    if limit <= 0:
        return 0
    excess = (latency - GOAL_MARGIN * limit) / (GOAL_SPREAD * limit)
    return 1 / (1 + math.exp(min(excess, MAX_EXPONENT)))
