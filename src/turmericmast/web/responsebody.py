"""The body of a response, and the bytes that arrive behind it."""

import enum
from typing import final

from turmericmast.web.receivedbytes import ReceivedBytes
from turmericmast.web.statuslines import RepeatedHeads, StatusLines

SETTLING_SECONDS = 0.02
"""Seconds in which bytes behind a body in doubt may arrive.

The rest of a response that a target has begun to write follows within a
round trip in a region."""


@final
class BodyState(enum.Enum):
    """How much is known of a body; a metric label."""

    arriving = 'arriving'
    """Its end has not arrived, or cannot be known before the connection's."""
    settling = 'settling'
    """As many bytes as were announced have arrived, but its end isn't passed on
    yet: it may be in doubt, or its connection has to be closed."""
    whole = 'whole'
    """It is taken for the whole body of one response."""
    filled = 'filled'
    """It was cut short, and filled up by another response."""


@final
class ResponseBody:
    """Tells whether a body is that of one response.

    A target may send more than one response to a request. What arrives behind
    the body belongs to no request, and the body may still be whole. It is in
    doubt if it may contain the status line of another response: with bytes
    behind it, it was filled up; without, it quotes a response. Behind a body
    without a known length there is nothing, so that only the head of a second
    response to the same request tells that it is none of this body.
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
        self._status_lines = StatusLines()
        self._repeated_heads = RepeatedHeads('')
        self._ends_in_doubt = False
        self._is_head_seen = True

    @property
    def is_doubtful(self) -> bool:
        """Tell whether the pieces so far may be of two responses."""
        return self._status_lines.is_possible()

    @property
    def is_filled(self) -> bool:
        """Tell whether the body was cut short and filled up."""
        return self.state is BodyState.filled

    @property
    def settling_seconds(self) -> float:
        """Return for how many seconds the body has to settle."""
        return SETTLING_SECONDS if self._ends_in_doubt else 0

    @property
    def has_unread_excess(self) -> bool:
        """Tell whether the connection still holds bytes behind the body.

        curl itself closes a connection on which it has read such bytes.
        """
        if self._received is None or not self.excess:
            return False
        return self._received.has_unread

    def begin_request(
        self, received: ReceivedBytes | None, request_id: str = ''
    ) -> None:
        """Note that the request with ``request_id`` is about to be sent.

        ``received`` counts what arrives on its connection, if that is known.
        """
        self._received = received
        self._repeated_heads = RepeatedHeads(request_id)

    def begin(
        self, head_octets: int, length: str | None, *, is_head_seen: bool = True
    ) -> None:
        """Begin with the body, after all heads and their ``head_octets``.

        ``length`` is the text of the header that announces the length. Unless
        ``is_head_seen``, bytes that seem to be behind the body may be those of
        folded lines.
        """
        self._head_octets = head_octets
        if length and length.isdecimal():
            self._length = int(length)
        self._is_head_seen = is_head_seen

    def judge(self, piece: bytes) -> BodyState:
        """Judge the body by the next piece, before it is passed on.

        While it is settling, the piece has to wait for ``settle``.
        """
        if self._length is None and self._repeated_heads.are_found(piece):
            self.state = BodyState.filled
        elif self.state is BodyState.arriving and self._is_last(piece):
            self._judge_end(piece)
        elif self.state is BodyState.settling:
            self.excess = self._count_excess()
        if self.state is BodyState.settling and self._was_filled:
            self.state = BodyState.filled
        return self.state

    def settle(self) -> None:
        """Decide, after ``settling_seconds``, whether the body is whole."""
        if self.state is BodyState.settling:
            self.excess = self._count_excess()
            self.state = (
                BodyState.filled if self._was_filled else BodyState.whole
            )

    def accept(self, piece: bytes) -> None:
        """Note that a piece was passed on."""
        self._octets += len(piece)
        if self._length is None:
            self._repeated_heads.add(piece)
        elif self.state is BodyState.arriving:
            self._status_lines.add(piece)

    def _judge_end(self, piece: bytes) -> None:
        self.excess = self._count_excess()
        may_be_folded = self.excess > 0 and not self._is_head_seen
        self._ends_in_doubt = may_be_folded or (
            self._status_lines.is_possible(piece)
        )
        is_settling = self._ends_in_doubt or self.has_unread_excess
        self.state = BodyState.settling if is_settling else BodyState.whole

    @property
    def _was_filled(self) -> bool:
        return self._ends_in_doubt and self.excess > 0

    def _is_last(self, piece: bytes) -> bool:
        return self._octets + len(piece) == self._length

    def _count_excess(self) -> int:
        if self._received is None or self._length is None:
            return 0
        return self._received.beyond(self._head_octets + self._length)
