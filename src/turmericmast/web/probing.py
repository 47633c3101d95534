"""Ask targets for their health and load."""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol, final

from turmericmast.balance.targetview import Eligibility, TargetView
from turmericmast.call.call import Loss
from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.ids import TargetId
from turmericmast.metrics import Metrics
from turmericmast.web.curl import CurlClient
from turmericmast.web.dialect import Dialect, HealthMarks
from turmericmast.web.edgeevents import EdgeEvent, describe_target
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

PROBE_TIMEOUT = 0.3
"""Seconds after which a probe that was not answered counts as lost."""
PROBE_HEADERS = (b'Accept:', b'User-Agent:')


class Learned(Protocol):
    """Takes what was learned of a target."""

    def __call__(self, view: TargetView, *, is_lost: bool = False) -> None:
        """Take a target that told something, or was lost."""


@final
class Prober:
    """Sends one probe at a time to each target."""

    def __init__(
        self,
        curl: CurlClient,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Probe by ``curl``."""
        self._events = events
        self._curl = curl
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self.on_learned: Learned = _tell_nobody
        """Called with what a probe has told."""
        self._task_by_target: dict[TargetId, asyncio.Task[bool]] = {}

    async def probe(
        self,
        views: Sequence[TargetView],
        path: str,
        patience: float,
    ) -> None:
        """Ask targets, and return when all answered or patience is over.

        Answers that come later still count for the next request.
        """
        tasks = [self.start(view, path) for view in views]
        await asyncio.wait(tasks, timeout=patience)

    def start(self, view: TargetView, path: str) -> asyncio.Task[bool]:
        """Probe one target, unless a probe is under way.

        The task returns whether the target itself answered.
        """
        target = view.record.target
        known = self._task_by_target.get(target)
        if known:
            return known
        view.probed_at = self._clock.now()
        task = asyncio.ensure_future(self._ask(view, path))
        self._task_by_target[target] = task
        task.add_done_callback(lambda _: self._task_by_target.pop(target, None))
        return task

    async def _ask(self, view: TargetView, path: str) -> bool:
        heads = _HeadKeeper()
        request = TransferRequest(
            url=f'http://{view.record.address}{path}',
            method='GET',
            headers=PROBE_HEADERS,
            timeout=PROBE_TIMEOUT,
            body=None,
            body_size=0,
        )
        transfer = Transfer(self._curl, request, heads, _always)
        loss = await transfer.run()
        self._metrics.count('probes', outcome=loss.value if loss else 'whole')
        before = view.eligibility(self._clock.now())
        if loss or heads.head is None:
            view.eject(self._clock.now())
            self.on_learned(view, is_lost=True)
            is_there = False
        else:
            marks = self._dialect.read_health(heads.head.headers)
            is_there = self._learn(view, heads.head.status, marks)
        self._show(view, before, loss)
        return is_there

    def _show(
        self,
        view: TargetView,
        before: Eligibility,
        loss: Loss | None,
    ) -> None:
        now = self._clock.now()
        if view.eligibility(now) is before:
            return
        self._events.write(
            EdgeEvent.trust_changed.value,
            **describe_target(view, now),
            before=before.value,
            loss=loss.value if loss else '',
        )

    def _learn(
        self,
        view: TargetView,
        status: int,
        marks: HealthMarks,
    ) -> bool:
        """Learn from an answer; tell whether it is the target's own."""
        now = self._clock.now()
        if marks.target and marks.target != view.record.target:
            view.eject_misplaced()
            return False
        if marks.load:
            view.update_load(marks.load, now)
        if not marks.is_unrun:
            view.is_unhealthy = status != HTTPStatus.OK
            view.verify(marks.cold_left, now)
        self.on_learned(view)
        return True


@final
class _HeadKeeper(ResponseSink):
    """Keeps the head of an answer and drops its body."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None

    def on_head(self, head: ResponseHead) -> bool:
        """Keep it."""
        self.head = head
        return True

    def on_chunk(self, chunk: bytes) -> bool:
        """Drop it."""
        return True


def _always() -> bool:
    return True


def _tell_nobody(view: TargetView, *, is_lost: bool = False) -> None:
    """Keep what was learned to this instance."""
