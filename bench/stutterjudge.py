"""Judges a stutter trial by what callers and targets recorded."""

import collections
import enum
import itertools
from collections.abc import Iterator, Sequence
from http import HTTPStatus
from typing import final

from bench.stutterrecord import (
    Answer,
    Before,
    CallId,
    Ending,
    HealthAnswer,
    Kind,
    Run,
    Signature,
    StutterRecord,
)

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that the request has not run and never will."""
HEALTH_NOTICE = 0.1
"""Seconds from the answer to a health check until an instance heeds it."""

ANY_INSTANCE = ''
"""Instance of a connection that carried no request of a caller."""


@final
class Fault(enum.Enum):
    """What a trial must not show."""

    success_for_failure = 'success_for_failure'
    """A success with the signature of a run that answered a failure."""
    unsigned_success = 'unsigned_success'
    """A success without the signature of any run."""
    success_of_other_call = 'success_of_other_call'
    """A success with the id or the signature of another request."""
    longer_body = 'longer_body'
    """A success whose body is longer than that of its run."""
    shorter_body = 'shorter_body'
    other_body = 'other_body'
    """A success whose body is as long as that of its run, but another one."""
    failure_for_other_status = 'failure_for_other_status'
    """A failure with the signature of a run with another status."""
    success_of_interrupted_run = 'success_of_interrupted_run'
    """The last run of this id at the target ended in its second response."""
    same_target_twice = 'same_target_twice'
    """An id that ran at one target twice."""
    refused_but_run = 'refused_but_run'
    """A status that promises that the request has not run, though it has.

    A target's own failure that is passed on promises nothing."""
    unsafe_twice = 'unsafe_twice'
    """A request that may run once ran twice."""
    joined_health = 'joined_health'
    """An instance used a target that was unhealthy in a joined response.

    If it had rejected the response, it would check again before."""


REPORTED_ONLY = frozenset(
    (Fault.success_of_interrupted_run, Fault.joined_health)
)
"""Faults that no caller notices; all others break a promise to callers."""


@final
class Judge:
    """Finds the faults in the record of a trial."""

    def __init__(self, record: StutterRecord) -> None:
        """Index the runs by signature and by request."""
        self._record = record
        self._run_by_signature = {run.signature: run for run in record.runs}
        self._runs_by_call: dict[CallId, list[Run]] = collections.defaultdict(
            list
        )
        for run in sorted(record.runs, key=lambda each: each.at):
            self._runs_by_call[run.call].append(run)

    def faults(self) -> dict[Fault, list[str]]:
        """Return a line for each case, by fault."""
        cases: dict[Fault, list[str]] = {fault: [] for fault in Fault}
        found = itertools.chain(
            *map(self._judge_answer, self._record.answers),
            self._repeated_runs(),
            self._joined_health(),
        )
        for fault, case in found:
            cases[fault].append(case)
        return cases

    def _judge_answer(self, answer: Answer) -> Iterator[tuple[Fault, str]]:
        run = self._run_by_signature.get(Signature(answer.signature))
        case = _describe(answer, run)
        is_passed_on = run is not None and run.status == answer.status
        if (
            answer.status in NOT_RUN_STATUSES
            and self._runs_by_call[answer.call]
            and not is_passed_on
        ):
            yield Fault.refused_but_run, case
        if _is_success(answer):
            yield from (
                (fault, case) for fault in self._success_faults(answer, run)
            )
        elif run and answer.status and answer.status != run.status:
            yield Fault.failure_for_other_status, case

    def _success_faults(
        self, answer: Answer, run: Run | None
    ) -> Iterator[Fault]:
        if run is None:
            yield Fault.unsigned_success
            return
        if not _is_success_status(run.status):
            yield Fault.success_for_failure
        if answer.call != run.call or answer.answered_call != answer.call:
            yield Fault.success_of_other_call
        excess = answer.digest.length - run.digest.length
        if excess:
            yield Fault.longer_body if excess > 0 else Fault.shorter_body
        elif answer.digest != run.digest:
            yield Fault.other_body
        at_target = [
            other
            for other in self._runs_by_call[answer.call]
            if other.target == run.target
        ]
        if at_target and at_target[-1].ending is Ending.second:
            yield Fault.success_of_interrupted_run

    def _repeated_runs(self) -> Iterator[tuple[Fault, str]]:
        for call, runs in self._runs_by_call.items():
            case = f'{call} ran at {[run.target for run in runs]}'
            if len({run.target for run in runs}) < len(runs):
                yield Fault.same_target_twice, case
            if len(runs) > 1 and runs[0].kind is Kind.unsafe:
                yield Fault.unsafe_twice, case

    def _joined_health(self) -> Iterator[tuple[Fault, str]]:
        """Yield requests that follow a joined answer to a health check."""
        for run, health in self.runs_after_unhealthy():
            if health.before is Before.part:
                yield (
                    Fault.joined_health,
                    f'{run.call} reached {run.target} '
                    f'{run.at - health.at:.2f} s after it was unhealthy',
                )

    def runs_after_unhealthy(self) -> Iterator[tuple[Run, HealthAnswer]]:
        """Yield runs from instances that were last told "unhealthy" there.

        Instances avoid such targets, but may use them. An instance is known by
        the requests on the connection of the health check. On a connection
        without requests, any instance may have got the answer.
        """
        instance_by_call = {
            answer.call: answer.instance for answer in self._record.answers
        }
        instance_by_connection = {
            (run.target, run.connection): instance_by_call[run.call]
            for run in self._record.runs
            if run.call in instance_by_call
        }
        told: dict[tuple[str, str], list[HealthAnswer]] = (
            collections.defaultdict(list)
        )
        for health in self._record.health_answers:
            connection = (health.target, health.connection)
            instance = instance_by_connection.get(connection, ANY_INSTANCE)
            told[health.target, instance].append(health)
        for run in self._record.runs:
            instance = instance_by_call.get(run.call, ANY_INSTANCE)
            health_answers = (
                told[run.target, instance] + told[run.target, ANY_INSTANCE]
            )
            last = _last_before(health_answers, run.at)
            if (
                last
                and last.status != HTTPStatus.OK
                and (
                    instance
                    == instance_by_connection.get(
                        (last.target, last.connection)
                    )
                )
            ):
                yield run, last


def _last_before(
    health_answers: Sequence[HealthAnswer], at: float
) -> HealthAnswer | None:
    """Return the last answer before a time, if an instance must heed it."""
    last = max(
        (answer for answer in health_answers if answer.at < at),
        key=lambda answer: answer.at,
        default=None,
    )
    return last if last and last.at < at - HEALTH_NOTICE else None


def _is_success(answer: Answer) -> bool:
    return answer.is_whole and _is_success_status(answer.status)


def _is_success_status(status: int) -> bool:
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def _describe(answer: Answer, run: Run | None) -> str:
    seen = (
        f'{answer.call} {answer.kind.value} got {answer.status} '
        f'with {answer.digest.length} bytes'
    )
    if run is None:
        return f'{seen}: {answer.head!r}'
    return (
        f'{seen}, its run at {run.target} wrote {run.status} with '
        f'{run.digest.length} bytes and ended {run.ending.value} '
        f'({run.timing.value}, cut: {run.cut.value}): {answer.head!r}'
    )
