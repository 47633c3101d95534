"""Serve one request of a caller at an entry, from its body to its response."""

import asyncio
from typing import final

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
)

from turmericmast.call.call import Call, Loss, NextStep
from turmericmast.entry.routing import RouteAction
from turmericmast.ids import TargetId
from turmericmast.service.service import Dispatch
from turmericmast.target.target import Ending
from turmericmast.web import refusals
from turmericmast.web.body import RequestBody
from turmericmast.web.entrycontext import EntryContext
from turmericmast.web.forwarding import Forwarder
from turmericmast.web.keyedrequest import KeyedRequest
from turmericmast.web.parse import read_pause
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.reply import Reply
from turmericmast.web.requestquarantine import RequestQuarantine
from turmericmast.web.sending import Destination, IncomingRequest, Sender


@final
class Exchange(HTTPMessageDelegate):
    """Sends one call to an owned target or to another entry, or refuses it.

    The body is buffered before the call starts, unless it exceeds the buffer:
    then the call starts at once and the rest of the body is streamed.
    """

    def __init__(
        self,
        context: EntryContext,
        connection: HTTPConnection,
        incoming: IncomingRequest,
    ) -> None:
        """Prepare to serve ``incoming``; the call starts with its body."""
        request = incoming.request
        self._context = context
        self._incoming = incoming
        self._request = request
        self._call = Call(request)
        self._body = RequestBody()
        self._relay = Relay(connection, request.method)
        self._reply = Reply(self._relay, context.metrics)
        self._sender = Sender(context, incoming, self._body, self._relay)
        self._forwarder = Forwarder(
            context,
            incoming,
            self._body,
            self._relay,
            self._sender,
        )
        self._keyed_request = KeyedRequest(context, request, incoming.values)
        self._quarantine = RequestQuarantine(context, request, self._body)
        self._task: asyncio.Task[None] | None = None

    async def data_received(self, chunk: bytes) -> None:
        """Add a chunk of the request body; refuse a body over the limit."""
        if self._body.size + len(chunk) > self._incoming.values.max_body_bytes:
            self._reply.send_problem(
                refusals.body_too_large(self._incoming.values)
            )
            self._body.stop_reading()
            return
        if self._body.exceeds_buffer(len(chunk)):
            self._start()
        await self._body.push(chunk)

    def finish(self) -> None:
        """Mark the request body as complete and start the call."""
        self._body.mark_complete()
        self._start()

    def on_connection_close(self) -> None:
        """Stop the call after the caller disconnected, unless it is keyed."""
        self._reply.is_over = True
        self._body.stop_reading()
        self._context.leave_queue(self._request.service, self._request.call)
        # A keyed request continues: a resend with the same key gets the
        # response from the ledger.
        if not self._keyed_request.has_open_record:
            self._sender.cancel()

    def _start(self) -> None:
        """Start the call once; its body is complete or exceeds the buffer."""
        if self._task is None and not self._reply.is_over:
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        started = self._context.begin_call()
        try:
            await self._serve()
        except Exception as error:
            self._context.metrics.count('calls_broken')
            self._reply.send_problem(
                refusals.internal_error(self._context.entry, self._call, error),
            )
            raise
        finally:
            self._body.stop_reading()
            self._context.end_call(started)

    async def _serve(self) -> None:
        fingerprint = self._quarantine.refused_fingerprint()
        if fingerprint:
            self._reply.send_problem(
                refusals.quarantined(self._context.entry, fingerprint)
            )
            return
        route = self._context.entry.route(
            self._request, self._context.clock.now()
        )
        if route.action is RouteAction.local:
            await self._serve_locally()
        elif route.action is RouteAction.forward:
            await self._forward(route.addresses)
        elif route.action is RouteAction.misdirected:
            self._reply.send_problem(refusals.misdirected(route.addresses))
        else:
            self._reply.send_problem(
                refusals.no_target(self._context.entry, self._request)
            )

    async def _serve_locally(self) -> None:
        problem = await self._keyed_request.begin(self._body)
        if problem:
            self._reply.send_problem(problem)
        elif self._keyed_request.kept_answer:
            self._reply.replay(self._keyed_request.kept_answer)
        else:
            await self._run_attempts()

    async def _run_attempts(self) -> None:
        avoid = TargetId('')
        should_retry = True
        while should_retry:
            dispatch = await self._context.acquire_slot(self._request, avoid)
            if dispatch is None:
                await self._fail_without_slot()
                return
            avoid = dispatch.target
            loss = await self._attempt(dispatch)
            if loss is None:
                await self._deliver()
                return
            should_retry = await self._should_retry(loss)

    async def _attempt(self, dispatch: Dispatch) -> Loss | None:
        self._call.start_attempt()
        started_ms = self._context.clock.wall()
        destination = Destination(
            dispatch.address,
            self._request.path,
            dispatch.target,
            self._resume_headers(),
        )
        loss = await self._sender.send(destination) or self._relay.loss
        if loss is Loss.shed and self._relay.head:
            self._pause_target(dispatch.target, self._relay.head.headers)
        self._context.release_slot(
            dispatch,
            self._request.service,
            self._ending(loss),
        )
        # When the caller has disconnected, or the response is malformed, the
        # entry closed the connection to the target itself: this is no crash.
        is_crash = loss in {Loss.connection_lost, Loss.cut_short}
        has_closed = self._is_abandoned or self._sender.was_malformed
        if is_crash and not has_closed:
            await self._quarantine.report_crash(started_ms)
        return loss

    def _pause_target(self, target: TargetId, headers: HTTPHeaders) -> None:
        """Heed a rejection that asks for a pause."""
        request = read_pause(headers)
        outcome = request and self._context.entry.pause_target(
            target, request, self._context.clock.now()
        )
        if outcome:
            self._context.metrics.count('target_pauses', outcome=outcome.value)

    @property
    def _is_abandoned(self) -> bool:
        """Tell whether the caller disconnected and no ledger record is open."""
        return self._reply.is_over and not self._keyed_request.has_open_record

    def _ending(self, loss: Loss | None) -> Ending:
        # A request that was not sent says nothing about the target.
        if self._is_abandoned or self._sender.was_vetoed:
            return Ending.cancelled
        if self._sender.was_malformed:
            return Ending.malformed
        if loss:
            return Ending.of_loss(loss)
        return Ending.error if self._relay.is_failure else Ending.success

    def _resume_headers(self) -> tuple[tuple[str, str], ...]:
        """Return headers that request the rest of a streamed response.

        A response that is only buffered is discarded, to be received anew.
        """
        if self._relay.state is RelayState.streaming:
            return self._relay.range_headers() or ()
        self._relay.discard()
        return ()

    async def _should_retry(self, loss: Loss) -> bool:
        """Decide whether to make another attempt; refuse the call if not."""
        self._call.record_failure(loss)
        if self._is_abandoned:
            return False
        if self._relay.state is not RelayState.empty and self._relay.sent_bytes:
            return self._can_continue_stream()
        step = self._call.next_step(
            self._context.clock.now(),
            can_replay=self._body.can_replay,
        )
        if step is NextStep.retry and self._may_retry(loss):
            self._context.metrics.count('retries', loss=loss.value)
            return True
        await self._keyed_request.close_unanswered(self._call.ran, self._body)
        self._reply.send_problem(refusals.attempts_failed(self._call, loss))
        return False

    def _can_continue_stream(self) -> bool:
        """Tell whether to request the rest of the body; abort if not."""
        has_time = self._context.clock.now() < self._request.deadline
        if (
            has_time
            and self._relay.range_headers()
            and self._context.try_withdraw_retry(self._request.service)
        ):
            self._context.metrics.count('downloads_resumed')
            return True
        self._reply.abort()
        return False

    def _may_retry(self, loss: Loss) -> bool:
        """Tell whether retry budget and quarantine permit a retry.

        A token is withdrawn from the budget, unless nothing was sent.
        """
        was_unsent = loss is Loss.never_sent
        has_budget = was_unsent or self._context.try_withdraw_retry(
            self._request.service
        )
        return has_budget and not self._quarantine.refused_fingerprint()

    async def _deliver(self) -> None:
        await self._quarantine.acquit()
        head = self._relay.head
        if head and self._keyed_request.has_open_record:
            is_whole = self._relay.state is not RelayState.streaming
            await self._keyed_request.settle(
                head, self._relay.buffered_body(), is_whole
            )
        self._reply.answer('answered')

    async def _forward(self, addresses: tuple[str, ...]) -> None:
        if await self._forwarder.forward(self._call, addresses):
            self._reply.answer('handed_on')
        elif self._relay.sent_bytes:
            self._reply.abort()
        else:
            self._reply.send_problem(
                refusals.attempts_failed(self._call, self._call.losses[-1])
            )

    async def _fail_without_slot(self) -> None:
        await self._keyed_request.close_unanswered(self._call.ran, self._body)
        if self._relay.sent_bytes:
            self._reply.abort()
            return
        route = self._context.entry.router.forward_route(self._request)
        is_first = self._request.hops == 0 and not self._call.attempts
        if (
            route.action is RouteAction.forward
            and is_first
            and self._body.can_replay
        ):
            await self._forward(route.addresses)
        else:
            self._reply.send_problem(
                refusals.no_free_slot(self._call, self._context.clock.now())
            )
