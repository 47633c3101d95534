"""Check an answer of a target before any of it goes to the caller."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Loss
from turmericmast.web.headerformat import HeaderFormat, ResponseMetadata
from turmericmast.web.relay import Relay
from turmericmast.web.transfer import Head, Sink

MAX_BUFFERED_BYTES = 65_536
"""Octets kept of an answer that is no success."""


@final
class EdgeResponse(Sink):
    """Passes a good answer on, and keeps any other one back."""

    def __init__(
        self,
        header_format: HeaderFormat,
        request_id: str,
        relay: Relay,
        claim: Callable[['EdgeResponse'], bool],
    ) -> None:
        """Take the answer to the request with an id.

        ``claim`` tells whether a good answer may go to the caller; another
        one may have been faster.
        """
        self._claim = claim
        self.octets = 0
        self.is_superseded = False
        """Whether it was good, but another answer was faster."""
        self._header_format = header_format
        self._request_id = request_id
        self._relay = relay
        self._head: Head | None = None
        self._metadata: ResponseMetadata | None = None
        self._is_forwarded = False
        self._is_invalid = False
        self._buffered: list[bytes] = []

    @property
    def load(self) -> LoadReport | None:
        """Return the load that the target told."""
        return self._metadata.load if self._metadata else None

    @property
    def is_misdirected(self) -> bool:
        """Tell whether another target answered in its place."""
        return self._metadata is not None and self._metadata.is_misdirected

    def on_head(self, head: Head) -> bool:
        """Decide what becomes of the answer."""
        metadata = self._header_format.read_response(head.status, head.headers)
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        id_matches = metadata.request_id == self._request_id
        is_unencoded = 'Content-Encoding' not in head.headers
        is_authentic = metadata.is_signed or not is_success
        if not (id_matches or metadata.is_not_run) or not (
            is_unencoded and is_authentic
        ):
            # Not the answer to this request, or not what the target made.
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
        """Take octets of the body."""
        if self._is_forwarded:
            taken = self._relay.on_chunk(chunk)
            self.octets += len(chunk) if taken else 0
            return taken
        self.octets += len(chunk)
        if self.octets <= MAX_BUFFERED_BYTES:
            self._buffered.append(chunk)
        return True

    def final_loss(self, loss: Loss | None) -> Loss | None:
        """Return how the attempt failed, given how its transfer ended."""
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
        """Give the caller a whole answer that says the target failed."""
        if self._head is None or self.octets > MAX_BUFFERED_BYTES:
            return False
        self._relay.on_head(self._head)
        self._relay.on_chunk(b''.join(self._buffered))
        return True

    @property
    def is_buffered(self) -> bool:
        """Tell whether the target answered for good, though no success."""
        return self._head is not None and not self._is_forwarded

    @property
    def _is_failure(self) -> bool:
        return self._head is not None and (
            self._head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )
