"""Orders and states of rollouts in the platform's format."""

from typing import Any

from returns.result import Failure, Result, Success

from turmericmast.cluster.commands import OrderRollout
from turmericmast.exceptions import SettingsError
from turmericmast.fields import FieldError, Fields
from turmericmast.ids import Millis, ServiceId, TargetVersion
from turmericmast.jsontext import parse_json
from turmericmast.rollout.records import ServiceRollout
from turmericmast.units import MILLIS_PER_SECOND

MAX_DURATION = 86400
"""Seconds of the longest rollout."""


def parse_rollout_order(source: bytes) -> Result[OrderRollout, SettingsError]:
    """Return the order in JSON text, or the first error in it."""
    parsed = parse_json(source)
    if not isinstance(parsed, Success):
        return Failure(_fault(parsed.failure()))
    try:
        return Success(_order(Fields(parsed.unwrap())))
    except FieldError as error:
        return Failure(_fault(str(error)))


def rollout_document(rollout: ServiceRollout) -> dict[str, Any]:
    """Return the state of a rollout as operators read it."""
    return {
        'state': rollout.state.value,
        'target_version': rollout.target_version,
        'current_version': rollout.current,
        'share': rollout.share / MILLIS_PER_SECOND,
        'elapsed_s': rollout.elapsed_ms / MILLIS_PER_SECOND,
        'duration_s': rollout.duration_ms / MILLIS_PER_SECOND,
        'reason': rollout.reason,
    }


def _order(fields: Fields) -> OrderRollout:
    duration = fields.number('duration_s')
    if not 0 < duration <= MAX_DURATION:
        raise FieldError(
            f'duration_s: found {duration:g}; write a number of seconds '
            f'above 0, up to {MAX_DURATION}'
        )
    return OrderRollout(
        ServiceId(fields.name('service')),
        TargetVersion(fields.name('target_version')),
        Millis(max(int(duration * MILLIS_PER_SECOND), 1)),
    )


def _fault(fault: str) -> SettingsError:
    return SettingsError(
        fault,
        step='read rollout order',
        hint='nothing was changed; write service and target_version as '
        'strings, duration_s as a finite number of seconds above 0',
    )
