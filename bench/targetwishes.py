"""Checks that instances heed targets that leave or ask for a pause.

Counted is what arrives at the targets, so that no instance vouches for itself.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import final

DRAIN_TIME = 2.0
"""Seconds after an instance has passed on the answer of a leaving target.

Requests that callers send to that instance later must not reach the target."""
PAUSE_NOTICE = 0.5
"""Seconds after a rejection until an instance must heed its pause."""
MAX_ARRIVALS_IN_PAUSE = 2
"""Requests that may be on their way to a paused target."""


@final
@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a target; times by the monotonic clock."""

    path: str
    domain: str
    """Failure domain of the target."""
    born: int
    """Incarnation of the target."""
    at: float
    was_leaving: bool = False
    """Whether the answer says that the target leaves."""
    pause: float = 0
    """Seconds that the target asks for in its rejection, 0 if it ran."""


@final
@dataclasses.dataclass(frozen=True)
class Sent:
    """A request as its caller saw it."""

    edge_domain: str
    """Failure domain of the edge that the request was sent to."""
    started_at: float
    ended_at: float
    served_by: str
    """Failure domain of the target whose answer came, empty without one."""


@final
@dataclasses.dataclass(frozen=True)
class FaultSpan:
    """A fault of an edge, or of the connections to a target."""

    domain: str
    since: float
    until: float


def arrivals_after_departure(
    arrivals: Sequence[Arrival],
    sent_by_path: Mapping[str, Sent],
    edge_faults: Sequence[FaultSpan],
) -> Iterator[str]:
    """Yield requests that went to a target long after it said that it leaves.

    A fault of the edge since then excuses it.
    """
    passed_on_at = _first_passed_on(arrivals, sent_by_path)
    for arrival, sent in _with_callers(arrivals, sent_by_path):
        key = (sent.edge_domain, arrival.domain, arrival.born)
        since = passed_on_at.get(key)
        if since is None or sent.started_at <= since + DRAIN_TIME:
            continue
        if not _has_fault(edge_faults, sent.edge_domain, since, arrival.at):
            yield (
                f'{arrival.path} reached the target in {arrival.domain} '
                f'{sent.started_at - since:.1f} s after it said that it leaves'
            )


def arrivals_in_pauses(
    arrivals: Sequence[Arrival],
    sent_by_path: Mapping[str, Sent],
    edge_faults: Sequence[FaultSpan],
    link_faults: Sequence[FaultSpan],
) -> Iterator[str]:
    """Yield pauses in which an edge sent more than what was on its way.

    Faults of the edge, and of its connection to the target, excuse it.
    """
    by_edge_and_target = sorted(
        _with_callers(arrivals, sent_by_path),
        key=lambda pair: (_edge_and_target(pair), pair[0].at),
    )
    for _, group in itertools.groupby(by_edge_and_target, _edge_and_target):
        pairs = list(group)
        for rejection, sent in pairs:
            ends_at = rejection.at + rejection.pause
            within = [
                arrival.path
                for arrival, _ in pairs
                if rejection.at + PAUSE_NOTICE < arrival.at < ends_at
            ]
            is_excused = _has_fault(
                edge_faults, sent.edge_domain, rejection.at, ends_at
            ) or _has_fault(
                link_faults, rejection.domain, rejection.at, ends_at
            )
            if len(within) > MAX_ARRIVALS_IN_PAUSE and not is_excused:
                yield (
                    f'{len(within)} requests reached the target in '
                    f'{rejection.domain} in its pause of {rejection.pause:.1f} '
                    f's from {sent.edge_domain}: {within[0]}'
                )


def _edge_and_target(pair: tuple[Arrival, Sent]) -> tuple[str, str, int]:
    arrival, sent = pair
    return (sent.edge_domain, arrival.domain, arrival.born)


def _with_callers(
    arrivals: Iterable[Arrival], sent_by_path: Mapping[str, Sent]
) -> Iterator[tuple[Arrival, Sent]]:
    return (
        (arrival, sent_by_path[arrival.path])
        for arrival in arrivals
        if arrival.path in sent_by_path
    )


def _first_passed_on(
    arrivals: Iterable[Arrival], sent_by_path: Mapping[str, Sent]
) -> dict[tuple[str, str, int], float]:
    """Return when each edge first passed on an answer of a leaving target."""
    first: dict[tuple[str, str, int], float] = {}
    for arrival, sent in _with_callers(arrivals, sent_by_path):
        if arrival.was_leaving and sent.served_by == arrival.domain:
            key = _edge_and_target((arrival, sent))
            first[key] = min(first.get(key, sent.ended_at), sent.ended_at)
    return first


def _has_fault(
    faults: Iterable[FaultSpan], domain: str, since: float, until: float
) -> bool:
    return any(
        fault.domain == domain and fault.since <= until and fault.until >= since
        for fault in faults
    )
