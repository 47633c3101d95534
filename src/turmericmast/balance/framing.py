"""Targets whose responses cannot be told from each other."""

import enum
from typing import final


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
