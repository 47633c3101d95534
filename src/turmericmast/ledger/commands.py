"""Commands of the ledger; each goes through the replicated log."""

import dataclasses
from typing import TypeAlias, final

from turmericmast.ids import CallId, Fingerprint, RequestKey
from turmericmast.ledger.record import KeptAnswer


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """An entry is about to send a keyed request."""

    key: RequestKey
    attempt: CallId
    fingerprint: Fingerprint
    at_ms: int
    expires_ms: int
    retention_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """The target answered."""

    key: RequestKey
    attempt: CallId
    answer: KeptAnswer
    at_ms: int
    retention_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The attempt provably did not run, and never will."""

    key: RequestKey
    attempt: CallId
    fingerprint: Fingerprint
    at_ms: int
    retention_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Purge:
    """Drop records that nobody will ask for any more."""

    before_ms: int


LedgerCommand: TypeAlias = Begin | Settle | GiveUp | Purge
