"""The body of a response, and the bytes that arrive behind it."""

import enum
from typing import final

from turmericmast.web.receivedbytes import ReceivedBytes


@final
class BodyState(enum.Enum):
    """How much is known of a body; a metric label."""

    arriving = 'arriving'
    """Its end has not arrived, or cannot be known before the connection's."""
    whole = 'whole'
    """As many bytes as were announced have arrived."""


@final
class ResponseBody:
    """Follows a body of known length up to its end.

    A target may send more than one response to a request. What arrives behind
    the body belongs to no request.
    """

    def __init__(self) -> None:
        """Start before the head has arrived."""
        self.state = BodyState.arriving
        self.excess = 0
        """Bytes that were found behind the body.

        Lines that continue a header line count as well: curl joins them, which
        makes them shorter.
        """
        self._received: ReceivedBytes | None = None
        self._head_octets = 0
        self._length: int | None = None
        self._octets = 0

    def begin_request(self, received: ReceivedBytes) -> None:
        """Count what arrives on the connection from now on."""
        self._received = received

    def begin(self, head_octets: int, length: str | None) -> None:
        """Begin with the body, after all heads and their ``head_octets``.

        ``length`` is the text of the header that announces the length.
        """
        self._head_octets = head_octets
        if length and length.isdecimal():
            self._length = int(length)

    def judge(self, piece: bytes) -> BodyState:
        """Judge the body by the next piece, before it is passed on."""
        if self.state is BodyState.arriving and self._is_last(piece):
            self.excess = self._count_excess()
            self.state = BodyState.whole
        return self.state

    def accept(self, piece: bytes) -> None:
        """Note that a piece was passed on."""
        self._octets += len(piece)

    def _is_last(self, piece: bytes) -> bool:
        return self._octets + len(piece) == self._length

    def _count_excess(self) -> int:
        if self._received is None or self._length is None:
            return 0
        return self._received.beyond(self._head_octets + self._length)
