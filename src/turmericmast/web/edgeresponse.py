"""Validation of a target's response before the caller receives any of it."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.balance.statement import TargetStatement
from turmericmast.call.call import Loss
from turmericmast.ids import TargetId
from turmericmast.web.headerformat import HeaderFormat, ResponseMetadata
from turmericmast.web.rejection import Rejection
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.responsebody import ResponseBody
from turmericmast.web.responsehead import ResponseHead
from turmericmast.web.transfer import ResponseSink

MAX_BUFFERED_BYTES = 65_536
"""Bytes buffered of a response whose status is 300 or above.

A longer one with a status below 500 is forwarded as it arrives. One with a
status of 500 or above is cut off, since another target may succeed.
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
        self.request_id = request_id
        self._relay = relay
        self._head: ResponseHead | None = None
        self._metadata: ResponseMetadata | None = None
        self._is_forwarded = False
        self.on_statement: Callable[[int, TargetStatement], None] = (
            _ignore_statement
        )
        """Called with the status and the statement of the target's response."""
        self.rejection: Rejection | None = None
        self.status = 0
        """Status of the head, rejected or not; 0 if none has arrived."""
        self.named_request = ''
        """Id of the request that the response names."""
        self._buffered: list[bytes] = []
        self.body = ResponseBody()
        """What is known of the body."""

    @property
    def load(self) -> LoadReport | None:
        """Return the load report in the headers, if there is one."""
        return self._metadata.load if self._metadata else None

    @property
    def is_misdirected(self) -> bool:
        """Tell whether a target with another id received the request."""
        return self._metadata is not None and self._metadata.is_misdirected

    @property
    def has_reached_target(self) -> bool:
        """Tell whether a target may have got the request."""
        return self._metadata is None or self._metadata.has_reached_target

    @property
    def tried_targets(self) -> tuple[TargetId, ...]:
        """Return the targets that another instance has tried."""
        return self._metadata.tried if self._metadata else ()

    def on_body(self, body: ResponseBody) -> None:
        """Keep what becomes known of the body."""
        self.body = body

    def on_head(self, head: ResponseHead) -> bool:
        """Forward, buffer or reject the response; false ends the transfer."""
        metadata = self._header_format.read_response(head.status, head.certain)
        self.status = head.status
        self.named_request = metadata.request_id
        self.rejection = self._find_rejection(head, metadata)
        if self.rejection:
            return False
        self._head = head
        self._metadata = metadata
        if not metadata.is_misdirected:
            self.on_statement(head.status, metadata.statement)
        if not head.is_success:
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
        self._buffered.append(chunk)
        if self.octets > MAX_BUFFERED_BYTES and not self._is_retryable:
            self._is_forwarded = self._claim(self)
            self.is_superseded = not self._is_forwarded
            if self._is_forwarded:
                self._forward_buffer()
        return True

    @property
    def is_overfull(self) -> bool:
        """Tell whether the response can be neither buffered nor forwarded."""
        return not self._is_forwarded and self.octets > MAX_BUFFERED_BYTES

    @property
    def is_foreign(self) -> bool:
        """Tell whether the response was rejected."""
        return self.rejection is not None

    def final_loss(self, loss: Loss | None) -> Loss | None:
        """Return how the attempt failed; ``loss`` is that of the transfer.

        What a malformed response promises does not count.
        """
        if self.is_malformed or loss is Loss.never_sent:
            return loss
        if self.rejection:
            return Loss.cut_short
        if self._metadata and self._metadata.is_not_run:
            return Loss.shed
        if loss is None and self._head is None:
            return Loss.cut_short
        if self._is_failure and (loss is None or self.is_overfull):
            return Loss.failed
        return loss

    def forward_buffered(self) -> bool:
        """Write a buffered response to the relay.

        Return false if it is too long, or if another response is written.
        """
        if not self.is_deliverable or not self._claim(self):
            return False
        self._is_forwarded = True
        self._forward_buffer()
        return True

    def release(self) -> None:
        """Let another response take the place of one that failed.

        One that is being streamed stays.
        """
        if self._is_forwarded and not self.is_streamed:
            self._is_forwarded = False
            self._relay.discard()

    @property
    def is_forwarded(self) -> bool:
        """Tell whether the caller gets this response and no other one."""
        return self._is_forwarded

    @property
    def is_streamed(self) -> bool:
        """Tell whether the caller has got a part of it."""
        return self._is_forwarded and (
            self._relay.state is RelayState.streaming
        )

    @property
    def is_deliverable(self) -> bool:
        """Tell whether its head and all that came of its body are kept."""
        return self._head is not None and self.octets <= MAX_BUFFERED_BYTES

    @property
    def is_buffered(self) -> bool:
        """Tell whether a valid response was received but not forwarded."""
        return self._head is not None and not self._is_forwarded

    def _find_rejection(
        self, head: ResponseHead, metadata: ResponseMetadata
    ) -> Rejection | None:
        if self._is_joined(head, metadata):
            return Rejection.joined_head
        # A target may send an earlier response once more, refusals included.
        if metadata.request_id != self.request_id:
            return Rejection.other_request
        if 'Content-Encoding' in head.headers:
            return Rejection.encoded
        if head.is_success and not metadata.is_signed:
            return Rejection.unsigned
        return None

    def _is_joined(
        self, head: ResponseHead, metadata: ResponseMetadata
    ) -> bool:
        """Tell whether id, signature, promise or length may not be its own."""
        if head.join is None:
            return False
        doubtful = self._header_format.read_response(
            head.status, head.join.doubtful
        )
        if metadata.request_id != self.request_id or doubtful.request_id:
            return True
        if doubtful.is_signed or doubtful.is_not_run or head.is_interim:
            return True
        return head.is_success and head.join.has_doubtful_length

    def _forward_buffer(self) -> None:
        if self._head:
            self._relay.on_head(self._head)
            self._relay.on_chunk(b''.join(self._buffered))
        self._buffered = []

    @property
    def _is_retryable(self) -> bool:
        is_not_run = self._metadata is not None and self._metadata.is_not_run
        return self._is_failure or is_not_run

    @property
    def _is_failure(self) -> bool:
        return self._head is not None and (
            self._head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )


def _ignore_statement(status: int, statement: TargetStatement) -> None:
    """Do nothing; the default until a callback is set."""
