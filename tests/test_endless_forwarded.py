"""Instances that answer a forwarded request with bytes without end."""

import asyncio
import unittest.mock
from typing import Any

from parameterized import parameterized

from tests.edge_samples import instance
from tests.test_endless_answers import (
    CHUNKED,
    MOST_BYTES,
    SIGNED,
    TIMEOUT,
    EndlessTarget,
)
from turmericmast.call.call import Loss
from turmericmast.call.triedtargets import TriedTargets
from turmericmast.clock import SystemClock
from turmericmast.edge.peers import PeerOutcome
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.body import RequestBody
from turmericmast.web.curl import CurlClient
from turmericmast.web.peerforwarder import PeerForwarder
from turmericmast.web.relay import Relay
from turmericmast.web.responselimits import OversizedPart
from turmericmast.web.transfer import TransferRequest

STREAM_SECONDS = 0.3
"""Seconds left to a request whose response goes on to its caller."""
REFUSED = b'Turmericmast-Refusal: c\r\nTurmericmast-Ran: '
ENDLESS = [
    (
        'head',
        b'HTTP/1.1 200 OK\r\n',
        b'A: b\r\n',
        Loss.connection_lost,
        PeerOutcome.failed,
        OversizedPart.head,
    ),
    (
        'interim_heads',
        b'',
        b'HTTP/1.1 102 P\r\n\r\n',
        Loss.connection_lost,
        PeerOutcome.failed,
        OversizedPart.head,
    ),
    (
        'trailers',
        SIGNED + CHUNKED + b'0\r\n',
        b'A: b\r\n',
        Loss.cut_short,
        PeerOutcome.failed,
        OversizedPart.trailers,
    ),
    (
        'extension',
        SIGNED + CHUNKED + b'5;',
        b'a',
        Loss.cut_short,
        PeerOutcome.failed,
        OversizedPart.framing,
    ),
    (
        'own_failure',
        b'HTTP/1.1 502 B\r\n' + REFUSED + b'unknown\r\n' + CHUNKED,
        b'1\r\na\r\n',
        Loss.failed,
        PeerOutcome.answered,
        None,
    ),
    (
        'own_refusal',
        b'HTTP/1.1 503 B\r\n' + REFUSED + b'no\r\n\r\n',
        b'a',
        Loss.shed,
        PeerOutcome.refused,
        None,
    ),
]
"""Bytes once, bytes again and again, how the request fails, what is noted of
the instance, and what is over its limit."""


class EndlessPeerTest(unittest.IsolatedAsyncioTestCase):
    """A forwarded request ends, and closes the connection."""

    # Guards against an instance that keeps what another one sends without
    # end, since its answers are read by other headers than those of a target.
    @parameterized.expand(ENDLESS)
    async def test_part_over_its_limit(
        self,
        _name: str,
        once: bytes,
        again: bytes,
        loss: Loss,
        outcome: PeerOutcome,
        part: OversizedPart | None,
    ) -> None:
        peer = EndlessTarget(once, again)
        context = _context()
        connection = unittest.mock.Mock()
        found = await _forward(peer, context, connection, TIMEOUT)
        self.assertIs(found, loss)
        self.assertIs(context.edge.peers.end.call_args.args[2], outcome)
        key = 'responses_oversized', (('part', part and part.value),)
        self.assertEqual(context.metrics.count_by_name[key], int(bool(part)))
        self.assertFalse(connection.method_calls)
        self.assertLess(peer.sent_bytes, MOST_BYTES)

    # Guards against a body that outlives the deadline of its request.
    async def test_body_ends_at_the_deadline(self) -> None:
        peer = EndlessTarget(SIGNED + b'X-Request-Id: r\r\n\r\n', b'a')
        context = _context()
        connection = unittest.mock.Mock()
        found = await _forward(peer, context, connection, STREAM_SECONDS)
        self.assertIs(found, Loss.timed_out)
        start = connection.write_headers.call_args.args[0]
        self.assertEqual(start.code, 200)


def _context() -> Any:
    context = unittest.mock.Mock(
        clock=SystemClock(),
        header_format=PlatformHeaders(),
        metrics=Metrics(),
    )
    context.edge.peers.choose.return_value = instance('peer')
    return context


async def _forward(
    peer: EndlessTarget, context: Any, connection: Any, timeout: float
) -> Loss | None:
    """Forward a request; return how it fails, once its connection closes."""
    incoming = unittest.mock.Mock(forwarding=None, request_id='r')
    call = unittest.mock.Mock(attempts_left=1)
    call.request.call = 'c'
    call.request.deadline = context.clock.now() + timeout
    forwarder = PeerForwarder(
        context, incoming, call, RequestBody(), TriedTargets(())
    )
    relay = Relay(connection, 'GET')
    async with peer.run() as address:
        with CurlClient(metrics=context.metrics) as curl:
            context.curl = curl
            incoming.peer_request.return_value = TransferRequest(
                f'http://{address}/', 'GET', (), timeout, None, 0
            )
            forwarder.find_peer()
            response = forwarder.make_response(relay, lambda _: True)
            loss = await asyncio.wait_for(
                forwarder.forward(response), TIMEOUT / 2
            )
            await asyncio.wait_for(peer.is_closed.wait(), 1)
    return loss
