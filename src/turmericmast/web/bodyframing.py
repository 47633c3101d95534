"""Where the body of a response ends, decided by its head alone.

curl decides the same to know when a transfer is over. It passes on what frames
chunks instead of decoding it, and its result counts only if both agree.
"""

import abc
from typing import Self, final

from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.rejection import Rejection


class BodyFraming(abc.ABC):
    """Separates the body of one response from what frames it."""

    def __init__(self) -> None:
        """Start before the first octet."""
        self.parts = 1
        """Parts of the body that the last octets had."""
        self.has_excess = False
        """Whether there were octets behind the body, which were dropped."""
        self.unseen = 0
        """Octets behind an unseen head that curl has read together with it.

        curl passes all of them on at once. If it passes on fewer, the head was
        longer than the lines that curl made of it: some were folded.
        """

    @abc.abstractmethod
    def decode(self, octets: bytes) -> bytes:
        """Return the part of the body in the next octets.

        Raises:
            MalformedResponseError: if they break the grammar.
            OversizedError: if what frames the body exceeds a limit.

        """

    @property
    @abc.abstractmethod
    def is_complete(self) -> bool:
        """Tell whether the body may end here."""

    @abc.abstractmethod
    def fork(self) -> Self:
        """Return a copy, which decodes octets that may come once more."""

    def check_first(self, octets: bytes) -> None:
        """Check the octets that curl passes on first.

        Raises:
            MalformedResponseError: if lines of the head were folded.

        """
        if len(octets) < self.unseen:
            raise MalformedResponseError(
                Rejection.folded_field, 'curl has joined lines of the head'
            )
        self.unseen = 0


@final
class NoBody(BodyFraming):
    """The response ends with its head, whatever that says."""

    def decode(self, octets: bytes) -> bytes:
        """Refuse any octet."""
        raise MalformedResponseError(
            Rejection.disputed_end, 'curl reads a body where there is none'
        )

    def fork(self) -> Self:
        """Return the framing itself, which has no state."""
        return self

    @property
    def is_complete(self) -> bool:
        """Return true, unless octets that were read are in no line."""
        return not self.unseen


@final
class SizedBody(BodyFraming):
    """The head announces the length of the body."""

    def __init__(self, length: int) -> None:
        """Start before the first of ``length`` octets."""
        super().__init__()
        self._left = length

    def decode(self, octets: bytes) -> bytes:
        """Return the octets."""
        if len(octets) > self._left:
            raise MalformedResponseError(
                Rejection.disputed_end, 'curl reads beyond the length'
            )
        self._left -= len(octets)
        return octets

    def fork(self) -> Self:
        """Return a copy."""
        return type(self)(self._left)

    @property
    def is_complete(self) -> bool:
        """Tell whether all octets have come."""
        return not self._left


@final
class UnsizedBody(BodyFraming):
    """The body ends with its connection."""

    def decode(self, octets: bytes) -> bytes:
        """Return the octets."""
        self.check_first(octets)
        return octets

    def fork(self) -> Self:
        """Return the framing itself, since no octet changes it."""
        return self

    @property
    def is_complete(self) -> bool:
        """Return true, since the connection may end at any octet."""
        return not self.unseen
