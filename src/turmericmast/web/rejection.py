"""Reasons to reject a response, and what they say about its target."""

import enum
from types import MappingProxyType
from typing import final

from turmericmast.balance.framing import Stutter
from turmericmast.web.responsebody import ResponseBody


@final
class Rejection(enum.Enum):
    """Why a response is not the target's to this request; a metric label."""

    other_request = 'other_request'
    """It bears another request's id, or none."""
    encoded = 'encoded'
    """It was encoded on the way."""
    unsigned = 'unsigned'
    """It reports success without the target's signature."""
    joined_head = 'joined_head'
    """Its status may belong to another response than its headers."""
    invalid_status = 'invalid_status'
    """It has no status line, or a status that no response has."""
    invalid_field = 'invalid_field'
    """A line of its head is no field."""
    folded_field = 'folded_field'
    """A line of its head continues the one before (RFC 9112, 5.2)."""
    invalid_length = 'invalid_length'
    """Its ``Content-Length`` is not one whole number."""
    invalid_coding = 'invalid_coding'
    """Its transfer coding is not ``chunked`` alone."""
    invalid_chunk = 'invalid_chunk'
    """Its body breaks the grammar of chunks."""
    invalid_trailer = 'invalid_trailer'
    """A line behind its last chunk is no field."""
    unreadable_head = 'unreadable_head'
    """curl refuses its head, and nothing else tells why."""
    disputed_end = 'disputed_end'
    """curl ends its body elsewhere than its head says."""


_STUTTER_BY_REJECTION = MappingProxyType(
    {
        Rejection.other_request: Stutter.other_request,
        Rejection.joined_head: Stutter.joined_head,
    }
)


def find_stutter(
    rejection: Rejection | None, body: ResponseBody
) -> Stutter | None:
    """Return the stutter that a response may consist of, if any."""
    if body.is_filled:
        return Stutter.filled_body
    return _STUTTER_BY_REJECTION.get(rejection) if rejection else None
