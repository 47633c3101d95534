"""Calls that go on to another entry."""

from typing import final

from turmericmast.call.call import Call, Loss
from turmericmast.web.body import Body
from turmericmast.web.desk import Desk
from turmericmast.web.parse import CLOCK, HOPS
from turmericmast.web.relay import Relay
from turmericmast.web.sending import Destination, Incoming, Sender

MAX_TRIES = 3
"""Entries that are tried while nothing was sent."""


@final
class HandingOn:
    """Hands one call to another entry, which answers in its place."""

    def __init__(
        self,
        desk: Desk,
        incoming: Incoming,
        body: Body,
        relay: Relay,
        sender: Sender,
    ) -> None:
        """Hand on ``incoming``; the answer goes to ``relay``."""
        self._desk = desk
        self._incoming = incoming
        self._body = body
        self._relay = relay
        self._sender = sender

    async def run(self, call: Call, addresses: tuple[str, ...]) -> bool:
        """Try addresses in turn; tell whether one gave a whole answer."""
        for address in addresses[:MAX_TRIES]:
            loss = await self._try(call, address)
            if loss is None:
                return True
            call.record_failure(loss)
            if loss is not Loss.never_sent or not self._body.can_replay:
                break
        return False

    async def _try(self, call: Call, address: str) -> Loss | None:
        self._relay.forget()
        call.start_attempt()
        self._desk.metrics.count('handed_on')
        stamp = self._desk.events.clock.tick().pack()
        hops = call.request.hops + 1
        path = self._incoming.start.path
        extra = ((HOPS, str(hops)), (CLOCK, str(stamp)))
        loss = await self._sender.send(Destination(address, path, None, extra))
        if loss is None and not self._relay.is_delimited:
            return Loss.cut_short
        return loss
