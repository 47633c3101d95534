"""What a soak has seen, and the promises that it checks."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import final

CONTACT_WINDOW = 3.0
"""Seconds after a fault from which on a process counts as in touch."""
IN_FORCE = 2.0
"""Seconds from the acknowledgement of a version until it holds everywhere."""
EVACUATION = 5.0
"""Seconds from the acknowledgement until an emptied domain gets nothing."""
LATENESS = 0.5
"""Seconds past its time that a request may be without an answer."""
REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses that promise: it has not run, and never will."""
RECOVERED_SHARE = 0.75
"""Share of requests that are served once all is well again."""


@final
@dataclasses.dataclass(frozen=True)
class Sent:
    """One request of a caller, with what it got."""

    request: str
    path: str
    is_order: bool
    edge: str
    """Failure domain of the instance that took it."""
    began_at: float
    ended_at: float
    timeout: float
    status: int
    """599 stands for no answer."""
    body: str
    echoed: str
    """Request id in the answer."""
    is_signed: bool


@final
@dataclasses.dataclass(frozen=True)
class Ran:
    """One request at a target."""

    path: str
    domain: str
    at: float


@final
@dataclasses.dataclass(frozen=True)
class Read:
    """A read of the routes."""

    sent_at: float
    version: int


@final
@dataclasses.dataclass
class Record:
    """Everything that callers, targets and the operator saw."""

    sent: list[Sent] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    acked: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    """Versions, with the time of their acknowledgement."""
    emptied: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list,
    )
    """Domains, from the acknowledgement until they were asked back."""
    faults: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list,
    )
    """Domains of harmed edges, from the fault until they ran again."""
    calm_since: float = 0

    def violations(self) -> dict[str, list[str]]:
        """Return what was not kept, by promise."""
        return {
            'whole_answers': list(self._mixed()),
            'at_most_once': list(self._twice()),
            'not_run_is_true': list(self._refused_and_ran()),
            'in_time': list(self._late()),
            'versions_never_revert': list(self._reverted()),
            'acknowledged_survives': list(self._forgotten()),
            'evacuated': list(self._sent_to_emptied()),
            'recovers': list(self._not_recovered()),
        }

    def _mixed(self) -> Iterator[str]:
        for one in self.sent:
            is_success = one.status == 200
            is_whole = one.body.endswith(f' {one.path}') and one.is_signed
            if is_success and not (is_whole and one.echoed == one.request):
                yield f'{one.request} got {one.body!r} of {one.echoed!r}'

    def _twice(self) -> Iterator[str]:
        times = collections.Counter(one.path for one in self.ran)
        orders = [one for one in self.sent if one.is_order]
        yield from (
            f'{one.path} ran {times[one.path]} times'
            for one in orders
            if times[one.path] > 1
        )

    def _refused_and_ran(self) -> Iterator[str]:
        ran = {one.path for one in self.ran}
        yield from (
            f'{one.path} got {one.status} and ran'
            for one in self.sent
            if one.status in REFUSALS and one.path in ran
        )

    def _late(self) -> Iterator[str]:
        yield from (
            f'{one.request} waited {one.ended_at - one.began_at:.2f} s'
            for one in self.sent
            if one.ended_at - one.began_at > one.timeout + LATENESS
            if not self._is_harmed(one.edge, one.began_at, one.ended_at)
        )

    def _reverted(self) -> Iterator[str]:
        for read in self.reads:
            newest = self._newest_acked(read.sent_at - IN_FORCE)
            if read.version < newest:
                yield f'read {read.version} after {newest} was acknowledged'

    def _forgotten(self) -> Iterator[str]:
        last = self.reads[-1].version if self.reads else 0
        newest = self._newest_acked(float('inf'))
        if last < newest:
            yield f'{last} is left of {newest}'

    def _sent_to_emptied(self) -> Iterator[str]:
        edge_by_path = {one.path: one.edge for one in self.sent}
        for domain, since, until in self.emptied:
            yield from (
                f'{one.path} ran in {domain} {one.at - since:.1f} s after'
                for one in self.ran
                if one.domain == domain and since + EVACUATION < one.at < until
                if not self._is_harmed(
                    edge_by_path.get(one.path, ''),
                    one.at,
                    one.at,
                )
            )

    def _not_recovered(self) -> Iterator[str]:
        calm = [one for one in self.sent if one.began_at > self.calm_since]
        served = sum(one.status == 200 for one in calm)
        if served < RECOVERED_SHARE * len(calm) or not calm:
            yield f'{served} of {len(calm)} served after all was well'

    def _is_harmed(self, edge: str, began_at: float, ended_at: float) -> bool:
        """Tell whether an edge was out of touch at any time of a span."""
        return any(
            domain == edge
            and since <= ended_at
            and began_at <= until + CONTACT_WINDOW
            for domain, since, until in self.faults
        )

    def _newest_acked(self, until: float) -> int:
        versions: Iterable[int] = (
            version for at, version in self.acked if at <= until
        )
        return max(versions, default=0)
