"""Map dataclasses to the generated structs of the same name, and back.

Fields are mapped by name; a field whose type is a choice of dataclasses
becomes a ``Body``. The mapping is worked out once for each class.
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
"""Field names that the IDL does not allow, and what stands for them."""

Convert: TypeAlias = Callable[[Any], Any]


def message_to_body(message: Any) -> Any:
    """Return a message as a generated ``Body``."""
    body = ttypes.Body()
    field, convert = _encoder(cast('Hashable', type(message)))
    setattr(body, field, convert(message))
    return body


def message_from_body(body: Any) -> Any:
    """Return the message in a generated ``Body``."""
    for field, name in _body_fields():
        struct = getattr(body, field)
        if struct is not None:
            return _from_struct(find_class(name))(struct)
    raise ValueError('an empty body')


def _snake(name: str) -> str:
    return ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter for letter in name
    ).removeprefix('_')


@functools.cache
def _encoder(message_class: Any) -> tuple[str, Convert]:
    return _snake(message_class.__name__), _to_struct(message_class)


@functools.cache
def _body_fields() -> tuple[tuple[str, str], ...]:
    """Return each field of a ``Body`` with the name of its class."""
    return tuple(
        (spec[2], spec[3][0].__name__)
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
        (
            WIRE_NAME_BY_FIELD.get(name, name),
            _from_wire(hint),
            _is_optional(hint),
        )
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
    hints = get_type_hints(message_class)
    return [
        (field.name, _base(hints[field.name]))
        for field in dataclasses.fields(message_class)
    ]


def _base(hint: Any) -> Any:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    return hint


def _is_optional(hint: Any) -> bool:
    return types.NoneType in get_args(hint)


def _choices(hint: Any) -> list[Any]:
    is_choice = get_origin(hint) in {types.UnionType, Union}
    return [
        one for one in get_args(hint) if is_choice and one is not types.NoneType
    ]


def _to_wire(hint: Any) -> Convert | None:
    if dataclasses.is_dataclass(hint):
        return _to_struct(cast('type', hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return lambda member: member.value
    choices = _choices(hint)
    if choices:
        return (
            _skip_none(_to_wire(choices[0]))
            if len(choices) == 1
            else message_to_body
        )
    if get_origin(hint) is tuple:
        step = _to_wire(_base(get_args(hint)[0]))
        return (lambda many: list(map(step, many))) if step else list
    return None


def _from_wire(hint: Any) -> Convert | None:
    if dataclasses.is_dataclass(hint):
        return _from_struct(cast('type', hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    choices = _choices(hint)
    if choices:
        return (
            _from_wire(choices[0]) if len(choices) == 1 else message_from_body
        )
    if get_origin(hint) is tuple:
        step = _from_wire(_base(get_args(hint)[0]))
        return (lambda many: tuple(map(step, many))) if step else tuple
    return None


def _skip_none(step: Convert | None) -> Convert | None:
    if step is None:
        return None
    return lambda one: None if one is None else step(one)
