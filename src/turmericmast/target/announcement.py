"""Parsing and validation of the announcements that targets send."""

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, final

from returns.result import Failure, Result, Success

from turmericmast.addresses import MAX_PORT, is_unicast_address
from turmericmast.exceptions import RefusedError
from turmericmast.ids import (
    DomainId,
    Incarnation,
    RegionId,
    ServiceId,
    TargetId,
)
from turmericmast.numerals import is_whole_within

MAX_SLOTS = 10_000
"""Concurrent requests that a target may announce."""
MAX_IN_FLIGHT = 1_000_000_000
"""Running requests that a target may announce; more are a mistake."""
MAX_NAME_LENGTH = 128
"""Characters in the name of a target, service, region or domain."""


@final
class TargetState(enum.Enum):
    """The warm-up or shutdown state that a target announces."""

    cold = 'cold'
    ready = 'ready'
    leaving = 'leaving'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """Identity, address and capacity of a target, as it announces them.

    These fields seldom change from one announcement to the next. A new
    ``incarnation`` means that the process of the target was restarted.
    """

    target: TargetId
    service: ServiceId
    address: str
    region: RegionId
    domain: DomainId
    slots: int
    """Requests that the target runs concurrently once it is warm."""
    cold_slots: int
    """Requests that the target runs concurrently while it is cold."""
    incarnation: Incarnation


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A validated announcement: the spec, the state and the current load."""

    spec: TargetSpec
    state: TargetState
    in_flight: int = 0
    """Requests that the target was running when it sent the announcement."""


def parse_announcement(
    document: object,
) -> Result[Announcement, RefusedError]:
    """Validate a decoded JSON document; fail with the first invalid field."""
    if not isinstance(document, Mapping):
        return Failure(_refusal('', 'a JSON object is needed'))
    field_faults = (
        (field, check(document.get(field)))
        for field, check in _CHECK_BY_FIELD.items()
    )
    unknown_fields = (
        (field, 'unknown field; remove it')
        for field in document
        if field not in _CHECK_BY_FIELD
    )
    faults = (pair for pair in (*field_faults, *unknown_fields) if pair[1])
    fault = next(faults, None)
    return Failure(_refusal(*fault)) if fault else _build(document)


def _build(
    document: Mapping[str, Any],
) -> Result[Announcement, RefusedError]:
    spec = TargetSpec(
        **{
            field.name: document[field.name]
            for field in dataclasses.fields(TargetSpec)
        },
    )
    if spec.cold_slots > spec.slots:
        return Failure(_refusal('cold_slots', 'must not be more than slots'))
    return Success(
        Announcement(
            spec,
            TargetState(document['state']),
            document.get('in_flight', 0),
        ),
    )


def _refusal(field: str, fault: str) -> RefusedError:
    message = f'{field}: {fault}' if field else fault
    return RefusedError(message, step='announce', hint='nothing was changed')


def _check_name(raw_value: object) -> str:
    if isinstance(raw_value, str) and 0 < len(raw_value) <= MAX_NAME_LENGTH:
        if (
            raw_value.isascii()
            and raw_value.isprintable()
            and '/' not in raw_value
        ):
            return ''
    return f'write 1 to {MAX_NAME_LENGTH} printable ASCII characters without /'


def _check_address(raw_value: object) -> str:
    if is_unicast_address(raw_value):
        return ''
    port = str(raw_value).rpartition(':')[-1]
    if not is_whole_within(port, 1, MAX_PORT):
        return f'write a port between 1 and {MAX_PORT}'
    return 'write an IP address and a port, such as 127.0.0.1:8080'


def _check_slots(raw_value: object) -> str:
    is_number = isinstance(raw_value, int) and not isinstance(raw_value, bool)
    if is_number and 0 < int(str(raw_value)) <= MAX_SLOTS:
        return ''
    return f'write a whole number from 1 to {MAX_SLOTS}'


def _check_in_flight(raw_value: object) -> str:
    is_number = isinstance(raw_value, int) and not isinstance(raw_value, bool)
    if raw_value is None or (
        is_number and 0 <= int(str(raw_value)) <= MAX_IN_FLIGHT
    ):
        return ''
    return f'write a whole number of requests from 0 to {MAX_IN_FLIGHT}'


def _check_state(raw_value: object) -> str:
    names = [state.value for state in TargetState]
    return '' if raw_value in names else f'write one of {", ".join(names)}'


_CHECK_BY_FIELD = MappingProxyType(
    {
        'target': _check_name,
        'service': _check_name,
        'address': _check_address,
        'region': _check_name,
        'domain': _check_name,
        'slots': _check_slots,
        'cold_slots': _check_slots,
        'incarnation': _check_name,
        'state': _check_state,
        'in_flight': _check_in_flight,
    }
)
"""Each check returns what is wrong with a value, or an empty text."""
