"""Commands that change a ledger; each is committed to the replicated log.

Times named ``*_ms`` are wall times in milliseconds; ``retention_ms`` is how
long a record is kept after its request has ended.
"""

import dataclasses
from typing import TypeAlias, final

from turmericmast.ids import CallId, Fingerprint, RequestKey
from turmericmast.ledger.record import KeptAnswer


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Ask whether an attempt may send a keyed request, and record it if so."""

    key: RequestKey
    attempt: CallId
    fingerprint: Fingerprint
    at_ms: int
    expires_ms: int
    """Wall time after which the attempt can no longer finish."""
    retention_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Keep the answer that a target gave to an attempt."""

    key: RequestKey
    attempt: CallId
    answer: KeptAnswer
    at_ms: int
    retention_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Record that an attempt provably did not run and never will.

    The key is free for another attempt; this one may not begin any more.
    """

    key: RequestKey
    attempt: CallId
    fingerprint: Fingerprint
    at_ms: int
    retention_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Purge:
    """Drop the records whose retention ended before a wall time."""

    before_ms: int


LedgerCommand: TypeAlias = Begin | Settle | GiveUp | Purge
