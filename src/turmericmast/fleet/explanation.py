"""Explanations of the values that a fleet document gives to a call."""

import dataclasses
from collections.abc import Mapping
from typing import final

from turmericmast.fleet.document import FleetDocument
from turmericmast.fleet.values import FIELD_BY_NAME


@final
@dataclasses.dataclass(frozen=True)
class ValueExplanation:
    """A value, and the default or exception that sets it."""

    name: str
    value: str
    """The value as text."""
    origin: str
    """``defaults``, or ``exception`` with its selector."""
    reason: str
    """The reason that the exception gives; empty for a default."""


def explain(
    document: FleetDocument,
    subject: Mapping[str, str],
) -> tuple[ValueExplanation, ...]:
    """Return an explanation of each value for the subject of a call."""
    matching = document.exceptions_for(subject)
    values = document.values_for(subject)
    exception_by_name = {
        name: exception for exception in matching for name in exception.changes
    }
    return tuple(
        ValueExplanation(
            name=name,
            value=str(getattr(values, name)),
            origin=(
                f'exception {dict(exception_by_name[name].selector)}'
                if name in exception_by_name
                else 'defaults'
            ),
            reason=exception_by_name[name].reason
            if name in exception_by_name
            else '',
        )
        for name in FIELD_BY_NAME
    )
