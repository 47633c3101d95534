"""Convert dataclasses to the generated structs of the same name, and back.

Both sides must list the same fields in the same order. A field whose type is a
union of dataclasses becomes a ``Body``. The converters of a class are derived
from its type hints on first use, and cached.
"""

import dataclasses
import enum
import functools
import types
from collections.abc import Callable, Hashable
from typing import (
    Any,
    TypeAlias,
    Union,
    cast,
    get_args,
    get_origin,
    get_type_hints,
)

from turmericmast.wire.catalogue import find_class
from turmericmast.wire.generated import ttypes

WIRE_NAME_BY_FIELD = types.MappingProxyType({'service': 'service_'})
"""Names in the IDL of fields whose own name is a reserved word there."""

Converter: TypeAlias = Callable[[Any], Any]


def message_to_body(message: Any) -> Any:
    """Return a generated ``Body`` that holds a message."""
    body = ttypes.Body()
    field, convert = _body_encoder(cast('Hashable', type(message)))
    setattr(body, field, convert(message))
    return body


def message_from_body(body: Any) -> Any:
    """Return the message in a generated ``Body``.

    Raises ``ValueError`` if the body is empty or a field is missing.
    """
    for field, name in _body_fields():
        struct = getattr(body, field)
        if struct is not None:
            return _from_struct(find_class(name))(struct)
    raise ValueError('the body is empty')


def _to_snake_case(name: str) -> str:
    return ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter for letter in name
    ).removeprefix('_')


@functools.cache
def _body_encoder(message_class: Any) -> tuple[str, Converter]:
    return _to_snake_case(message_class.__name__), _to_struct(message_class)


@functools.cache
def _body_fields() -> tuple[tuple[str, str], ...]:
    """Return each field name of a ``Body`` with its class name."""
    return tuple(
        (spec[2], spec[3][0].__name__)
        for spec in ttypes.Body.thrift_spec
        if spec
    )


@functools.cache
def _to_struct(message_class: type) -> Converter:
    struct_class = getattr(ttypes, message_class.__name__)
    converters = tuple(
        (name, _to_wire(hint)) for name, hint in _typed_fields(message_class)
    )

    def convert(message: Any) -> Any:  # noqa: WPS430
        return struct_class(
            *[
                converter(getattr(message, name))
                if converter
                else getattr(message, name)
                for name, converter in converters
            ],
        )

    return convert


@functools.cache
def _from_struct(message_class: type) -> Converter:
    converters = tuple(
        (
            WIRE_NAME_BY_FIELD.get(name, name),
            _from_wire(hint),
            _is_optional(hint),
        )
        for name, hint in _typed_fields(message_class)
    )

    def convert(struct: Any) -> Any:  # noqa: WPS430
        wire_values = [
            (getattr(struct, name), converter, optional)
            for name, converter, optional in converters
        ]
        if any(
            wire_value is None and not optional
            for wire_value, _, optional in wire_values
        ):
            raise ValueError(f'{message_class.__name__} lacks a field')
        return message_class(
            *[
                converter(wire_value)
                if converter and wire_value is not None
                else wire_value
                for wire_value, converter, _ in wire_values
            ],
        )

    return convert


def _typed_fields(message_class: type) -> list[tuple[str, Any]]:
    hints = get_type_hints(message_class)
    return [
        (field.name, _underlying_type(hints[field.name]))
        for field in dataclasses.fields(message_class)
    ]


def _underlying_type(hint: Any) -> Any:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    return hint


def _is_optional(hint: Any) -> bool:
    return types.NoneType in get_args(hint)


def _union_members(hint: Any) -> list[Any]:
    is_choice = get_origin(hint) in {types.UnionType, Union}
    return [
        choice
        for choice in get_args(hint)
        if is_choice and choice is not types.NoneType
    ]


def _to_wire(hint: Any) -> Converter | None:
    if dataclasses.is_dataclass(hint):
        return _to_struct(cast('type', hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return lambda member: member.value
    choices = _union_members(hint)
    if choices:
        return (
            _pass_none(_to_wire(choices[0]))
            if len(choices) == 1
            else message_to_body
        )
    if get_origin(hint) is tuple:
        converter = _to_wire(_underlying_type(get_args(hint)[0]))
        return (
            (lambda elements: list(map(converter, elements)))
            if converter
            else list
        )
    return None


def _from_wire(hint: Any) -> Converter | None:
    if dataclasses.is_dataclass(hint):
        return _from_struct(cast('type', hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    choices = _union_members(hint)
    if choices:
        return (
            _from_wire(choices[0]) if len(choices) == 1 else message_from_body
        )
    if get_origin(hint) is tuple:
        converter = _from_wire(_underlying_type(get_args(hint)[0]))
        return (
            (lambda elements: tuple(map(converter, elements)))
            if converter
            else tuple
        )
    return None


def _pass_none(converter: Converter | None) -> Converter | None:
    if converter is None:
        return None
    return lambda element: None if element is None else converter(element)
