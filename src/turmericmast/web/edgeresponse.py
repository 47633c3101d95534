"""Validation of a target's response before the caller receives any of it."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Loss
from turmericmast.web.headerformat import HeaderFormat, ResponseMetadata
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import ResponseHead, ResponseSink

MAX_BUFFERED_BYTES = 65_536
"""Bytes buffered of a response whose status is 300 or above.

A longer one can't be forwarded.
"""


@final
class EdgeResponse(ResponseSink):
    """Forwards a successful response and buffers any other one.

    A response that does not belong to the request, or that was altered on the
    way, is rejected.
    """

    def __init__(
        self,
        header_format: HeaderFormat,
        request_id: str,
        relay: Relay,
        claim: Callable[['EdgeResponse'], bool],
    ) -> None:
        """Receive a response to the request with ``request_id``.

        ``claim`` tells whether a successful response may be written to
        ``relay``: the response of a concurrent attempt may have been faster.
        """
        self._claim = claim
        self.octets = 0
        """Bytes of the body that were received."""
        self.is_superseded = False
        """Whether it succeeded, but too late.

        Another response was faster, or the caller has disconnected.
        """
        self._header_format = header_format
        self._request_id = request_id
        self._relay = relay
        self._head: ResponseHead | None = None
        self._metadata: ResponseMetadata | None = None
        self._is_forwarded = False
        self._is_invalid = False
        self._buffered: list[bytes] = []

    @property
    def load(self) -> LoadReport | None:
        """Return the load report in the headers, if there is one."""
        return self._metadata.load if self._metadata else None

    @property
    def is_misdirected(self) -> bool:
        """Tell whether a target with another id received the request."""
        return self._metadata is not None and self._metadata.is_misdirected

    def on_head(self, head: ResponseHead) -> bool:
        """Forward, buffer or reject the response; false ends the transfer."""
        metadata = self._header_format.read_response(head.status, head.headers)
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        id_matches = metadata.request_id == self._request_id
        is_unencoded = 'Content-Encoding' not in head.headers
        is_authentic = metadata.is_signed or not is_success
        if not (id_matches or metadata.is_not_run) or not (
            is_unencoded and is_authentic
        ):
            # It answers another request, or it is not what the target sent: a
            # successful response is signed and never encoded.
            self._is_invalid = True
            return False
        self._head = head
        self._metadata = metadata
        if not is_success:
            return True
        self._is_forwarded = self._claim(self)
        self.is_superseded = not self._is_forwarded
        return self._is_forwarded and self._relay.on_head(head)

    def on_chunk(self, chunk: bytes) -> bool:
        """Forward or buffer a part of the body; false to get it again later."""
        if self._is_forwarded:
            is_accepted = self._relay.on_chunk(chunk)
            self.octets += len(chunk) if is_accepted else 0
            return is_accepted
        self.octets += len(chunk)
        if self.octets <= MAX_BUFFERED_BYTES:
            self._buffered.append(chunk)
        return True

    def final_loss(self, loss: Loss | None) -> Loss | None:
        """Return how the attempt failed; ``loss`` is that of the transfer."""
        if loss is Loss.never_sent:
            return loss
        if self._is_invalid:
            return Loss.cut_short
        if self._metadata and self._metadata.is_not_run:
            return Loss.shed
        if loss is None and self._head is None:
            return Loss.cut_short
        if loss is None and self._is_failure:
            return Loss.failed
        return loss

    def forward_buffered(self) -> bool:
        """Write a buffered response to the relay; false if it is too long."""
        if self._head is None or self.octets > MAX_BUFFERED_BYTES:
            return False
        self._relay.on_head(self._head)
        self._relay.on_chunk(b''.join(self._buffered))
        return True

    @property
    def is_buffered(self) -> bool:
        """Tell whether a valid response was received but not forwarded."""
        return self._head is not None and not self._is_forwarded

    @property
    def _is_failure(self) -> bool:
        return self._head is not None and (
            self._head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )
