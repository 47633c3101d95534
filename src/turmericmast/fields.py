"""Fields of a JSON document from outside, checked as they are read."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any, Final, TypeVar, final

from turmericmast.names import MAX_NAME_LENGTH, is_name

MAX_WHOLE: Final = 999_999_999_999_999
"""Largest number; whole ones up to it are exact in JSON of all languages."""
MAX_SHOWN_LENGTH = 40
"""Characters of a wrong value that an error repeats."""

Choice = TypeVar('Choice', bound=enum.Enum)


@final
class FieldError(ValueError):
    """A field is missing or has a wrong value; names the field and the fix."""


@final
class Fields:
    """The fields of a JSON object; reading a wrong one is a ``FieldError``."""

    def __init__(self, tree: object, path: str = '') -> None:
        """Read the object at ``path`` in its document."""
        if not isinstance(tree, Mapping):
            raise _field_error(path or 'document', tree, 'an object')
        self._tree = tree
        self._path = path

    def has(self, key: str) -> bool:
        """Tell whether a field is present and neither null nor empty."""
        return bool(self._tree.get(key))

    def is_given(self, key: str) -> bool:
        """Tell whether a field is present and not null; it may be empty."""
        return self._tree.get(key) is not None

    def table(self, key: str) -> 'Fields':
        """Return the object in a field."""
        return Fields(self._found(key), self.path_of(key))

    def by_name(self) -> Iterator[tuple[str, 'Fields']]:
        """Yield the objects in this one by their names."""
        for name in self._tree:
            if not is_name(name):
                raise _field_error(
                    f'{self._path} name', name, _NAME_DESCRIPTION
                )
            yield name, self.table(name)

    def tables(self, key: str) -> Iterator['Fields']:
        """Yield the objects of a list."""
        for position, element in enumerate(self._list(key)):
            yield Fields(element, f'{self.path_of(key)}[{position}]')

    def strings(self, key: str) -> tuple[str, ...]:
        """Return the strings of a list; none if it is missing."""
        if not all(isinstance(element, str) for element in self._list(key)):
            raise self._error(key, 'a list of strings')
        return tuple(self._list(key))

    def string(self, key: str) -> str:
        """Return a string."""
        text = self._tree.get(key)
        if isinstance(text, str):
            return text
        raise self._error(key, 'a string')

    def name(self, key: str) -> str:
        """Return a string that is a name."""
        text = self.string(key)
        if is_name(text):
            return text
        raise self._error(key, _NAME_DESCRIPTION)

    def choice(self, key: str, choices: type[Choice]) -> Choice:
        """Return the member of an enumeration that a string names."""
        choice_by_name = {choice.value: choice for choice in choices}
        choice = choice_by_name.get(self.string(key))
        if choice is None:
            raise self._error(key, f'one of {", ".join(choice_by_name)}')
        return choice

    def whole(self, key: str, low: int = 0, high: int = MAX_WHOLE) -> int:
        """Return a whole number from ``low`` to ``high``."""
        number: Any = self._tree.get(key)
        is_whole = isinstance(number, int) and not isinstance(number, bool)
        if is_whole and low <= number <= high:
            return int(number)
        raise self._error(key, f'a whole number from {low} to {high}')

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number; ``default``, if given, for a missing field."""
        found: Any = self._tree.get(key)
        if found is None and default is not None:
            return float(default)
        is_number = isinstance(found, int | float)
        if (
            is_number
            and not isinstance(found, bool)
            and (-MAX_WHOLE <= found <= MAX_WHOLE)
        ):
            return float(found)
        raise self._error(key, f'a number up to {MAX_WHOLE}')

    def rounded(self, key: str, default: float | None = None) -> int:
        """Return a number that may be written with a fraction of 0."""
        number = self.number(key, default)
        if number.is_integer():
            return int(number)
        raise self._error(key, 'a whole number')

    def truth(self, key: str) -> bool:
        """Return a truth value; false for a missing field."""
        found = self._tree.get(key)
        if found is None or isinstance(found, bool):
            return bool(found)
        raise self._error(key, 'true or false')

    def path_of(self, key: str) -> str:
        """Return the path of a field in its document."""
        return f'{self._path}.{key}' if self._path else key

    def _list(self, key: str) -> list[Any]:
        elements = self._tree.get(key)
        if elements is None:
            return []
        if isinstance(elements, list):
            return elements
        raise self._error(key, 'a list')

    def _error(self, key: str, wanted: str) -> FieldError:
        return _field_error(self.path_of(key), self._found(key), wanted)

    def _found(self, key: str) -> object:
        return self._tree.get(key, _MISSING)


_MISSING = object()
_NAME_DESCRIPTION = f'1 to {MAX_NAME_LENGTH} printable characters'


def _field_error(path: str, found: object, wanted: str) -> FieldError:
    if found is _MISSING:
        return FieldError(f'{path}: missing; write {wanted}')
    is_plain = found is None or isinstance(found, bool | float | str | int)
    shown = repr(found)[:MAX_SHOWN_LENGTH] if is_plain else type(found).__name__
    return FieldError(f'{path}: found {shown}; write {wanted}')
