"""Which default or exception decides each value, and why."""

import dataclasses
from collections.abc import Mapping
from typing import final

from turmericmast.fleet.document import FleetDocument
from turmericmast.fleet.values import FIELD_BY_NAME


@final
@dataclasses.dataclass(frozen=True)
class ValueExplanation:
    """One value and what decided it."""

    name: str
    value: str
    """The value as text."""
    origin: str
    reason: str


def explain(
    document: FleetDocument,
    subject: Mapping[str, str],
) -> tuple[ValueExplanation, ...]:
    """Return a reason for each value that applies to a call."""
    matching = document.matching(subject)
    values = document.values_for(subject)
    deciding = {
        name: exception for exception in matching for name in exception.changes
    }
    return tuple(
        ValueExplanation(
            name=name,
            value=str(getattr(values, name)),
            origin=(
                f'exception {dict(deciding[name].selector)}'
                if name in deciding
                else 'defaults'
            ),
            reason=deciding[name].reason if name in deciding else '',
        )
        for name in FIELD_BY_NAME
    )
