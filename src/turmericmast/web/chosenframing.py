"""The framing of a body, chosen by the head of its response."""

from typing import assert_never

from turmericmast.web.bodyframing import (
    BodyFraming,
    NoBody,
    SizedBody,
    UnsizedBody,
)
from turmericmast.web.chunkedbody import ChunkedBody
from turmericmast.web.responsehead import (
    NO_BODY_STATUSES,
    BodyEnd,
    ResponseHead,
)
from turmericmast.web.responselimits import HeadSize


def choose_framing(
    head: ResponseHead, method: str, head_size: HeadSize
) -> BodyFraming:
    """Return the framing of the body of a response (RFC 9112, 6.3).

    ``method`` is that of the request, ``head_size`` that of all its heads.
    """
    if method == 'HEAD' or head.status in NO_BODY_STATUSES:
        return NoBody()
    match head.body_end:
        case BodyEnd.length:
            return SizedBody(int(head.headers['Content-Length']))
        case BodyEnd.last_chunk:
            return ChunkedBody(head_size)
        case BodyEnd.connection:
            return UnsizedBody()
    assert_never(head.body_end)
