"""One attempt to send a request to a target."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import final

from turmericmast.balance.candidate import Candidate
from turmericmast.balance.hedge import Hedge
from turmericmast.balance.openness import withheld_by
from turmericmast.balance.pool import Pool
from turmericmast.balance.profile import RouteProfile
from turmericmast.balance.statement import TargetStatement
from turmericmast.balance.targetview import Eligibility
from turmericmast.call.call import Loss
from turmericmast.ids import Seconds
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.excessreport import report_excess
from turmericmast.web.rejection import Rejection, find_stutter
from turmericmast.web.rejectionreport import (
    report_malformed,
    report_rejection,
)
from turmericmast.web.transfer import Progress, Transfer, TransferRequest

MAX_SHOWN_ID = 40
"""Characters of the id in a rejected response that are logged."""
CountEnd = Callable[[Loss | None, Seconds | None], None]
"""Counts an attempt by its loss and its latency, if that says anything."""
MakeRequest = Callable[[Candidate, Callable[[], None]], TransferRequest]
"""Builds the request to a candidate; the callback resumes its transfer."""


def _always() -> bool:
    return True


@final
class EdgeAttempt:
    """Sends a request to one target and records the result.

    The result updates the view of the target, the profile of the route and
    the load reports of the other instances.
    """

    def __init__(
        self,
        context: EdgeContext,
        pool: Pool,
        candidate: Candidate,
        response: EdgeResponse,
        profile: RouteProfile,
    ) -> None:
        """Prepare to send to ``candidate``; ``start`` sends."""
        self.response = response
        self.candidate = candidate
        self.began_at = context.clock.now()
        self.hedge = Hedge(candidate, self.began_at)
        response.on_statement = self._apply_statement
        self.on_end: CountEnd | None = None
        """Counts the end of the attempt as evidence of a rollout."""
        self._context = context
        self._pool = pool
        self._profile = profile
        self._sent_octets = 0
        self._slowness = candidate.view.report.slowness
        self._had_free_slot = candidate.view.has_free_slot()
        self._was_cold = False
        self._is_cancelled = False
        self._transfer: Transfer | None = None
        self._task: asyncio.Task[Loss | None] | None = None

    @property
    def task(self) -> asyncio.Task[Loss | None]:
        """Return the task whose result is the loss, ``None`` on success.

        Raises:
            RuntimeError: if the attempt was not started.

        """
        if self._task is None:
            raise RuntimeError(
                'call start() before using the task of an attempt'
            )
        return self._task

    def start(
        self,
        make_request: MakeRequest,
        is_permitted: Callable[[], bool] = _always,
    ) -> None:
        """Begin to send the request that ``make_request`` returns.

        The other instances in the domain are told of it first. Nothing is sent
        unless ``is_permitted`` agrees right before the first byte.
        """
        view = self.candidate.view
        if self.on_end:
            self._was_cold = view.cold_time_left(self.began_at) > 0
        self._pool.begin_request(view, self.began_at)
        self._context.load_sharing.announce_request(view)
        self._confirm_target()
        request = make_request(self.candidate, self.resume)
        keeps_connections = self._context.framing.keeps_connections
        if self.candidate.is_last_resort or not keeps_connections(
            view.record.address
        ):
            # A leaving target may close a kept connection at any moment.
            request = dataclasses.replace(request, uses_kept_connection=False)
        self._sent_octets = max(request.body_size, 0)
        transfer = Transfer(
            self._context.curl,
            request,
            self.response,
            lambda: self._may_send() and is_permitted(),
        )
        self._transfer = transfer
        self._task = asyncio.ensure_future(self._run(transfer))

    def resume(self) -> None:
        """Resume a transfer that waited for the caller or the body."""
        if self._transfer:
            self._transfer.resume()

    def cancel(self) -> None:
        """Cancel the transfer; closing the connection tells the target."""
        self._is_cancelled = True
        if self._transfer:
            self._transfer.cancel()

    async def _run(self, transfer: Transfer) -> Loss | None:
        view = self.candidate.view
        try:
            loss = self.response.final_loss(await transfer.run())
        except Exception:
            view.drop_request()
            raise
        self._report_excess()
        report_malformed(
            transfer,
            self._context.metrics,
            self._context.events,
            request=self.response.request_id,
            target=view.record.target,
        )
        now = self._context.clock.now()
        if self.response.load:
            view.update_load(self.response.load, now)
        is_unsent = transfer.progress is Progress.vetoed
        if self.on_end and not is_unsent:
            self._count_end(loss, now)
        if self._is_cancelled or is_unsent or self.response.is_superseded:
            view.drop_request()
            return loss
        view.end_request(loss, now, is_malformed=transfer.malformed is not None)
        self._count_octets()
        self._record_result(loss, now)
        return loss

    def _count_end(self, loss: Loss | None, now: Seconds) -> None:
        """Count the attempt as evidence of a rollout.

        One that was cancelled has taken at least as long as it ran. Cold
        targets are slow whatever their version.
        """
        latency = Seconds((now - self.began_at) / max(self._slowness, 1))
        if self.on_end:
            self.on_end(
                None if self._is_cancelled else loss,
                None if self._was_cold else latency,
            )

    def _confirm_target(self) -> None:
        """Probe a target that has got many requests since it said it is up."""
        view = self.candidate.view
        is_warm = view.eligibility(self.began_at) is Eligibility.warm
        path = self._context.edge.health_path(view.record.service)
        if path and is_warm and view.confirmation.is_half_used():
            self._context.prober.start(view, path)

    def _count_octets(self) -> None:
        """Count bodies by the distance that they have crossed."""
        self._context.metrics.count(
            'body_bytes',
            self._sent_octets + self.response.octets,
            distance=self.candidate.distance.name,
        )

    def _record_result(self, loss: Loss | None, now: Seconds) -> None:
        view = self.candidate.view
        is_lost = loss in {Loss.never_sent, Loss.connection_lost}
        self._context.load_sharing.share_result(view, is_lost=is_lost)
        if self.response.is_misdirected:
            view.eject_misplaced()
        if self.response.rejection:
            self._report_rejection(self.response.rejection)
        self._apply_framing(loss)
        if loss is None:
            self._learn(Seconds(now - self.began_at))

    def _report_rejection(self, rejection: Rejection) -> None:
        report_rejection(
            rejection,
            self._context.metrics,
            self._context.events,
            request=self.response.request_id,
            target=self.candidate.view.record.target,
            status=self.response.status,
            names=self.response.named_request[:MAX_SHOWN_ID],
        )

    def _apply_framing(self, loss: Loss | None) -> None:
        """Record whether the target's responses can be told apart."""
        response = self.response
        address = self.candidate.view.record.address
        stutter = find_stutter(response.rejection, response.body)
        if stutter:
            self._context.framing.apply_stutter(address, stutter)
        elif loss is None or response.is_buffered:
            self._context.framing.apply_response(address)

    def _report_excess(self) -> None:
        report_excess(
            self.response.body,
            self._context.metrics,
            self._context.events,
            request=self.response.request_id,
            target=self.candidate.view.record.target,
            status=self.response.status,
        )

    def _learn(self, latency: Seconds) -> None:
        octets = self._sent_octets + self.response.octets
        if self._had_free_slot:
            self._profile.learn(latency, self._slowness, octets)
        else:
            self._profile.learn_size(octets)

    def _may_send(self) -> bool:
        view = self.candidate.view
        now = self._context.clock.now()
        as_last_resort = self.candidate.is_last_resort
        cause = withheld_by(view, now, as_last_resort=as_last_resort)
        if cause:
            self._context.metrics.count('requests_withheld', cause=cause.value)
        may_send = self._context.edge.may_send(
            view, now, as_last_resort=as_last_resort
        )
        return may_send and not self._is_cancelled

    def _apply_statement(self, status: int, statement: TargetStatement) -> None:
        view = self.candidate.view
        self._context.statements.apply_response(view, status, statement)
