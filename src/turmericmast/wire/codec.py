"""Encode typed messages with Thrift, and decode them again.

A dataclass is mapped to the generated struct of the same name, field by
field; a field whose type is a choice of dataclasses becomes a ``Body``. The
mapping is worked out once for each class.
"""

import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Callable
from typing import Any, TypeAlias, final

from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from turmericmast.exceptions import WireError
from turmericmast.wire.catalogue import MESSAGES
from turmericmast.wire.generated import ttypes

MAX_STRING_BYTES = 64 * 1024 * 1024
MAX_CONTAINER_LENGTH = 1_000_000
RESERVED = types.MappingProxyType({'service': 'service_'})
"""Field names that the IDL does not allow, and what stands for them."""

Convert: TypeAlias = Callable[[Any], Any]


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
    return _write(_to_body(message))


def decode(octets: bytes) -> Result[Any, WireError]:
    """Return the message that ``encode`` made the bytes of."""
    return _read(ttypes.Body, octets).bind(_from_checked_body)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return an envelope as bytes."""
    return _write(
        ttypes.Envelope(
            envelope.id,
            envelope.answers,
            envelope.clock,
            envelope.sender,
            _to_body(envelope.body),
        ),
    )


def decode_envelope(octets: bytes) -> Result[Envelope, WireError]:
    """Return the envelope in a frame."""
    return _read(ttypes.Envelope, octets).bind(_from_envelope)


def _write(struct: Any) -> bytes:
    transport = TMemoryBuffer()
    struct.write(TBinaryProtocolAccelerated(transport))
    return transport.getvalue()  # type: ignore[no-any-return]


def _read(struct_class: Any, octets: bytes) -> Result[Any, WireError]:
    struct = struct_class()
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(octets),
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_LENGTH,
    )
    try:
        struct.read(protocol)
    except (TException, EOFError, ValueError, TypeError) as error:
        return Failure(_undecodable(repr(error)))
    return Success(struct)


def _from_envelope(struct: Any) -> Result[Envelope, WireError]:
    if struct.body is None:
        return Failure(_undecodable('an envelope without a body'))
    return _from_checked_body(struct.body).map(
        lambda body: Envelope(
            struct.id or 0,
            struct.answers or 0,
            struct.clock or 0,
            struct.sender or '',
            body,
        ),
    )


def _from_checked_body(body: Any) -> Result[Any, WireError]:
    try:
        return Success(_from_body(body))
    except (TypeError, ValueError, LookupError, AttributeError) as error:
        return Failure(_undecodable(repr(error)))


def _undecodable(found: str) -> WireError:
    return WireError(
        f'the message cannot be decoded: {found}',
        step='decode',
        hint='check that all processes run the same version',
    )


def _snake(name: str) -> str:
    return ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter for letter in name
    ).removeprefix('_')


def _to_body(message: object) -> Any:
    body = ttypes.Body()
    field, convert = _encoder(type(message))
    setattr(body, field, convert(message))
    return body


def _from_body(body: Any) -> Any:
    for field, convert in _body_decoders():
        struct = getattr(body, field)
        if struct is not None:
            return convert(struct)
    raise ValueError('an empty body')


@functools.cache
def _encoder(message_class: type) -> tuple[str, Convert]:
    return _snake(message_class.__name__), _to_struct(message_class)


@functools.cache
def _body_decoders() -> tuple[tuple[str, Convert], ...]:
    class_by_name = {one.__name__: one for one in MESSAGES}
    return tuple(
        (spec[2], _from_struct(class_by_name[spec[3][0].__name__]))
        for spec in ttypes.Body.thrift_spec
        if spec
    )


@functools.cache
def _to_struct(message_class: type) -> Convert:
    struct_class = getattr(ttypes, message_class.__name__)
    converts = tuple(
        (name, _to_wire(hint)) for name, hint in _fields(message_class)
    )

    def convert(message: Any) -> Any:  # noqa: WPS430
        return struct_class(
            *[
                step(getattr(message, name)) if step else getattr(message, name)
                for name, step in converts
            ],
        )

    return convert


@functools.cache
def _from_struct(message_class: type) -> Convert:
    converts = tuple(
        (RESERVED.get(name, name), _from_wire(hint), _is_optional(hint))
        for name, hint in _fields(message_class)
    )

    def convert(struct: Any) -> Any:  # noqa: WPS430
        given = [
            (getattr(struct, name), step, optional)
            for name, step, optional in converts
        ]
        if any(one is None and not optional for one, _, optional in given):
            raise ValueError(f'{message_class.__name__} lacks a field')
        return message_class(
            *[
                step(one) if step and one is not None else one
                for one, step, _ in given
            ],
        )

    return convert


def _fields(message_class: type) -> list[tuple[str, Any]]:
    hints = typing.get_type_hints(message_class)
    return [
        (field.name, _base(hints[field.name]))
        for field in dataclasses.fields(message_class)
    ]


def _base(hint: Any) -> Any:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    return hint


def _is_optional(hint: Any) -> bool:
    return type(None) in typing.get_args(hint)


def _choices(hint: Any) -> list[Any]:
    is_choice = typing.get_origin(hint) in {types.UnionType, typing.Union}
    return [
        one
        for one in typing.get_args(hint)
        if is_choice and one is not type(None)
    ]


def _to_wire(hint: Any) -> Convert | None:
    if dataclasses.is_dataclass(hint):
        return _to_struct(typing.cast('type', hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return lambda member: member.value
    choices = _choices(hint)
    if choices:
        return _some(_to_wire(choices[0])) if len(choices) == 1 else _to_body
    if typing.get_origin(hint) is tuple:
        step = _to_wire(_base(typing.get_args(hint)[0]))
        return (lambda many: list(map(step, many))) if step else list
    return None


def _from_wire(hint: Any) -> Convert | None:
    if dataclasses.is_dataclass(hint):
        return _from_struct(typing.cast('type', hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    choices = _choices(hint)
    if choices:
        return _from_wire(choices[0]) if len(choices) == 1 else _from_body
    if typing.get_origin(hint) is tuple:
        step = _from_wire(_base(typing.get_args(hint)[0]))
        return (lambda many: tuple(map(step, many))) if step else tuple
    return None


def _some(step: Convert | None) -> Convert | None:
    if step is None:
        return None
    return lambda one: None if one is None else step(one)
