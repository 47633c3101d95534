"""One request of a caller, from its first byte to the end of its answer."""

import asyncio
from typing import final

from tornado.httputil import HTTPConnection, HTTPMessageDelegate

from turmericmast.call.call import Call, Loss, NextStep
from turmericmast.entry.routing import RouteAction
from turmericmast.ids import TargetId
from turmericmast.service.service import Dispatch
from turmericmast.target.target import Ending
from turmericmast.web import refusals
from turmericmast.web.body import Body
from turmericmast.web.desk import Desk
from turmericmast.web.handing import HandingOn
from turmericmast.web.keeping import Keeper
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.reply import Reply
from turmericmast.web.sending import Destination, Incoming, Sender
from turmericmast.web.suspecting import Suspecting


@final
class Exchange(HTTPMessageDelegate):
    """Serves one call: here, by another entry, or not at all."""

    def __init__(
        self,
        desk: Desk,
        connection: HTTPConnection,
        incoming: Incoming,
    ) -> None:
        """Serve ``incoming`` as soon as its body allows."""
        request = incoming.request
        self._desk = desk
        self._incoming = incoming
        self._request = request
        self._call = Call(request)
        self._body = Body()
        self._relay = Relay(connection, request.method)
        self._reply = Reply(self._relay, desk.metrics)
        self._sender = Sender(desk, incoming, self._body, self._relay)
        self._handing = HandingOn(
            desk,
            incoming,
            self._body,
            self._relay,
            self._sender,
        )
        self._keeper = Keeper(desk, request, incoming.values)
        self._suspecting = Suspecting(desk, request, self._body)
        self._task: asyncio.Task[None] | None = None

    async def data_received(self, chunk: bytes) -> None:
        """Take octets of the request body."""
        if self._body.size + len(chunk) > self._incoming.values.max_body_bytes:
            self._reply.fail(refusals.too_large(self._incoming.values))
            self._body.abandon()
            return
        if self._body.is_passed_on(len(chunk)):
            self._start()
        await self._body.push(chunk)

    def finish(self) -> None:
        """Note the end of the request body."""
        self._body.end()
        self._start()

    def on_connection_close(self) -> None:
        """The caller went away: stop whatever is only for its sake."""
        self._reply.is_over = True
        self._body.abandon()
        self._desk.leave_queue(self._request.service, self._request.call)
        # A keyed request goes on: its answer is for whoever asks again.
        if not self._keeper.is_open:
            self._sender.cancel()

    def _start(self) -> None:
        """Begin once all of the body is here, or too much of it to hold."""
        if self._task is None and not self._reply.is_over:
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        started = self._desk.begin_call()
        try:
            await self._serve()
        except Exception as error:
            self._desk.metrics.count('calls_broken')
            self._reply.fail(
                refusals.unexpected(self._desk.entry, self._call, error),
            )
            raise
        finally:
            self._body.abandon()
            self._desk.end_call(started)

    async def _serve(self) -> None:
        refused = self._suspecting.refused()
        if refused:
            self._reply.fail(refusals.quarantined(self._desk.entry, refused))
            return
        route = self._desk.entry.route(self._request, self._desk.clock.now())
        if route.action is RouteAction.local:
            await self._serve_here()
        elif route.action is RouteAction.forward:
            await self._hand_on(route.addresses)
        elif route.action is RouteAction.misdirected:
            self._reply.fail(refusals.misdirected(route.addresses))
        else:
            self._reply.fail(
                refusals.no_target(self._desk.entry, self._request)
            )

    async def _serve_here(self) -> None:
        problem = await self._keeper.begin(self._body)
        if problem:
            self._reply.fail(problem)
        elif self._keeper.kept:
            self._reply.replay(self._keeper.kept)
        else:
            await self._run_here()

    async def _run_here(self) -> None:
        avoid = TargetId('')
        goes_on = True
        while goes_on:
            dispatch = await self._desk.slot(self._request, avoid)
            if dispatch is None:
                await self._leave_unserved()
                return
            avoid = dispatch.target
            loss = await self._attempt(dispatch)
            if loss is None:
                await self._deliver()
                return
            goes_on = await self._goes_on(loss)

    async def _attempt(self, dispatch: Dispatch) -> Loss | None:
        self._call.start_attempt()
        started_ms = self._desk.clock.wall()
        destination = Destination(
            dispatch.address,
            self._request.path,
            dispatch.target,
            self._resume_headers(),
        )
        loss = await self._sender.send(destination) or self._relay.loss
        self._desk.release(
            dispatch,
            self._request.service,
            self._ending(loss),
        )
        # A caller that left closed the connection itself.
        is_crash = loss in {Loss.connection_lost, Loss.cut_short}
        if is_crash and not self._is_abandoned:
            await self._suspecting.report(started_ms)
        return loss

    @property
    def _is_abandoned(self) -> bool:
        """Tell whether nobody waits for an answer, nor will ask again."""
        return self._reply.is_over and not self._keeper.is_open

    def _ending(self, loss: Loss | None) -> Ending:
        # A target is not blamed for what it was never sent.
        if self._is_abandoned or self._sender.was_vetoed:
            return Ending.cancelled
        if loss:
            return Ending.of_loss(loss)
        return Ending.error if self._relay.is_failure else Ending.success

    def _resume_headers(self) -> tuple[tuple[str, str], ...]:
        if self._relay.state is RelayState.streaming:
            return self._relay.range_headers() or ()
        self._relay.forget()
        return ()

    async def _goes_on(self, loss: Loss) -> bool:
        """Decide after a failed attempt; answer the caller if it ends."""
        self._call.record_failure(loss)
        if self._is_abandoned:
            return False
        if self._relay.state is not RelayState.empty and self._relay.sent:
            return self._can_continue_stream()
        step = self._call.next_step(
            self._desk.clock.now(),
            can_replay=self._body.can_replay,
        )
        if step is NextStep.retry and self._is_affordable(loss):
            self._desk.metrics.count('retries', loss=loss.value)
            return True
        await self._keeper.close_failed(self._call.ran, self._body)
        self._reply.fail(refusals.lost(self._call, loss))
        return False

    def _can_continue_stream(self) -> bool:
        has_time = self._desk.clock.now() < self._request.deadline
        if (
            has_time
            and self._relay.range_headers()
            and self._desk.spend_retry(self._request.service)
        ):
            self._desk.metrics.count('downloads_resumed')
            return True
        self._reply.break_off()
        return False

    def _is_affordable(self, loss: Loss) -> bool:
        is_free = loss is Loss.never_sent
        has_budget = is_free or self._desk.spend_retry(self._request.service)
        return has_budget and not self._suspecting.refused()

    async def _deliver(self) -> None:
        await self._suspecting.acquit()
        head = self._relay.head
        if head and self._keeper.is_open:
            is_whole = self._relay.state is not RelayState.streaming
            await self._keeper.settle(head, self._relay.body(), is_whole)
        self._reply.answer('answered')

    async def _hand_on(self, addresses: tuple[str, ...]) -> None:
        if await self._handing.run(self._call, addresses):
            self._reply.answer('handed_on')
        elif self._relay.sent:
            self._reply.break_off()
        else:
            self._reply.fail(refusals.lost(self._call, self._call.losses[-1]))

    async def _leave_unserved(self) -> None:
        await self._keeper.close_failed(self._call.ran, self._body)
        if self._relay.sent:
            self._reply.break_off()
            return
        route = self._desk.entry.router.forward_route(self._request)
        is_first = self._request.hops == 0 and not self._call.attempts
        if (
            route.action is RouteAction.forward
            and is_first
            and self._body.can_replay
        ):
            await self._hand_on(route.addresses)
        else:
            self._reply.fail(refusals.shed(self._call, self._desk.clock.now()))
