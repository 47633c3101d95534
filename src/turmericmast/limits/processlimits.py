"""How a process divides the memory and descriptors of its host."""

import dataclasses
from typing import final

HELD_SHARE = 2
"""Divisor of the memory beyond the start, for what connections hold.

The other half is for what cannot be counted: objects around the bytes, memory
that the allocator keeps, routes and targets that are learned later."""
MIN_HELD_OCTETS = 16_777_216
"""Least bytes for what connections hold, however little memory is left.

Enough for one order of the greatest length; without, nobody would be served."""
FIRST_FRAMES_SHARE = 4
"""Divisor of what connections may hold, for first frames of unknown peers."""
MAX_LONG_FRAME_OCTETS = 134_217_728
"""Bytes of the long frames that a process receives at the same time."""
DESCRIPTOR_PARTS = 8
"""Equal parts of the descriptors.

Three are for accepted connections, three for connections to targets, of which
each request may need one, and one for connections that linger after their use.
The last is for the log, listening sockets and connections between processes."""
CLIENT_PARTS = 3


@final
@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """What a process may hold for others; 0 where there is no limit."""

    held_octets: int = 0
    """Bytes held for accepted connections."""
    connections: int = 0
    """Accepted connections, and likewise those to targets."""
    lingering: int = 0
    """Connections to targets that are closed once nothing more arrives."""

    @property
    def first_frame_octets(self) -> int:
        """Bytes of the first frames of peers that are not known yet."""
        return self.held_octets // FIRST_FRAMES_SHARE or MAX_LONG_FRAME_OCTETS

    @property
    def long_frame_octets(self) -> int:
        """Bytes of the long frames of known peers."""
        known = self.held_octets or MAX_LONG_FRAME_OCTETS
        return min(known, MAX_LONG_FRAME_OCTETS)


def divide(
    memory_octets: int, used_octets: int, descriptors: int
) -> ProcessLimits:
    """Return the limits of a process.

    ``memory_octets`` is the memory of the host for it, 0 if that is not known;
    ``used_octets`` is its resident size at the start.
    """
    room = max(memory_octets - used_octets, 0) // HELD_SHARE
    part = descriptors // DESCRIPTOR_PARTS
    return ProcessLimits(
        max(room, MIN_HELD_OCTETS) if memory_octets else 0,
        max(part * CLIENT_PARTS, 1) if descriptors else 0,
        part,
    )
