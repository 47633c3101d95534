"""Targets whose responses cannot be told from each other."""

import enum
import math
from typing import final

from turmericmast.ids import Seconds

FIRST_DOUBT = 10.0
"""Seconds of use without a stutter after which connections are kept again.

It doubles each time that the target stutters after that."""
MAX_DOUBT = 160.0
"""Longest such time; after as much use without a stutter it begins anew."""
MAX_ADDRESSES = 4096
"""Addresses that are remembered to have stuttered."""
MAX_GAP = 1.0
"""Seconds between two responses that count as use; longer ones count as this.

A target that gets no requests shows nothing."""


@final
class Stutter(enum.Enum):
    """What a target sent that answers no request; a metric label."""

    idle = 'idle'
    """Bytes on a connection that had no request."""
    excess = 'excess'
    """Bytes right after the end of a response."""
    other_request = 'other_request'
    """A response that names another request, or none."""
    joined_head = 'joined_head'
    """A head that consists of parts of two responses."""
    filled_body = 'filled_body'
    """A body whose rest came from another response."""


@final
class ConnectionUse(enum.Enum):
    """How many requests a connection may serve; the values are in events."""

    kept = 'kept'
    """Any number, one after the other."""
    single = 'single'
    """One: no late byte can be taken for the response to another request."""


@final
class Framing:
    """Whether the responses from one address can be told apart."""

    def __init__(self) -> None:
        """Begin with kept connections."""
        self.use = ConnectionUse.kept
        self._doubts = 0
        """Times that it stuttered while connections were kept."""
        self._clean = float(0)
        """Seconds of use since the last stutter."""
        self._used_at = math.inf

    @property
    def keeps_connections(self) -> bool:
        """Tell whether a connection may serve more than one request."""
        return self.use is ConnectionUse.kept

    @property
    def doubt(self) -> float:
        """Return the seconds of use without a stutter that end the doubt."""
        return min(FIRST_DOUBT * 2 ** (self._doubts - 1), MAX_DOUBT)

    def stutter(self, now: Seconds) -> bool:
        """Record bytes that answer no request; return whether the use changed.

        Several of one moment count as one.
        """
        self._clean = 0
        self._used_at = now
        if self.use is ConnectionUse.single:
            return False
        self.use = ConnectionUse.single
        # Only keeps the power small: the time is at its maximum long before.
        self._doubts = min(self._doubts + 1, 8)
        return True

    def respond(self, now: Seconds) -> bool:
        """Record a response to its request; return whether the use changed."""
        self._clean += min(max(now - self._used_at, 0), MAX_GAP)
        self._used_at = now
        if self.use is ConnectionUse.kept or self._clean < self.doubt:
            return False
        self.use = ConnectionUse.kept
        self._clean = 0
        return True

    @property
    def is_forgotten(self) -> bool:
        """Tell whether nothing speaks against the target any more."""
        return self.keeps_connections and self._clean >= MAX_DOUBT


@final
class Framings:
    """The addresses that stuttered; each instance learns of them by itself.

    A target that starts again at its address is doubted as before.
    """

    def __init__(self) -> None:
        """Begin without any."""
        self._framing_by_address: dict[str, Framing] = {}

    def keeps_connections(self, address: str) -> bool:
        """Tell whether a connection to an address may serve more requests."""
        framing = self._framing_by_address.get(address)
        return framing is None or framing.keeps_connections

    def doubted(self) -> int:
        """Return how many addresses get a new connection for each request."""
        return sum(
            not framing.keeps_connections
            for framing in self._framing_by_address.values()
        )

    def stutter(self, address: str, now: Seconds) -> Framing | None:
        """Record bytes that answer no request.

        Return the framing of the address if its use has changed.
        """
        framing = self._framing_by_address.pop(address, None) or Framing()
        self._framing_by_address[address] = framing
        if len(self._framing_by_address) > MAX_ADDRESSES:
            self._framing_by_address.pop(next(iter(self._framing_by_address)))
        return framing if framing.stutter(now) else None

    def respond(self, address: str, now: Seconds) -> Framing | None:
        """Record a response to its request.

        Return the framing of the address if its use has changed.
        """
        framing = self._framing_by_address.get(address)
        if framing is None:
            return None
        has_changed = framing.respond(now)
        if framing.is_forgotten:
            self._framing_by_address.pop(address)
        return framing if has_changed else None
