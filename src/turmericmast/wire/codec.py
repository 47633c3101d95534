"""Encode messages with the Thrift compact protocol, and decode them."""

import dataclasses
from typing import Any, final

from returns.result import Failure, Result, Success
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from turmericmast.exceptions import WireError
from turmericmast.wire.generated import ttypes
from turmericmast.wire.mapping import message_from_body, message_to_body
from turmericmast.wire.receiving import (
    MAX_TEXT_BYTES,
    LongReceivedStruct,
    Pieces,
    ReceivedStruct,
    ShortReceivedStruct,
    split,
)

MAX_STORED_STRING_BYTES = 67_108_864
"""Bytes of the longest string or binary field in a stored record."""
MAX_STORED_CONTAINER_LENGTH = 1_000_000
"""Elements of the longest list in a stored record."""
DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
)
"""Exceptions that decoding raises on bytes that are no valid message."""

_SHORT_BODY = ShortReceivedStruct(ttypes.Body)
_LONG_BODY = LongReceivedStruct(ttypes.Body)
_SHORT_ENVELOPE = ShortReceivedStruct(ttypes.Envelope)
_LONG_ENVELOPE = LongReceivedStruct(ttypes.Envelope)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """The content of one frame: a message and what is needed to answer it."""

    id: int
    """Id of a request; 0 when no answer is wanted."""
    answers: int
    """Id of the request that this message answers, else 0."""
    clock: int
    """Packed ``Stamp`` of the sender's hybrid logical clock."""
    sender: str
    """Name of the sending process."""
    body: Any
    """The message."""


def encode(message: object) -> bytes:
    """Return a message as an encoded ``Body``."""
    return _write(message_to_body(message))


def decode(octets: bytes) -> Result[Any, WireError]:
    """Return the message in an encoded ``Body`` of our own disk or log."""
    return _read_stored(octets).bind(_message_from)


def decode_received(octets: bytes) -> Result[Any, WireError]:
    """Return the message in an encoded ``Body`` that a peer sent."""
    decoder = _SHORT_BODY if len(octets) <= MAX_TEXT_BYTES else _LONG_BODY
    return _read_received(decoder, split(octets)).bind(_message_from)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return an envelope in the form that ``decode_envelope`` reads."""
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
    """Return the envelope that a frame holds."""
    return decode_envelope_pieces(split(octets))


def decode_envelope_pieces(pieces: Pieces) -> Result[Envelope, WireError]:
    """Return the envelope that a frame holds, and take out its pieces."""
    is_short = sum(map(len, pieces)) <= MAX_TEXT_BYTES
    decoder = _SHORT_ENVELOPE if is_short else _LONG_ENVELOPE
    return _read_received(decoder, pieces).bind(_envelope_from)


def _write(struct: Any) -> bytes:
    transport = TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(transport))
    octets: bytes = transport.getvalue()
    return octets


def _read_stored(octets: bytes) -> Result[Any, WireError]:
    struct = ttypes.Body()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(octets),
        string_length_limit=MAX_STORED_STRING_BYTES,
        container_length_limit=MAX_STORED_CONTAINER_LENGTH,
    )
    try:
        struct.read(protocol)
    except DECODE_ERRORS as error:
        return Failure(_decode_error(repr(error)))
    return Success(struct)


def _read_received(
    decoder: ReceivedStruct, pieces: Pieces
) -> Result[Any, WireError]:
    try:
        return Success(decoder.decode(pieces))
    except DECODE_ERRORS as error:
        return Failure(_decode_error(repr(error)))


def _envelope_from(struct: Any) -> Result[Envelope, WireError]:
    if struct.body is None:
        return Failure(_decode_error('the envelope has no body'))
    return _message_from(struct.body).map(
        lambda body: Envelope(
            struct.id or 0,
            struct.answers or 0,
            struct.clock or 0,
            struct.sender or '',
            body,
        ),
    )


def _message_from(body: Any) -> Result[Any, WireError]:
    try:
        return Success(message_from_body(body))
    except DECODE_ERRORS as error:
        return Failure(_decode_error(repr(error)))


def _decode_error(cause: str) -> WireError:
    return WireError(
        f'the message cannot be decoded: {cause}',
        step='decode',
        hint='check that all processes run the same version',
    )
