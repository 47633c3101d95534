"""What it is worth to its caller to send a request to a target."""

import dataclasses
import enum
import math
from typing import final

from turmericmast.balance.standing import Standing
from turmericmast.ids import Seconds

LATE_SHARE = 0.1
"""Worth of an answer after the aim, of one within it."""
AIM_SPREAD = 0.08
"""Share of the aim over which an expected time is uncertain."""
AIM_MARGIN = 0.9
"""Share of the aim at which an answer is as likely late as not."""
CHANGE_COST = 0.6
"""Worth lost for each second between a report and the expected answer.

The machine of a target may slow down at any moment. On the users' bench the
share of late answers grew by a tenth for each 0.1 s that a report was old."""
OLDEST_REPORT = 1.0
"""Seconds after which a report tells no less than any older one."""
LOAD_COST = 0.05
"""Worth lost at a target whose slots are all taken: spread before filling."""
CROWD_COST = 0.2
"""Share of the work that each request from the last free slot on adds.

Some targets slow down when they are nearly full."""
SPREAD_COST = 0.1
"""Worth by which instances rank far targets that are alike differently.

They hear of each other's requests there only after some 0.2 s: without this all
of them send to the same target until its queue is long. As much as a report
loses in this time."""
ILL_COST = 0.3
"""Worth lost at a target that says it is not healthy."""
DOMAIN_COST = 0.03
"""Worth lost for each kilobyte between failure domains, which is billed."""
REGION_COST = 0.02
"""The same between regions, on top."""
KILOBYTE = 1000
LARGEST_EXCESS = 50.0
"""Exponent beyond which a likelihood is 0 for any purpose."""


@final
class Distance(enum.IntEnum):
    """How far a target is from this instance."""

    domain = 0
    region = 1
    abroad = 2


ROUND_TRIP_BY_DISTANCE = (0.001, 0.004, 0.018)
"""Seconds there and back, from the delays that the brief gives."""
_COST_BY_DISTANCE = (0, DOMAIN_COST, DOMAIN_COST + REGION_COST)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a request expects of any target."""

    aim_left: float
    """Seconds until its answer is late."""
    time_left: float
    """Seconds until its caller gives up."""
    work: float
    """Seconds of work on an undisturbed target."""
    octets: float
    """Size of the request and its answer."""


def expected_time(
    standing: Standing,
    distance: Distance,
    work: float,
) -> float:
    """Return the seconds until an answer, queueing included."""
    report = standing.report
    slots = max(report.slots, 1)
    behind = standing.busy() + 1
    rounds = 1 + max(behind - slots, 0) / slots
    crowd = 1 + CROWD_COST * max(behind - slots + 1, 0)
    took = work * report.slowness * rounds * crowd
    return ROUND_TRIP_BY_DISTANCE[distance] + took


def worth(
    standing: Standing,
    distance: Distance,
    outlook: Outlook,
    now: Seconds,
) -> float:
    """Return the expected worth of sending there, 1 at best."""
    took = expected_time(standing, distance, outlook.work)
    gained = gain(took, outlook) * (1 - standing.risk(now))
    cost = octets_cost(distance, outlook)
    cost += CHANGE_COST * (took + min(standing.age(now), OLDEST_REPORT))
    cost += LOAD_COST * standing.busy() / max(standing.report.slots, 1)
    if distance is not Distance.domain:
        cost += SPREAD_COST * standing.spread_rank
    if standing.is_ill:
        cost += ILL_COST
    return gained - cost


def octets_cost(distance: Distance, outlook: Outlook) -> float:
    """Return the worth lost to the octets between failure domains."""
    return _COST_BY_DISTANCE[distance] * outlook.octets / KILOBYTE


def gain(took: float, outlook: Outlook) -> float:
    """Return the worth of an answer that is expected in some seconds."""
    in_aim = _likelihood(took, outlook.aim_left)
    in_time = _likelihood(took, outlook.time_left)
    return in_aim + LATE_SHARE * max(in_time - in_aim, 0)


def _likelihood(took: float, limit: float) -> float:
    """Return how likely an answer arrives within a limit."""
    if limit <= 0:
        return 0
    excess = (took - AIM_MARGIN * limit) / (AIM_SPREAD * limit)
    return 1 / (1 + math.exp(min(excess, LARGEST_EXCESS)))
