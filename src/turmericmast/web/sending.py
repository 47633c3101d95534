"""Send one call to a target or to another entry."""

import dataclasses
from typing import final

from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.call.call import CallRequest, Loss
from turmericmast.fleet.values import Values
from turmericmast.ids import AttemptId, TargetId
from turmericmast.web.body import METHODS_WITH_BODY, RequestBody
from turmericmast.web.callecho import OwnResponse
from turmericmast.web.entrycontext import EntryContext
from turmericmast.web.excessreport import report_excess
from turmericmast.web.parse import CALL_HEADER, entry_request_headers
from turmericmast.web.rejection import find_stutter
from turmericmast.web.rejectionreport import report_malformed
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import (
    Progress,
    ResponseSink,
    Transfer,
    TransferRequest,
)


@final
@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """A request of a caller, parsed, with the fleet values that apply to it."""

    start: RequestStartLine
    headers: HTTPHeaders
    request: CallRequest
    values: Values


@final
@dataclasses.dataclass(frozen=True)
class Destination:
    """Address, path and additional headers of one attempt.

    ``target`` is ``None`` when the call goes to another entry.
    """

    address: str
    path: str
    target: TargetId | None
    extra_headers: tuple[tuple[str, str], ...] = ()


@final
class Sender:
    """Makes the attempts of one call, one at a time."""

    def __init__(
        self,
        context: EntryContext,
        incoming: IncomingRequest,
        body: RequestBody,
        relay: Relay,
    ) -> None:
        """Prepare to send ``incoming``; ``relay`` gets the response."""
        self._context = context
        self._incoming = incoming
        self._body = body
        self._relay = relay
        self._transfer: Transfer | None = None
        self._attempts = 0
        self._is_cancelled = False

    async def send(self, destination: Destination) -> Loss | None:
        """Make one attempt; return how it failed, ``None`` on success."""
        self._attempts += 1
        if destination.target is None:
            return await self._transfer_to(destination, self._relay)
        attempt = AttemptId(f'{self._incoming.request.call}-{self._attempts}')
        marked = dataclasses.replace(
            destination,
            extra_headers=(
                *destination.extra_headers,
                (CALL_HEADER, attempt),
            ),
        )
        return await self._send_to_target(marked, attempt)

    @property
    def was_vetoed(self) -> bool:
        """Tell whether the last attempt was stopped before its first byte.

        This happens when the call was cancelled, or when the target may no
        longer get requests, for example because the lease expired after the
        call was dispatched.
        """
        transfer = self._transfer
        return transfer is not None and transfer.progress is Progress.vetoed

    @property
    def was_malformed(self) -> bool:
        """Tell whether the last attempt got a malformed response."""
        transfer = self._transfer
        return transfer is not None and transfer.malformed is not None

    def cancel(self) -> None:
        """Cancel the attempt in flight and prevent further ones."""
        self._is_cancelled = True
        if self._transfer:
            self._transfer.cancel()

    async def _send_to_target(
        self, destination: Destination, attempt: AttemptId
    ) -> Loss | None:
        """Send to a target, and ignore a response to an earlier request."""
        echoing = self._context.echoing_targets
        must_echo = echoing.includes(destination.address)
        response = OwnResponse(self._relay, attempt, must_echo=must_echo)
        framing = self._context.framing
        loss = await self._transfer_to(
            destination,
            response,
            uses_kept_connection=must_echo
            and framing.keeps_connections(destination.address),
        )
        report_excess(
            response.body,
            self._context.metrics,
            self._context.events,
            attempt=attempt,
            target=destination.target,
        )
        if response.rejection:
            self._context.metrics.count(
                'responses_rejected', reason=response.rejection.value
            )
        stutter = find_stutter(response.rejection, response.body)
        if stutter:
            framing.apply_stutter(destination.address, stutter)
        elif loss is None:
            framing.apply_response(destination.address)
        if loss is None or response.rejection:
            echoing.record(destination.address, has_echoed=response.has_echoed)
        return loss

    async def _transfer_to(
        self,
        destination: Destination,
        sink: ResponseSink,
        *,
        uses_kept_connection: bool = True,
    ) -> Loss | None:
        transfer = Transfer(
            self._context.curl,
            dataclasses.replace(
                self._transfer_request(destination),
                uses_kept_connection=uses_kept_connection,
            ),
            sink,
            lambda: self._may_send(destination.target),
        )
        self._transfer = transfer
        self._relay.resume = transfer.resume
        loss = await transfer.run()
        report_malformed(
            transfer,
            self._context.metrics,
            self._context.events,
            call=self._incoming.request.call,
            peer=destination.address,
        )
        # The transfer of a refusal that is too long was aborted on purpose.
        return Loss.shed if self._relay.is_overfull else loss

    def _transfer_request(self, destination: Destination) -> TransferRequest:
        request = self._incoming.request
        now = self._context.clock.now()
        has_body = self._body.size or request.method in METHODS_WITH_BODY
        return TransferRequest(
            url=f'http://{destination.address}{destination.path}',
            method=request.method,
            headers=entry_request_headers(
                self._incoming.headers,
                request,
                now,
                destination.extra_headers,
            ),
            timeout=request.deadline - now,
            body=self._body.open_reader(self._resume_transfer)
            if has_body
            else None,
            body_size=self._body_size(),
            name=dict(destination.extra_headers).get(CALL_HEADER, request.call),
        )

    def _body_size(self) -> int:
        length = self._incoming.headers.get('Content-Length')
        if length:
            return int(length)
        return self._body.size if self._body.is_complete else -1

    def _resume_transfer(self) -> None:
        if self._transfer:
            self._transfer.resume()

    def _may_send(self, target: TargetId | None) -> bool:
        if self._is_cancelled:
            return False
        return target is None or self._context.entry.may_send(
            target,
            self._context.clock.now(),
        )
