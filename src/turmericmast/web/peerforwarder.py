"""Forwards one request to another instance that reaches the targets."""

from collections.abc import Callable
from types import MappingProxyType
from typing import final

from turmericmast.call.call import Call, Loss
from turmericmast.call.triedtargets import TriedTargets
from turmericmast.cluster.records import EdgeRecord
from turmericmast.edge.peers import PeerOutcome
from turmericmast.ids import InstanceId, Seconds
from turmericmast.web.body import RequestBody
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.excessreport import report_excess
from turmericmast.web.peerheaders import Forwarding, PeerHeaders
from turmericmast.web.rejectionreport import report_malformed
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import Progress, Transfer

_OUTCOME_BY_LOSS = MappingProxyType(
    {
        None: PeerOutcome.answered,
        Loss.failed: PeerOutcome.answered,
        Loss.shed: PeerOutcome.refused,
        Loss.never_sent: PeerOutcome.unreached,
    }
)


def _always() -> bool:
    return True


@final
class PeerForwarder:
    """Sends a request to one instance after the other until one serves it.

    A request that another instance has forwarded is not forwarded again.
    """

    def __init__(
        self,
        context: EdgeContext,
        incoming: EdgeRequest,
        call: Call,
        body: RequestBody,
        tried_targets: TriedTargets,
    ) -> None:
        """Forward ``incoming``, whose attempts ``call`` counts.

        The other instances leave out ``tried_targets``, as far as they were
        reached, and add to them.
        """
        self._context = context
        self._incoming = incoming
        self._call = call
        self._body = body
        self._tried_targets = tried_targets
        self._peers = context.edge.peers
        self._tried: set[InstanceId] = set()
        self._chosen: EdgeRecord | None = None
        self._transfer: Transfer | None = None

    @property
    def peer(self) -> InstanceId:
        """Return the instance that was found, empty if there is none."""
        return self._chosen.instance if self._chosen else InstanceId('')

    def find_peer(self) -> bool:
        """Choose the instance to forward to; tell whether there is one."""
        if self._incoming.forwarding or not self._has_target_left():
            return False
        self._chosen = self._peers.choose(
            self._incoming.pool.service,
            self._incoming.home_regions,
            self._tried,
            self._context.clock.now(),
            is_repeat=bool(self._tried_targets.reached),
        )
        return self._chosen is not None

    def make_response(
        self, relay: Relay, claim: Callable[[EdgeResponse], bool]
    ) -> EdgeResponse:
        """Return the receiver of what the instance sends back."""
        return EdgeResponse(
            self._header_format(), self._incoming.request_id, relay, claim
        )

    async def forward(
        self,
        response: EdgeResponse,
        is_permitted: Callable[[], bool] = _always,
    ) -> Loss | None:
        """Send the request to the instance found; return how that failed.

        Nothing is sent unless ``is_permitted`` agrees right before.

        Raises:
            RuntimeError: if ``find_peer`` has not found an instance.

        """
        peer = self._chosen
        if peer is None:
            raise RuntimeError('call find_peer() before forward()')
        self._tried.add(peer.instance)
        self._call.start_attempt()
        self._peers.begin(peer.instance, self._context.clock.now())
        request = self._incoming.peer_request(
            peer,
            self._body,
            self.resume,
            Seconds(self._call.request.deadline - self._context.clock.now()),
            self._header_format(),
        )
        transfer = Transfer(self._context.curl, request, response, is_permitted)
        self._transfer = transfer
        loss = response.final_loss(await transfer.run())
        report_excess(
            response.body,
            self._context.metrics,
            self._context.events,
            request=response.request_id,
            peer=peer.instance,
            status=response.status,
        )
        report_malformed(
            transfer,
            self._context.metrics,
            self._context.events,
            request=response.request_id,
            peer=peer.instance,
        )
        self._peers.end(
            peer.instance,
            self._incoming.pool.service,
            PeerOutcome.withdrawn
            if transfer.progress is Progress.vetoed
            else self._outcome(loss),
            self._context.clock.now(),
        )
        self._tried_targets.add_reached(response.tried_targets)
        self._context.metrics.count(
            'forwarded', outcome=loss.value if loss else 'answered'
        )
        return loss

    def resume(self) -> None:
        """Resume a transfer that waited for the caller or the body."""
        if self._transfer:
            self._transfer.resume()

    def cancel(self) -> None:
        """Cancel the transfer, which tells the other instance."""
        if self._transfer:
            self._transfer.cancel()

    def _has_target_left(self) -> bool:
        """Tell whether some target has certainly not got the request."""
        reached = self._tried_targets.reached
        left = self._incoming.pool.permitted_targets(
            self._incoming.requirements(reached)
        )
        return not reached or any(True for _ in left)

    def _outcome(self, loss: Loss | None) -> PeerOutcome:
        if loss is Loss.shed and self._tried_targets.reached:
            return PeerOutcome.declined
        return _OUTCOME_BY_LOSS.get(loss, PeerOutcome.failed)

    def _header_format(self) -> PeerHeaders:
        request = self._call.request
        forwarding = Forwarding(
            request.call,
            self._call.attempts_left,
            request.service,
            self._tried_targets.reached,
        )
        return PeerHeaders(
            self._context.header_format, self._incoming.request_id, forwarding
        )
