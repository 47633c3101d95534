"""From JSON requests of operators to commands."""

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


def bad_field(field: str, wanted: str) -> RefusedError:
    """Return the error of a field that cannot be used."""
    return RefusedError(f'{field}: {wanted}', step='read request')


def read_text(
    document: dict[str, Any],
    field: str,
) -> Result[str, TurmericmastError]:
    """Return a field that must be a non-empty text."""
    text = document.get(field)
    if isinstance(text, str) and 0 < len(text):
        return Success(text)
    return Failure(bad_field(field, 'write a non-empty string'))


def read_proposal(
    document: dict[str, Any],
) -> Result[RegionCommand, TurmericmastError]:
    """Return the change of the fleet document that a request asks for."""
    version = document.get('base_version')
    if not isinstance(version, int):
        return Failure(
            bad_field('base_version', 'write the version it is made for')
        )
    return read_text(document, 'change').bind(
        lambda change: read_text(document, 'base_digest').bind(
            lambda digest: read_text(document, 'document').map(
                lambda text: ProposeFleet(
                    ChangeId(change[:MAX_CHANGE_LENGTH]),
                    Version(version),
                    Digest(digest),
                    text,
                ),
            ),
        ),
    )


def read_outage(
    document: dict[str, Any],
) -> Result[RegionCommand, TurmericmastError]:
    """Return the outage, or its end, that a request asks for."""
    kind = document.get('kind')
    if kind not in OutageKind.__members__:
        return Failure(bad_field('kind', 'write domain or target'))
    if not isinstance(document.get('out'), bool):
        return Failure(
            bad_field('out', 'write true to take out, false to return')
        )
    return read_text(document, 'change').bind(
        lambda change: read_text(document, 'name').map(
            lambda name: SetOutage(
                ChangeId(change[:MAX_CHANGE_LENGTH]),
                OutageKind[str(kind)],
                name,
                bool(document['out']),
                str(document.get('reason', '')),
            ),
        ),
    )


def read_lift(
    document: dict[str, Any],
) -> Result[RegionCommand, TurmericmastError]:
    """Return the end of a quarantine that a request asks for."""
    return read_text(document, 'change').bind(
        lambda change: read_text(document, 'fingerprint').map(
            lambda fingerprint: LiftQuarantine(
                ChangeId(change[:MAX_CHANGE_LENGTH]),
                Fingerprint(fingerprint),
            ),
        ),
    )
