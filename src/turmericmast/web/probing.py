"""Probes (health checks) of targets, which also return their load."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Protocol, final

from turmericmast.balance.framing import Stutter
from turmericmast.balance.statement import TargetStatement
from turmericmast.balance.targetview import Eligibility, TargetView
from turmericmast.call.call import Loss
from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.ids import TargetId
from turmericmast.metrics import Metrics
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgeevents import EdgeEvent, describe_target
from turmericmast.web.headerformat import HeaderFormat, HealthMetadata
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.rejection import Rejection
from turmericmast.web.rejectionreport import report_rejection
from turmericmast.web.responsehead import ResponseHead
from turmericmast.web.transfer import (
    Progress,
    ResponseSink,
    Transfer,
    TransferRequest,
)

PROBE_TIMEOUT = 0.3
"""Seconds after which a probe without a response counts as lost."""
MAX_BODY_BYTES = 65_536
"""Bytes of a health response after which the probe is aborted."""
PROBE_HEADERS = (b'Accept:', b'User-Agent:')
"""Header lines without content, which stop curl from adding its own."""


class ResultCallback(Protocol):
    """Callback for the result of a probe."""

    def __call__(self, view: TargetView, *, is_lost: bool = False) -> None:
        """Handle the updated view of a target, or its loss."""


@final
class Prober:
    """Probes targets, with at most one probe of each at a time."""

    def __init__(
        self,
        curl: CurlClient,
        header_format: HeaderFormat,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Probe with ``curl`` and read responses by ``header_format``."""
        self._events = events
        self._curl = curl
        self._header_format = header_format
        self._clock = clock
        self._metrics = metrics
        self.on_result: ResultCallback = _ignore_result
        """Called after each probe, except where another target responded."""
        self.on_statement: Callable[
            [TargetView, int, TargetStatement], None
        ] = _ignore_statement
        """Called with the status and statement of each response of a target."""
        self.on_stutter: Callable[[str, Stutter], None] = _ignore_stutter
        """Called with the address whose response was to another request."""
        self.keeps_connections: Callable[[str], bool] = _keep_connections
        """Tells whether a connection to an address may serve more requests."""
        self._probe_by_target: dict[TargetId, asyncio.Task[bool]] = {}

    async def probe(
        self,
        views: Sequence[TargetView],
        path: str,
        timeout: float,
    ) -> None:
        """Probe targets and wait for the results, at most ``timeout`` seconds.

        Later results still update the views, for the next request.
        """
        tasks = [self.start(view, path) for view in views]
        await asyncio.wait(tasks, timeout=timeout)

    async def wait_for_any(
        self, views: Sequence[TargetView], timeout: float
    ) -> bool:
        """Wait for the first result of the probes of targets that are running.

        Waits ``timeout`` seconds at most. Return whether there was one.
        """
        tasks = [
            task
            for view in views
            if (task := self._probe_by_target.get(view.record.target))
        ]
        if not tasks:
            return False
        done, _ = await asyncio.wait(
            tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return bool(done)

    def start(self, view: TargetView, path: str) -> asyncio.Task[bool]:
        """Return the task of a probe, a new one unless one is running.

        Its result tells whether the target itself responded.
        """
        target = view.record.target
        running_probe = self._probe_by_target.get(target)
        if running_probe:
            return running_probe
        view.probed_at = self._clock.now()
        task = asyncio.ensure_future(self._run_probe(view, path))
        self._probe_by_target[target] = task
        task.add_done_callback(
            lambda _: self._probe_by_target.pop(target, None)
        )
        return task

    async def _run_probe(self, view: TargetView, path: str) -> bool:
        if view.pause.is_on(self._clock.now()):
            # It has just responded to a request, and wants no probe.
            return True
        sink = _HealthSink(self._header_format)
        request = TransferRequest(
            url=f'http://{view.record.address}{path}',
            method='GET',
            headers=PROBE_HEADERS,
            timeout=PROBE_TIMEOUT,
            body=None,
            body_size=0,
            uses_kept_connection=self._may_keep(view),
        )
        transfer = Transfer(
            self._curl,
            request,
            sink,
            lambda: not view.pause.is_on(self._clock.now()),
        )
        loss = await transfer.run()
        if transfer.progress is Progress.vetoed:
            return True
        self._metrics.count('probes', outcome=loss.value if loss else 'whole')
        if transfer.malformed:
            return self._fail_health(view, transfer.malformed)
        if sink.is_joined:
            self._report_rejection(
                view,
                Rejection.joined_head,
                sink.head.status if sink.head else 0,
            )
            self.on_stutter(view.record.address, Stutter.joined_head)
        elif sink.is_foreign:
            self.on_stutter(view.record.address, Stutter.other_request)
        before = view.eligibility(self._clock.now())
        if loss or sink.head is None or sink.metadata is None:
            view.lose_path(self._clock.now())
            self.on_result(view, is_lost=True)
            has_responded = False
        else:
            has_responded = self._apply_health(
                view, sink.head.status, sink.metadata
            )
        self._log_change(view, before, loss)
        return has_responded

    def _fail_health(
        self, view: TargetView, malformed: MalformedResponseError
    ) -> bool:
        """Eject a target whose response is malformed.

        The path to it works, and it did not crash.
        """
        before = view.eligibility(self._clock.now())
        self._report_rejection(
            view, malformed.rejection, malformed.status, detail=str(malformed)
        )
        view.eject(self._clock.now())
        self.on_result(view, is_lost=True)
        self._log_change(view, before, Loss.connection_lost)
        return True

    def _report_rejection(
        self,
        view: TargetView,
        rejection: Rejection,
        status: int,
        detail: str = '',
    ) -> None:
        report_rejection(
            rejection,
            self._metrics,
            self._events,
            target=view.record.target,
            status=status,
            detail=detail,
        )

    def _may_keep(self, view: TargetView) -> bool:
        return not view.departure.has_begun and self.keeps_connections(
            view.record.address
        )

    def _log_change(
        self,
        view: TargetView,
        before: Eligibility,
        loss: Loss | None,
    ) -> None:
        now = self._clock.now()
        if view.eligibility(now) is before:
            return
        self._events.write(
            EdgeEvent.eligibility_changed.value,
            **describe_target(view, now),
            before=before.value,
            loss=loss.value if loss else '',
        )

    def _apply_health(
        self,
        view: TargetView,
        status: int,
        metadata: HealthMetadata,
    ) -> bool:
        """Update the view; tell whether the target itself responded."""
        now = self._clock.now()
        if metadata.target and metadata.target != view.record.target:
            view.eject_misplaced()
            return False
        view.confirm_path(self._clock.now())
        self.on_statement(view, status, _own_statement(metadata))
        if metadata.load:
            view.update_load(metadata.load, now)
        if not metadata.is_not_run:
            view.is_unhealthy = status != HTTPStatus.OK
            view.verify(metadata.cold_time_left, now)
        self.on_result(view)
        return True


@final
class _HealthSink(ResponseSink):
    """Stores the head of a health response and drops the body."""

    def __init__(self, header_format: HeaderFormat) -> None:
        self.head: ResponseHead | None = None
        self.metadata: HealthMetadata | None = None
        self.is_joined = False
        """Whether the status may not be that of the named target."""
        self._header_format = header_format
        self._octets = 0

    def on_head(self, head: ResponseHead) -> bool:
        """Store the head; false if it belongs to an earlier request.

        Connections are shared with requests, and a target may send a response
        once more.
        """
        self.head = head
        self.metadata = self._header_format.read_health(head.certain)
        self.is_joined = self._may_be_joined(head, self.metadata)
        return not (self.is_joined or self.metadata.answers_request)

    def on_chunk(self, chunk: bytes) -> bool:
        """Drop a part of the body."""
        self._octets += len(chunk)
        return True

    @property
    def is_foreign(self) -> bool:
        """Tell whether a part of the response may answer another request."""
        return self.is_joined or (
            self.metadata is not None and self.metadata.answers_request
        )

    @property
    def is_overfull(self) -> bool:
        """Tell whether the body is longer than any health response."""
        return self._octets > MAX_BODY_BYTES

    def _may_be_joined(
        self, head: ResponseHead, metadata: HealthMetadata
    ) -> bool:
        if head.join is None:
            return False
        doubtful = self._header_format.read_health(head.join.doubtful)
        return (
            head.is_interim
            or not metadata.target
            or bool(doubtful.target)
            or doubtful.answers_request
        )


def _own_statement(metadata: HealthMetadata) -> TargetStatement:
    """Return the statement in a response, for what it says for sure.

    A response without the name of its sender may come from another target at
    the address. A departure is final, a pause ends by itself.
    """
    is_leaving = metadata.statement.is_leaving and bool(metadata.target)
    return dataclasses.replace(metadata.statement, is_leaving=is_leaving)


def _ignore_statement(
    view: TargetView, status: int, statement: TargetStatement
) -> None:
    """Do nothing; the default until a callback is set."""


def _ignore_stutter(address: str, stutter: Stutter) -> None:
    """Do nothing; the default until a callback is set."""


def _keep_connections(address: str) -> bool:
    """Keep connections to all addresses; the default."""
    return True


def _ignore_result(view: TargetView, *, is_lost: bool = False) -> None:
    """Do nothing; the default until a callback is set."""
