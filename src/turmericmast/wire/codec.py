"""Encode typed messages with Thrift, and decode them again."""

import dataclasses
from typing import Any, final

from returns.result import Failure, Result, Success
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from turmericmast.exceptions import WireError
from turmericmast.wire.generated import ttypes
from turmericmast.wire.mapping import message_from_body, message_to_body

MAX_STRING_BYTES = 67_108_864
MAX_CONTAINER_LENGTH = 1_000_000
UNREADABLE = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
)
"""What decoding raises on octets that were not encoded here."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """One frame: a message with what is needed to answer it."""

    id: int
    answers: int
    clock: int
    sender: str
    body: Any


def encode(message: object) -> bytes:
    """Return a message as the bytes of a ``Body``."""
    return _write(message_to_body(message))


def decode(octets: bytes) -> Result[Any, WireError]:
    """Return the message that ``encode`` made the bytes of."""
    return _read(ttypes.Body, octets).bind(_from_checked)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return an envelope as bytes."""
    return _write(
        ttypes.Envelope(
            envelope.id,
            envelope.answers,
            envelope.clock,
            envelope.sender,
            message_to_body(envelope.body),
        ),
    )


def decode_envelope(octets: bytes) -> Result[Envelope, WireError]:
    """Return the envelope in a frame."""
    return _read(ttypes.Envelope, octets).bind(_from_envelope)


def _write(struct: Any) -> bytes:
    transport = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(transport))
    octets: bytes = transport.getvalue()
    return octets


def _read(struct_class: Any, octets: bytes) -> Result[Any, WireError]:
    struct = struct_class()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(octets),
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_LENGTH,
    )
    try:
        struct.read(protocol)
    except UNREADABLE as error:
        return Failure(_undecodable(repr(error)))
    return Success(struct)


def _from_envelope(struct: Any) -> Result[Envelope, WireError]:
    if struct.body is None:
        return Failure(_undecodable('an envelope without a body'))
    return _from_checked(struct.body).map(
        lambda body: Envelope(
            struct.id or 0,
            struct.answers or 0,
            struct.clock or 0,
            struct.sender or '',
            body,
        ),
    )


def _from_checked(body: Any) -> Result[Any, WireError]:
    try:
        return Success(message_from_body(body))
    except UNREADABLE as error:
        return Failure(_undecodable(repr(error)))


def _undecodable(found: str) -> WireError:
    return WireError(
        f'the message cannot be decoded: {found}',
        step='decode',
        hint='check that all processes run the same version',
    )
