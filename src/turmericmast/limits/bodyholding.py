"""How much of a request body a process holds."""

import abc
from typing import final

STREAMED_OCTETS = 458_752
"""Bytes held at most of a body that is sent on as it arrives.

65,536 are buffered, 262,144 and one piece are queued for the target, and one
piece each waits in the streams of the client and of the target."""
COPIES = 2
"""Copies of a body while it is collected and put together."""


class BodyHolding(abc.ABC):
    """Tells what is held of a body of which so many bytes have arrived."""

    @abc.abstractmethod
    def octets(self, received: int) -> int:
        """Return the bytes that are held."""


@final
class StreamedBody(BodyHolding):
    """A body that is sent on as it arrives."""

    def octets(self, received: int) -> int:
        """Return the bytes that are held."""
        return min(received, STREAMED_OCTETS)


@final
class CollectedBody(BodyHolding):
    """A body that is kept until it is whole."""

    def octets(self, received: int) -> int:
        """Return the bytes that are held."""
        return received * COPIES
