"""Whether a new version is worse than the old one that runs beside it."""

import dataclasses
import enum
import itertools
import math
from collections.abc import Iterator, Sequence
from typing import Final, final

from turmericmast.rollout.evidence import (
    LEAST_SAMPLE,
    Comparison,
    Evidence,
    Tally,
    sum_routes,
)
from turmericmast.rollout.latencies import (
    BUCKETS,
    CLASSES_PER_DOUBLING,
    bucket_start,
)
from turmericmast.units import MILLIS_PER_SECOND

LEAST_FAILURE_SHARE: Final = 0.01
"""Failure share that is not held against a version, whatever the old one's."""
LEAST_SLOW_SHARE: Final = 0.03
"""Share of slow responses that is not held against a version.

Targets on a shared host are slowed down for moments."""
TOLERATED_CLASSES: Final = CLASSES_PER_DOUBLING
"""Classes of latency by which a good version may be slower.

The new targets may stand on slower or busier hosts; bad versions are several
times slower."""
SCATTER_CLASSES: Final = 1
"""Classes by which any response of a good version may be slower.

Hosts that are slower delay all responses alike, so beyond these classes a good
version is given as many as its fastest quarter is slower."""
FAST_PART: Final = 0.25
"""Part of the responses, the fastest, whose limit tells the speed of hosts."""
BAD_CHANCE: Final = 1e-6
"""Probability below which chance does not explain the bad responses.

The evidence of a rollout is judged some hundred times, on each route and at
each class of latency."""
DOUBTFUL_CHANCE: Final = 1e-3
"""Probability below which the share is not raised yet."""
LEAST_BAD: Final = 4
"""Bad responses from which a version may be called bad."""
LEAST_DOUBTFUL: Final = 2
"""Bad responses from which a version may be doubtful."""


@final
class Verdict(enum.Enum):
    """What the evidence says of a version."""

    good = 'good'
    doubtful = 'doubtful'
    bad = 'bad'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with the evidence that decided it."""

    verdict: Verdict
    reason: str = ''
    chance: float = 1
    """Probability of the evidence if the version were good."""


GOOD: Final = Judgement(Verdict.good)


def judge(*windows: Evidence) -> Judgement:
    """Judge a version by the worst that any window and route shows.

    A version may begin bad late, so that the recent window shows it first.
    """
    judgements = itertools.chain.from_iterable(
        _judge_route(route, compared)
        for window in windows
        for route, compared in _with_total(window)
    )
    return min(judgements, key=lambda one: one.chance, default=GOOD)


def _with_total(window: Evidence) -> Iterator[tuple[str, Comparison]]:
    """Yield each route, and all of them together.

    A version that is bad on all routes shows earlier in the sum.
    """
    for route, compared in window.items():
        yield f'route {route}', compared
    if len(window) > 1:
        yield 'all routes', sum_routes(window)


def _judge_route(route: str, compared: Comparison) -> Iterator[Judgement]:
    yield _judge_share(
        f'{route}: failures',
        compared.new.failures,
        compared.new.responses,
        max(
            LEAST_FAILURE_SHARE,
            _upper_share(compared.old.failures, compared.old.responses),
        ),
    )
    if sum(compared.old.latencies) >= LEAST_SAMPLE:
        yield from _judge_latencies(route, compared.old, compared.new)


def _judge_latencies(route: str, old: Tally, new: Tally) -> Iterator[Judgement]:
    """Compare the shares of responses above each class of latency."""
    old_above = _above(old.latencies)
    new_above = _above(new.latencies)
    tolerated = _tolerated_classes(old_above, new_above)
    for bucket in range(tolerated, BUCKETS):
        if not new_above[bucket]:
            return
        limit_ms = bucket_start(bucket) * MILLIS_PER_SECOND
        yield _judge_share(
            f'{route}: responses over {limit_ms:.0f} ms',
            new_above[bucket],
            new_above[0],
            max(
                LEAST_SLOW_SHARE,
                _upper_share(old_above[bucket - tolerated], old_above[0]),
            ),
        )


def _tolerated_classes(
    old_above: Sequence[int], new_above: Sequence[int]
) -> int:
    slower = _fast_class(new_above) - _fast_class(old_above)
    return min(max(slower, 0) + SCATTER_CLASSES, TOLERATED_CLASSES)


def _fast_class(above: Sequence[int]) -> int:
    """Return the class that limits the fastest quarter of the responses."""
    rest = (1 - FAST_PART) * above[0]
    return sum(count > rest for count in above)


def _above(latencies: Sequence[int]) -> list[int]:
    """Return how many responses are in each class or a later one."""
    from_last = tuple(itertools.accumulate(reversed(latencies)))
    return list(reversed(from_last))


def _upper_share(events: int, total: int) -> float:
    """Return a share that the old version's true one hardly exceeds."""
    if not total:
        return 0
    share = events / total
    deviation = math.sqrt(share * (1 - share) / total)
    return min(share + 2 * deviation, 1)


def _judge_share(what: str, bad: int, total: int, expected: float) -> Judgement:
    chance = tail(total, bad, expected)
    reason = (
        f'{what}: {bad} of {total} where the old version has '
        f'{expected:.3f} of them'
    )
    if bad >= LEAST_BAD and chance < BAD_CHANCE:
        return Judgement(Verdict.bad, reason, chance)
    if bad >= LEAST_DOUBTFUL and chance < DOUBTFUL_CHANCE:
        return Judgement(Verdict.doubtful, reason, chance)
    return GOOD


def tail(total: int, least: int, share: float) -> float:
    """Return the probability of ``least`` events or more in ``total``.

    Each event happens with probability ``share`` (binomial distribution).
    """
    if least <= total * share or share >= 1:
        return 1
    log_term = (
        math.lgamma(total + 1)
        - math.lgamma(least + 1)
        - math.lgamma(total - least + 1)
        + least * math.log(share)
        + (total - least) * math.log1p(-share)
    )
    # The terms fall at least geometrically above the mean.
    ratio = (total - least) / (least + 1) * share / (1 - share)
    return min(math.exp(log_term) / (1 - ratio), 1)
