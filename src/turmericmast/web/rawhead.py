"""Heads as they arrive, before curl joins the lines that are folded."""

import re
import socket
from typing import final

from turmericmast.web.connections import Descriptor
from turmericmast.web.receivedbytes import ReceivedBytes

PEEK_BYTES = 4096
"""Bytes that are looked at; few heads are longer."""
_HEAD_END = re.compile(rb'\n\r?\n')
_CONTINUATION = re.compile(rb'\n[ \t]')


@final
class RawHead:
    """Looks at the bytes of the heads of one response before curl reads them.

    Some versions of curl join a folded line with the one before, so that the
    lines that curl passes on do not show it. A head is unseen if it arrives
    while curl reads, between two looks.
    """

    def __init__(self, descriptor: Descriptor, received: ReceivedBytes) -> None:
        """Watch a connection; ``received`` counts what arrives on it."""
        self.descriptor = descriptor
        self._received = received
        self._octets = b''
        """The bytes from the first one of the next head."""
        self._looked_at = 0
        """Bytes of the response that were looked at."""
        self._has_gap = False

    def look(self) -> None:
        """Look at the bytes that wait, before curl reads some of them."""
        if self._has_gap:
            return
        waiting = _peek(self.descriptor)
        if not waiting:
            return
        if self._looked_at:
            self._has_gap = self._received.consumed != self._looked_at
        else:
            # The first bytes may have been read at once, after the request.
            self._has_gap = not waiting.startswith(b'HTTP'[: len(waiting)])
        self._octets += waiting
        self._looked_at += len(waiting)

    def take(self) -> bytes | None:
        """Return the head that curl has passed on, ``None`` if unseen."""
        end = _HEAD_END.search(self._octets)
        if end is None or self._has_gap:
            self._has_gap = True
            return None
        octets = self._octets[: end.end()]
        self._octets = self._octets[end.end() :]
        return octets

    @property
    def consumed(self) -> int:
        """Return how many bytes of the response curl has read."""
        return self._received.consumed

    def lines(self) -> list[str]:
        """Return the lines so far of a head that curl has refused."""
        if self._has_gap:
            return []
        octets = _HEAD_END.split(self._octets, 1)[0]
        return [
            line.removesuffix('\r')
            for line in octets.decode('latin-1').split('\n')
        ]


def has_folded_line(octets: bytes) -> bool:
    """Tell whether a line of a head continues the one before."""
    return _CONTINUATION.search(octets) is not None


def _peek(descriptor: Descriptor) -> bytes:
    """Return the bytes that wait on a connection, without reading them."""
    # This runs for each response, see ``receivedbytes``.
    borrowed = socket.SocketType(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, descriptor
    )
    try:
        octets = borrowed.recv(
            PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT
        )
    except OSError:
        octets = b''
    # curl owns the descriptor, so the socket object must not close it.
    borrowed.detach()
    return octets
