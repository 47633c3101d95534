"""Policies that choose a target among those that may take a call."""

import abc
import itertools
import random
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Seconds
from turmericmast.target.target import Target


class Policy(abc.ABC):
    """Chooses one of several targets; the sequence is never empty."""

    ignores_limits = False
    """Whether it sends at once, without regard to free slots."""

    @abc.abstractmethod
    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the target that the next call goes to."""


@final
class RandomPolicy(Policy):
    """Any target, with equal chance."""

    ignores_limits = True

    def __init__(self, source: random.Random) -> None:
        """Draw from ``source``."""
        self._source = source

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return any target."""
        return self._source.choice(targets)


@final
class RoundRobinPolicy(Policy):
    """One target after the other."""

    ignores_limits = True

    def __init__(self) -> None:
        """Start with the first target."""
        self._turn = itertools.count()

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the next target."""
        return targets[next(self._turn) % len(targets)]


@final
class TwoChoicesPolicy(Policy):
    """The less loaded of two targets drawn at random."""

    ignores_limits = True

    def __init__(self, source: random.Random) -> None:
        """Draw from ``source``."""
        self._source = source

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the one with fewer requests in flight."""
        pair = [self._source.choice(targets) for _ in range(2)]
        return min(pair, key=lambda target: len(target.in_flight))


@final
class LeastReportedPolicy(Policy):
    """The target that reported the lowest load, however long ago."""

    ignores_limits = True

    def __init__(self, source: random.Random) -> None:
        """Break ties by ``source``."""
        self._source = source

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the one with the fewest requests by its own word."""
        return min(
            targets,
            key=lambda target: (
                target.reported_in_flight,
                self._source.random(),
            ),
        )


@final
class LeastAgePolicy(Policy):
    """The target whose present requests promise the soonest answer.

    The owner knows each request in flight, so the age of the oldest one
    shows a slow target at once, long before a mean of past answers does.
    """

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the target with the lowest expected time to answer."""
        return min(targets, key=lambda target: _pressure(target, now))


def _pressure(target: Target, now: Seconds) -> tuple[float, float]:
    share = len(target.in_flight) / max(target.limit, 1)
    expected = max(target.mean_service_time, target.oldest_request_age(now))
    return (expected * (1 + share), share)


def make_policy(name: str, source: random.Random) -> Policy:
    """Return the policy of a name; the others are there to compare with."""
    made: dict[str, Policy] = {
        'least-age': LeastAgePolicy(),
        'random': RandomPolicy(source),
        'round-robin': RoundRobinPolicy(),
        'two-choices': TwoChoicesPolicy(source),
        'least-reported': LeastReportedPolicy(source),
    }
    return made[name]


DEFAULT_POLICY = 'least-age'
POLICIES = (
    DEFAULT_POLICY,
    'random',
    'round-robin',
    'two-choices',
    'least-reported',
)
"""Names that ``make_policy`` knows, the default first."""
