"""What a soak test observed, and the checks of the guarantees on it."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import final

from bench.targetwishes import (
    Arrival,
    FaultSpan,
    Sent,
    arrivals_after_departure,
    arrivals_in_pauses,
)

CONTACT_WINDOW = 3.0
"""Seconds after a fault until an edge must have contact with the core."""
PROPAGATION_TIME = 2.0
"""Seconds from the acknowledgement of a version until it holds everywhere.

From then on, every read must return that version or a newer one."""
EVACUATION_TIME = 5.0
"""Seconds after which an evacuated domain must not receive requests.

Counted from the acknowledgement of the evacuation."""
LATENESS_TOLERANCE = 0.5
"""Seconds past the deadline of a request that its answer may arrive."""
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that the request has not run and never will."""
MIN_SERVED_SHARE = 0.75
"""Smallest share of requests that must succeed after recovery."""


@final
@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request of a caller and its answer; times by the monotonic clock."""

    request_id: str
    path: str
    is_unsafe: bool
    edge_domain: str
    """Failure domain of the edge that the request was sent to."""
    started_at: float
    ended_at: float
    timeout: float
    """Seconds until the deadline of the request."""
    status: int
    """HTTP status, 599 when there was no answer."""
    body: str
    answered_id: str
    """Request id in the header of the answer."""
    is_signed: bool


@final
@dataclasses.dataclass(frozen=True)
class Execution:
    """A request that began to run at a target."""

    path: str
    domain: str
    """Failure domain of the target."""
    started_at: float


@final
@dataclasses.dataclass(frozen=True)
class VersionRead:
    """A read of the routes from a core member and the version it returned."""

    sent_at: float
    version: int


@final
@dataclasses.dataclass
class SoakRecord:
    """Everything that callers, targets and the operator observed."""

    requests: list[CallerRequest] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    version_reads: list[VersionRead] = dataclasses.field(default_factory=list)
    acknowledged_versions: list[tuple[float, int]] = dataclasses.field(
        default_factory=list
    )
    """Time of acknowledgement and version of the routes."""
    evacuations: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list,
    )
    """Domain, time of acknowledgement, and time when its end was requested."""
    edge_faults: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list,
    )
    """Domain of an edge with a fault, and the start and end of the fault."""
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    """What reached the targets, also what they rejected."""
    link_faults: list[FaultSpan] = dataclasses.field(default_factory=list)
    """Disturbances of the connections to the target of a domain."""
    recovered_by: float = 0
    """Time from which on requests must succeed again."""

    def violations(self) -> dict[str, list[str]]:
        """Return the violations of each guarantee, by its name."""
        return {
            'whole_answers': list(self._corrupted_answers()),
            'at_most_once': list(self._repeated_runs()),
            'not_run_is_true': list(self._refused_but_run()),
            'in_time': list(self._late_answers()),
            'versions_never_revert': list(self._older_reads()),
            'acknowledged_survives': list(self._lost_versions()),
            'evacuated': list(self._runs_in_evacuated_domains()),
            'leaving_targets_rest': list(
                arrivals_after_departure(
                    self.arrivals, self._sent_by_path(), self._edge_faults()
                )
            ),
            'pauses_hold': list(
                arrivals_in_pauses(
                    self.arrivals,
                    self._sent_by_path(),
                    self._edge_faults(),
                    self.link_faults,
                )
            ),
            'recovers': list(self._missing_recovery()),
        }

    def _corrupted_answers(self) -> Iterator[str]:
        for request in self.requests:
            is_success = request.status == 200
            is_whole = (
                request.body.endswith(f' {request.path}') and request.is_signed
            )
            if is_success and not (
                is_whole and request.answered_id == request.request_id
            ):
                yield (
                    f'{request.request_id} got {request.body!r} '
                    f'with request id {request.answered_id!r}'
                )

    def _repeated_runs(self) -> Iterator[str]:
        run_count_by_path = collections.Counter(
            execution.path for execution in self.executions
        )
        unsafe_requests = [
            request for request in self.requests if request.is_unsafe
        ]
        yield from (
            f'{request.path} ran {run_count_by_path[request.path]} times'
            for request in unsafe_requests
            if run_count_by_path[request.path] > 1
        )

    def _refused_but_run(self) -> Iterator[str]:
        run_paths = {execution.path for execution in self.executions}
        yield from (
            f'{request.path} ran, but was answered with {request.status}'
            for request in self.requests
            if request.status in NOT_RUN_STATUSES and request.path in run_paths
        )

    def _late_answers(self) -> Iterator[str]:
        yield from (
            f'{request.request_id} waited '
            f'{request.ended_at - request.started_at:.2f} s'
            for request in self.requests
            if request.ended_at - request.started_at
            > request.timeout + LATENESS_TOLERANCE
            if not self._overlaps_fault(
                request.edge_domain, request.started_at, request.ended_at
            )
        )

    def _older_reads(self) -> Iterator[str]:
        for read in self.version_reads:
            newest = self._newest_acknowledged(read.sent_at - PROPAGATION_TIME)
            if read.version < newest:
                yield f'read {read.version} after {newest} was acknowledged'

    def _lost_versions(self) -> Iterator[str]:
        last = self.version_reads[-1].version if self.version_reads else 0
        newest = self._newest_acknowledged(float('inf'))
        if last < newest:
            yield f'last read {last}, but {newest} was acknowledged'

    def _runs_in_evacuated_domains(self) -> Iterator[str]:
        edge_by_path = {
            request.path: request.edge_domain for request in self.requests
        }
        for domain, since, until in self.evacuations:
            yield from (
                f'{execution.path} ran in {domain} '
                f'{execution.started_at - since:.1f} s after its evacuation'
                for execution in self.executions
                if execution.domain == domain
                and since + EVACUATION_TIME < execution.started_at < until
                if not self._overlaps_fault(
                    edge_by_path.get(execution.path, ''),
                    execution.started_at,
                    execution.started_at,
                )
            )

    def _missing_recovery(self) -> Iterator[str]:
        checked = [
            request
            for request in self.requests
            if request.started_at > self.recovered_by
        ]
        served = sum(request.status == 200 for request in checked)
        if served < MIN_SERVED_SHARE * len(checked) or not checked:
            yield f'{served} of {len(checked)} succeeded after recovery'

    def _sent_by_path(self) -> dict[str, Sent]:
        return {
            request.path: Sent(
                request.edge_domain,
                request.started_at,
                request.ended_at,
                request.body.partition(' ')[0].removeprefix('u-'),
            )
            for request in self.requests
        }

    def _edge_faults(self) -> list[FaultSpan]:
        return [FaultSpan(*fault) for fault in self.edge_faults]

    def _overlaps_fault(
        self, edge_domain: str, started_at: float, ended_at: float
    ) -> bool:
        """Return whether an edge was faulty or regaining contact in a span."""
        return any(
            domain == edge_domain
            and since <= ended_at
            and started_at <= until + CONTACT_WINDOW
            for domain, since, until in self.edge_faults
        )

    def _newest_acknowledged(self, until: float) -> int:
        versions: Iterable[int] = (
            version for at, version in self.acknowledged_versions if at <= until
        )
        return max(versions, default=0)
