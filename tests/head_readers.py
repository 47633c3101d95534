"""Readers of responses: those parts of an instance that receive them."""

import abc
import asyncio
import unittest.mock
from collections.abc import Sequence

from tests.joined_heads import NOT_RUN, OWN_ID, JoiningTarget, Received
from turmericmast.call.call import Loss
from turmericmast.ids import AttemptId, CallId, ServiceId
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.callecho import OwnResponse
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.peerheaders import Forwarding, PeerHeaders
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

TIMEOUT = 1.5
"""Seconds for one request; a response that is refused is refused at once."""
PARALLEL = 32
"""Requests that run at a time, each on a connection of its own."""


class Reader(abc.ABC):
    """Reads responses to the request ``r`` as a part of an instance does."""

    def __init__(self) -> None:
        """Prepare to receive one response."""
        self._connection = unittest.mock.Mock()
        self.relay = Relay(self._connection, 'GET')
        self._sink = self.make_sink()

    @abc.abstractmethod
    def make_sink(self) -> ResponseSink:
        """Return what receives the response."""

    @classmethod
    def adapt(cls, octets: bytes) -> bytes:
        """Return a response with the headers that this reader knows."""
        return octets

    async def read(self, curl: CurlClient, url: str) -> Received | Loss:
        """Send a request; return what a caller gets, or why it gets none."""
        request = TransferRequest(
            url, 'GET', (), TIMEOUT, None, 0, uses_kept_connection=False
        )
        transfer = Transfer(curl, request, self._sink, lambda: True)
        return self.result(await transfer.run())

    def result(self, loss: Loss | None) -> Received | Loss:
        """Return the response in the relay, or why there is none."""
        return loss or self._relayed()

    def _relayed(self) -> Received | Loss:
        passed = self.relay.head
        if not isinstance(passed, ResponseHead):
            return Loss.cut_short
        return Received(
            passed.status,
            passed.reason,
            frozenset(passed.headers.get_all()),
            self._body(),
        )

    def _body(self) -> bytes:
        written = self._connection.write.call_args_list
        return self.relay.buffered_body() + b''.join(
            call.args[0] for call in written
        )


class EdgeReader(Reader):
    """Reads the response of a target."""

    def header_format(self) -> HeaderFormat:
        """Return the headers of targets."""
        return PlatformHeaders()

    def make_sink(self) -> EdgeResponse:
        """Return the response of one attempt."""
        self.response = EdgeResponse(
            self.header_format(), 'r', self.relay, lambda _: True
        )
        return self.response

    def result(self, loss: Loss | None) -> Received | Loss:
        """Return the response that a caller gets if no other one comes."""
        final = self.response.final_loss(loss)
        if final in {None, Loss.failed, Loss.shed}:
            if self.response.is_buffered:
                self.response.forward_buffered()
            return self._relayed()
        return final or Loss.cut_short


class PeerReader(EdgeReader):
    """Reads the response of another instance to a forwarded request."""

    def header_format(self) -> HeaderFormat:
        """Return the headers of another instance."""
        forwarding = Forwarding(CallId('c'), 1, ServiceId('stock'))
        return PeerHeaders(PlatformHeaders(), 'r', forwarding)


class PeerErrorReader(PeerReader):
    """Reads errors that another instance generates itself."""

    @classmethod
    def adapt(cls, octets: bytes) -> bytes:
        """Name the forwarded request in the way of such an error."""
        own = b'Turmericmast-Refusal: c'
        if OWN_ID not in octets:
            return octets
        return octets.replace(OWN_ID, own).replace(b'200 OK', b'404 None')


class EntryReader(Reader):
    """Reads the response of a target that must send the id back."""

    must_echo = True

    def make_sink(self) -> OwnResponse:
        """Return the response to one attempt."""
        return OwnResponse(self.relay, AttemptId('r'), must_echo=self.must_echo)

    @classmethod
    def adapt(cls, octets: bytes) -> bytes:
        """Name the attempt."""
        return octets.replace(b'X-Request-Id', b'Turmericmast-Call').replace(
            NOT_RUN, b'Turmericmast-Ran: no'
        )


class FreshEntryReader(EntryReader):
    """Reads the first response of a target."""

    must_echo = False


class OlderTargetReader(FreshEntryReader):
    """Reads the response of a target that sends no id."""

    @classmethod
    def adapt(cls, octets: bytes) -> bytes:
        """Leave out the ids."""
        return (
            EntryReader.adapt(octets)
            .replace(b'Turmericmast-Call: q\r\n', b'')
            .replace(b'Turmericmast-Call: r\r\n', b'')
        )


READERS: list[type[Reader]] = [
    EdgeReader,
    PeerReader,
    PeerErrorReader,
    EntryReader,
    FreshEntryReader,
    OlderTargetReader,
]


async def read_all(
    kind: type[Reader], responses: Sequence[Sequence[bytes]], pause: float = 0
) -> list[Received | Loss]:
    """Return what a reader makes of responses that come in pieces."""
    limit = asyncio.Semaphore(PARALLEL)

    async def read(curl: CurlClient, url: str) -> Received | Loss:
        async with limit:
            return await kind().read(curl, url)

    async with JoiningTarget(responses, pause).run() as address:
        with CurlClient(metrics=Metrics()) as curl:
            return await asyncio.gather(
                *(
                    read(curl, f'http://{address}/{index}')
                    for index in range(len(responses))
                )
            )
