"""The fleet document: default values and exceptions to them.

A document is accepted only if all of it is valid. Functions here take the
``subject`` of a call: its service, tenant and route, by these names.
"""

import dataclasses
import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias, final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import SettingsError
from turmericmast.fleet.values import FIELD_BY_NAME, RANGE_BY_NAME, Values
from turmericmast.ids import Digest
from turmericmast.jsontext import parse_json

SELECTORS = ('service', 'tenant', 'route')
"""Attributes of a call by which an exception can select it."""
MAX_EXCEPTIONS = 500
"""Exceptions in one document."""
DIGEST_LENGTH = 16
"""Hexadecimal digits of the SHA-256 digest that are kept."""

Fault: TypeAlias = tuple[str, str, str]
"""Path in the document, what is wrong there, what to write instead."""


@final
@dataclasses.dataclass(frozen=True)
class FleetException:
    """Values that differ from the defaults for the calls of a selector.

    It is an entry of ``exceptions`` in the document, not a Python exception.
    """

    selector: Mapping[str, str]
    changes: Mapping[str, Any]
    reason: str

    def matches(self, subject: Mapping[str, str]) -> bool:
        """Tell whether the selector matches the subject of a call.

        A route matches by prefix, service and tenant by equality.
        """
        return all(
            subject.get(name, '').startswith(wanted)
            if name == 'route'
            else subject.get(name) == wanted
            for name, wanted in self.selector.items()
        )


@final
@dataclasses.dataclass(frozen=True)
class FleetDocument:
    """A valid fleet document."""

    defaults: Values = Values()
    exceptions: tuple[FleetException, ...] = ()

    def exceptions_for(
        self,
        subject: Mapping[str, str],
    ) -> list[FleetException]:
        """Return the exceptions that match, the most specific one last.

        An exception with more selector keys is more specific; of two with as
        many, the one further down in the document comes last.
        """
        return sorted(
            (
                exception
                for exception in self.exceptions
                if exception.matches(subject)
            ),
            key=lambda exception: len(exception.selector),
        )

    def values_for(self, subject: Mapping[str, str]) -> Values:
        """Return the values for a call; the last exception takes precedence."""
        values = self.defaults
        for exception in self.exceptions_for(subject):
            values = values.with_changes(exception.changes)
        return values


def digest_of(text: str) -> Digest:
    """Return the digest that identifies the text of a document."""
    return Digest(hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH])


def parse_document(text: str) -> Result[FleetDocument, SettingsError]:
    """Return the document in a JSON text, or an error with its first fault."""
    parsed = parse_json(text)
    if not isinstance(parsed, Success):
        return Failure(
            _error(('', parsed.failure(), 'correct the JSON syntax')),
        )
    tree = parsed.unwrap()
    fault = next(_faults(tree), None)
    return Failure(_error(fault)) if fault else Success(_build(tree))


def _error(fault: Fault) -> SettingsError:
    path, problem, hint = fault
    return SettingsError(
        f'{path or "document"}: {problem}',
        step='check fleet document',
        hint=hint,
    )


def _faults(tree: object) -> Iterator[Fault]:
    if not isinstance(tree, Mapping):
        yield ('', 'not an object', 'write {"defaults": {}, "exceptions": []}')
        return
    yield from (
        (name, 'unknown key', 'keep only defaults and exceptions')
        for name in tree
        if name not in {'defaults', 'exceptions'}
    )
    yield from _value_faults('defaults', tree.get('defaults', {}))
    exceptions = tree.get('exceptions', [])
    if not isinstance(exceptions, list) or len(exceptions) > MAX_EXCEPTIONS:
        yield (
            'exceptions',
            'not a list, or too long',
            f'write a list of at most {MAX_EXCEPTIONS} exceptions',
        )
        return
    for position, exception in enumerate(exceptions):
        yield from _exception_faults(f'exceptions[{position}]', exception)


def _exception_faults(path: str, exception: object) -> Iterator[Fault]:
    if not isinstance(exception, Mapping):
        yield (path, 'not an object', 'write selector keys, reason and values')
        return
    yield from (
        (f'{path}.{name}', 'unknown key', f'use {", ".join(SELECTORS)}')
        for name in exception
        if name not in {*SELECTORS, 'reason', 'values'}
    )
    reason = exception.get('reason')
    if not isinstance(reason, str) or not reason.strip():
        yield (
            f'{path}.reason',
            'no written reason',
            'write why this exception is needed',
        )
    yield from _selector_faults(path, exception)
    if not exception.get('values'):
        yield (f'{path}.values', 'sets no values', 'set at least one value')
    yield from _value_faults(f'{path}.values', exception.get('values', {}))


def _selector_faults(
    path: str,
    exception: Mapping[str, Any],
) -> Iterator[Fault]:
    chosen = [name for name in SELECTORS if name in exception]
    if not chosen:
        yield (path, 'no selector', f'add one of {", ".join(SELECTORS)}')
    yield from (
        (f'{path}.{name}', 'not a non-empty string', 'write a name')
        for name in chosen
        if not _is_name(exception[name])
    )


def _value_faults(path: str, tree: object) -> Iterator[Fault]:
    if not isinstance(tree, Mapping):
        yield (path, 'not an object', 'write {"name": value}')
        return
    known = ', '.join(FIELD_BY_NAME)
    for name, raw_value in tree.items():
        if name in FIELD_BY_NAME:
            yield from _type_faults(f'{path}.{name}', name, raw_value)
        else:
            yield (f'{path}.{name}', 'unknown value', f'use one of {known}')


def _type_faults(path: str, name: str, raw_value: Any) -> Iterator[Fault]:
    limits = RANGE_BY_NAME.get(name)
    if limits:
        is_good = _is_in_range(name, raw_value)
        hint = f'write a number from {limits[0]} to {limits[1]}'
    elif name == 'ledger_region':
        is_good = _is_name(raw_value)
        hint = 'write the name of a region'
    else:
        is_good = isinstance(raw_value, list) and all(map(_is_name, raw_value))
        hint = 'write a list of region names'
    if not is_good:
        yield (path, f'found {raw_value!r}', hint)


def _is_name(raw_value: object) -> bool:
    return isinstance(raw_value, str) and bool(raw_value)


def _is_in_range(name: str, raw_value: Any) -> bool:
    low, high = RANGE_BY_NAME[name]
    kinds = (int, float) if name == 'retry_ratio' else (int,)
    is_number = isinstance(raw_value, kinds) and not isinstance(raw_value, bool)
    return is_number and low <= raw_value <= high


def _build(tree: Mapping[str, Any]) -> FleetDocument:
    return FleetDocument(
        defaults=Values().with_changes(_frozen(tree.get('defaults', {}))),
        exceptions=tuple(
            FleetException(
                selector={
                    name: exception[name]
                    for name in SELECTORS
                    if name in exception
                },
                changes=_frozen(exception['values']),
                reason=exception['reason'].strip(),
            )
            for exception in tree.get('exceptions', [])
        ),
    )


def _frozen(changes: Mapping[str, Any]) -> dict[str, Any]:
    return {
        name: tuple(raw_value) if isinstance(raw_value, list) else raw_value
        for name, raw_value in changes.items()
    }
