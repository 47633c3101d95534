"""Forward calls to other entries."""

from typing import final

from turmericmast.call.call import Call, Loss
from turmericmast.web.body import RequestBody
from turmericmast.web.entrycontext import EntryContext
from turmericmast.web.parse import CLOCK_HEADER, HOPS_HEADER
from turmericmast.web.relay import Relay
from turmericmast.web.sending import Destination, IncomingRequest, Sender

MAX_FORWARD_ATTEMPTS = 3
"""Entries that are tried, as long as the request did not reach any."""


@final
class Forwarder:
    """Forwards one call to another entry and relays its response."""

    def __init__(
        self,
        context: EntryContext,
        incoming: IncomingRequest,
        body: RequestBody,
        relay: Relay,
        sender: Sender,
    ) -> None:
        """Prepare to forward ``incoming``; ``relay`` gets the response."""
        self._context = context
        self._incoming = incoming
        self._body = body
        self._relay = relay
        self._sender = sender

    async def forward(self, call: Call, addresses: tuple[str, ...]) -> bool:
        """Try addresses in turn; tell whether one responded completely.

        The next address is tried only if the request did not reach the last
        one, or was refused there because it has no target any more, and if its
        body can be sent again. The last refusal is the response then.
        """
        candidates = addresses[:MAX_FORWARD_ATTEMPTS]
        loss: Loss | None = Loss.never_sent
        for number, address in enumerate(candidates, start=1):
            loss = await self._forward_to(call, address)
            has_next = number < len(candidates) and self._body.can_replay
            if not (has_next and self._has_not_run(loss)):
                break
            call.record_failure(loss or Loss.shed)
        if loss:
            call.record_failure(loss)
        return loss is None

    def _has_not_run(self, loss: Loss | None) -> bool:
        """Tell whether the request certainly did not run at an entry."""
        is_refused = loss is None and self._relay.loss is Loss.shed
        return is_refused or loss in {Loss.never_sent, Loss.shed}

    async def _forward_to(self, call: Call, address: str) -> Loss | None:
        self._relay.discard()
        call.start_attempt()
        self._context.metrics.count('handed_on')
        timestamp = self._context.events.clock.tick().pack()
        hops = call.request.hops + 1
        path = self._incoming.start.path
        extra_headers = (
            (HOPS_HEADER, str(hops)),
            (CLOCK_HEADER, str(timestamp)),
        )
        loss = await self._sender.send(
            Destination(address, path, None, extra_headers)
        )
        if loss is None and not self._relay.is_delimited:
            return Loss.cut_short
        return loss
