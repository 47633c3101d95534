"""The heads of one response, read line by line as curl passes them on."""

from typing import final

from turmericmast.web.malformed import MalformedResponseError, quoted
from turmericmast.web.rawhead import RawHead, has_folded_line
from turmericmast.web.rejection import Rejection
from turmericmast.web.responsehead import ResponseHead, read_head
from turmericmast.web.responselimits import (
    HeadSize,
    OversizedError,
    OversizedPart,
)

_EMPTY_LINES = frozenset((b'\n', b'\r\n'))


@final
class HeadReading:
    """Reads interim heads and the final one; what follows is a trailer."""

    def __init__(self) -> None:
        """Start before the first line."""
        self.lines: list[str] = []
        """Lines of the last head, without their ends."""
        self.size = HeadSize()
        """Size of all heads."""
        self.is_seen = True
        """Whether all heads were seen before curl read them."""
        self.unseen = 0
        """Octets that curl has read with unseen heads and that are in no line.

        Folded lines make them more than those behind the heads."""
        self._has_ended = False
        self._raw_head: RawHead | None = None

    def begin_request(self, raw_head: RawHead | None) -> None:
        """Compare with ``raw_head``, ``None`` if that is not possible."""
        self._raw_head = raw_head

    def add(self, line: bytes) -> ResponseHead | None:
        """Add a line with its end; return the head that ends with it, if any.

        Raises:
            MalformedResponseError: if the head breaks the grammar.
            OversizedError: if the heads or trailers exceed a limit.

        """
        if not self.size.add(line):
            raise OversizedError(
                OversizedPart.trailers
                if self._has_ended
                else OversizedPart.head
            )
        if self._has_ended:
            return None
        if line in _EMPTY_LINES:
            return self._end_head()
        text = line.decode('latin-1').removesuffix('\n').removesuffix('\r')
        if text.startswith('\r'):
            # curl ends a head at each line that begins so.
            raise MalformedResponseError(
                Rejection.invalid_field, f'{quoted(text)} is no field'
            )
        self.lines.append(text)
        return None

    def explain_refusal(self) -> MalformedResponseError:
        """Return why curl has refused a head that has not ended."""
        lines = self._raw_head.lines() if self._raw_head else []
        try:
            read_head(lines or self.lines or [''])
        except MalformedResponseError as error:
            return error
        return MalformedResponseError(
            Rejection.unreadable_head, 'curl refuses the head'
        )

    def _end_head(self) -> ResponseHead:
        octets = self._raw_head.take() if self._raw_head else None
        self.is_seen &= octets is not None
        head = read_head(
            self.lines or [''], is_folded=has_folded_line(octets or b'')
        )
        # Another head follows an interim one, unless it is a part of that.
        self._has_ended = not head.is_interim or head.join is not None
        if self._has_ended:
            self._forget_raw_head()
        else:
            self.lines = []
        return head

    def _forget_raw_head(self) -> None:
        """Forget the octets, which may include a part of the body."""
        if self._raw_head and not self.is_seen:
            self.unseen = max(self._raw_head.consumed - self.size.octets, 0)
        self._raw_head = None
