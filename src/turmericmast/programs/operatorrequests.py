"""Parses JSON requests of operators into commands for the region."""

from typing import Any

from returns.result import Failure, Result, Success

from turmericmast.exceptions import RefusedError, TurmericmastError
from turmericmast.ids import ChangeId, Digest, Fingerprint, Version
from turmericmast.region.commands import (
    LiftQuarantine,
    ProposeFleet,
    RegionCommand,
    SetOutage,
)
from turmericmast.region.records import OutageKind

MAX_CHANGE_LENGTH = 128
"""Characters of a change id that are kept; the rest is cut off."""


def invalid_field_error(field: str, expected: str) -> RefusedError:
    """Return an error that names a field of a request and what to write."""
    return RefusedError(f'{field}: {expected}', step='read request')


def parse_text(
    document: dict[str, Any],
    field: str,
) -> Result[str, TurmericmastError]:
    """Return the value of a field that must be a non-empty string."""
    text = document.get(field)
    if isinstance(text, str) and 0 < len(text):
        return Success(text)
    return Failure(invalid_field_error(field, 'write a non-empty string'))


def parse_proposal(
    document: dict[str, Any],
) -> Result[RegionCommand, TurmericmastError]:
    """Return the command that proposes a new fleet document."""
    version = document.get('base_version')
    if not isinstance(version, int):
        return Failure(
            invalid_field_error(
                'base_version',
                'write the version that the document was made from',
            )
        )
    return parse_text(document, 'change').bind(
        lambda change: parse_text(document, 'base_digest').bind(
            lambda digest: parse_text(document, 'document').map(
                lambda text: ProposeFleet(
                    ChangeId(change[:MAX_CHANGE_LENGTH]),
                    Version(version),
                    Digest(digest),
                    text,
                ),
            ),
        ),
    )


def parse_outage(
    document: dict[str, Any],
) -> Result[RegionCommand, TurmericmastError]:
    """Return the command that sets or ends an outage."""
    kind = document.get('kind')
    if kind not in OutageKind.__members__:
        return Failure(invalid_field_error('kind', 'write domain or target'))
    if not isinstance(document.get('out'), bool):
        return Failure(
            invalid_field_error(
                'out', 'write true to take out, false to return'
            )
        )
    return parse_text(document, 'change').bind(
        lambda change: parse_text(document, 'name').map(
            lambda name: SetOutage(
                ChangeId(change[:MAX_CHANGE_LENGTH]),
                OutageKind[str(kind)],
                name,
                bool(document['out']),
                str(document.get('reason', '')),
            ),
        ),
    )


def parse_lift(
    document: dict[str, Any],
) -> Result[RegionCommand, TurmericmastError]:
    """Return the command that lifts the quarantine of a request."""
    return parse_text(document, 'change').bind(
        lambda change: parse_text(document, 'fingerprint').map(
            lambda fingerprint: LiftQuarantine(
                ChangeId(change[:MAX_CHANGE_LENGTH]),
                Fingerprint(fingerprint),
            ),
        ),
    )
