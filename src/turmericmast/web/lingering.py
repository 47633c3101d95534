"""Connections that are used no more, but whose peer may still be writing.

A socket that is closed with unread bytes, or that gets bytes after that, resets
the connection. The peer may take this for a failure of the response before,
which has arrived whole.
"""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from types import TracebackType
from typing import Self, final

from turmericmast.web.connections import Descriptor, borrowed_socket

MAX_LINGER_SECONDS = 2.0
"""Seconds after which a connection is closed though its peer goes on."""
MAX_QUIET_SECONDS = 0.5
"""Seconds without bytes after which a connection is closed."""
MAX_LINGER_BYTES = 1_048_576
"""Bytes that are read and dropped before a connection is closed."""
MAX_DUPLICATES = 256
"""Descriptors that are duplicated at a time."""
SWEEP_INTERVAL = 0.02
"""Seconds between two looks at all connections, while there are any."""
READ_BYTES = 65_536
"""Bytes that are read of one connection in a sweep."""


@final
class Duplicate:
    """A second descriptor of a connection, whose first one belongs to curl.

    The connection stays open until both are closed.
    """

    def __init__(self, original: Descriptor) -> None:
        """Duplicate a descriptor.

        Raises:
            OSError: if the process has no descriptor left.

        """
        # It is non-blocking like the first one.
        self._descriptor = os.dup(original)
        self.on_input: Callable[[int], None] = _ignore_input
        """Called once with the number of the first bytes that are dropped."""
        self._dropped = 0
        """Bytes that were read and dropped."""
        self._ends_at = float(0)
        self._quiet_at = float(0)
        """When the connection ends if nothing more comes."""

    def begin(self, now: float) -> None:
        """Begin to drop what comes."""
        self._ends_at = now + MAX_LINGER_SECONDS
        self._quiet_at = now + MAX_QUIET_SECONDS

    def drop_input(self, now: float) -> bool:
        """Read and drop what has come; return whether to go on."""
        try:
            octets = os.read(self._descriptor, READ_BYTES)
        except BlockingIOError:
            return now < min(self._ends_at, self._quiet_at)
        except OSError:
            return False
        if octets and not self._dropped:
            self.on_input(len(octets))
        self._dropped += len(octets)
        self._quiet_at = now + MAX_QUIET_SECONDS
        is_within_limits = self._dropped <= MAX_LINGER_BYTES
        return bool(octets) and is_within_limits and now < self._ends_at

    def stop_sending(self) -> None:
        """Tell the peer that nothing more is sent to it."""
        self._shut_down(socket.SHUT_WR)

    def end(self) -> None:
        """End the connection, even if curl has not closed its descriptor."""
        self._shut_down(socket.SHUT_RDWR)
        self.close()

    def close(self) -> None:
        """Close this descriptor."""
        os.close(self._descriptor)

    def _shut_down(self, direction: int) -> None:
        # It fails if the peer has already reset the connection.
        with (
            contextlib.suppress(OSError),
            borrowed_socket(self._descriptor) as borrowed,
        ):
            borrowed.shutdown(direction)


@final
class Lingering:
    """Reads and drops what comes on connections that are used no more.

    Time, bytes and number of connections are limited; beyond the limits they
    are closed at once. A timer runs only while there are any.
    """

    def __init__(self) -> None:
        """Begin without connections."""
        self.max_duplicates = MAX_DUPLICATES
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._open: set[Duplicate] = set()
        self._lingering: set[Duplicate] = set()

    def __enter__(self) -> Self:
        """Return the owner of the duplicates."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all connections."""
        if self._timer:
            self._timer.cancel()
        for duplicate in self._open:
            duplicate.end()
        self._open.clear()
        self._lingering.clear()

    def __len__(self) -> int:
        """Return the number of duplicates."""
        return len(self._open)

    def duplicate(self, descriptor: Descriptor) -> Duplicate | None:
        """Return a duplicate, ``None`` if there are too many."""
        if len(self._open) >= self.max_duplicates:
            return None
        try:
            duplicate = Duplicate(descriptor)
        except OSError:
            return None
        self._open.add(duplicate)
        return duplicate

    def release(self, duplicate: Duplicate) -> None:
        """Close a duplicate; the connection is as curl leaves it."""
        self._open.discard(duplicate)
        duplicate.close()

    def linger(
        self, duplicate: Duplicate, on_input: Callable[[int], None]
    ) -> None:
        """Drop what comes until the peer is silent or ends the connection.

        ``on_input`` is called once with the number of the first bytes.
        """
        duplicate.on_input = on_input
        duplicate.begin(self._loop.time())
        self._lingering.add(duplicate)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._lingering:
            self._timer = self._loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        now = self._loop.time()
        over = [
            duplicate
            for duplicate in tuple(self._lingering)
            if not duplicate.drop_input(now)
        ]
        self._lingering.difference_update(over)
        self._open.difference_update(over)
        for duplicate in over:
            duplicate.end()
        self._schedule()


def _ignore_input(octets: int) -> None:
    """Do nothing; the default until a callback is set."""
