"""Load-balancing policies, which choose a target for a call."""

import abc
import itertools
import random
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Seconds
from turmericmast.target.target import Target


class Policy(abc.ABC):
    """Chooses one of the targets that may take a call."""

    ignores_limits = False
    """Whether calls are sent without waiting for a free slot."""

    @abc.abstractmethod
    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the target for the next call; ``targets`` is never empty."""


@final
class RandomPolicy(Policy):
    """Chooses a target uniformly at random."""

    ignores_limits = True

    def __init__(self, source: random.Random) -> None:
        """Draw from ``source``."""
        self._source = source

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return a random target."""
        return self._source.choice(targets)


@final
class RoundRobinPolicy(Policy):
    """Chooses the targets in turn."""

    ignores_limits = True

    def __init__(self) -> None:
        """Start with the first target."""
        self._turn = itertools.count()

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the next target in order."""
        return targets[next(self._turn) % len(targets)]


@final
class TwoChoicesPolicy(Policy):
    """Chooses the less loaded of two random targets (power of two choices)."""

    ignores_limits = True

    def __init__(self, source: random.Random) -> None:
        """Draw from ``source``."""
        self._source = source

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the sampled target with fewer requests in flight."""
        pair = [self._source.choice(targets) for _ in range(2)]
        return min(pair, key=lambda target: len(target.in_flight))


@final
class LeastReportedPolicy(Policy):
    """Chooses the lowest load in the announcements, however old these are."""

    ignores_limits = True

    def __init__(self, source: random.Random) -> None:
        """Break ties with random numbers from ``source``."""
        self._source = source

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the target that announced the fewest requests."""
        return min(
            targets,
            key=lambda target: (
                target.reported_in_flight,
                self._source.random(),
            ),
        )


@final
class LeastAgePolicy(Policy):
    """Chooses the target with the lowest expected latency.

    The owner knows each request in flight, so the age of the oldest one
    reveals a slow target at once, long before the mean service time does.
    """

    def choose(self, targets: Sequence[Target], now: Seconds) -> Target:
        """Return the target with the lowest expected latency."""
        return min(targets, key=lambda target: _expected_latency(target, now))


def _expected_latency(target: Target, now: Seconds) -> tuple[float, float]:
    share = len(target.in_flight) / max(target.limit, 1)
    expected = max(target.mean_service_time, target.oldest_request_age(now))
    return (expected * (1 + share), share)


def make_policy(name: str, source: random.Random) -> Policy:
    """Return the policy of a name in ``POLICIES``.

    All but the default exist for comparison in benchmarks. A name that is
    not in ``POLICIES`` raises ``KeyError``.
    """
    policy_by_name: dict[str, Policy] = {
        'least-age': LeastAgePolicy(),
        'random': RandomPolicy(source),
        'round-robin': RoundRobinPolicy(),
        'two-choices': TwoChoicesPolicy(source),
        'least-reported': LeastReportedPolicy(source),
    }
    return policy_by_name[name]


DEFAULT_POLICY = 'least-age'
"""Name of the policy that an entry uses when no other is configured."""
POLICIES = (
    DEFAULT_POLICY,
    'random',
    'round-robin',
    'two-choices',
    'least-reported',
)
"""Names that ``make_policy`` accepts, the default first."""
