"""The record that a ledger keeps of one keyed request."""

import dataclasses
import enum
from typing import final

from turmericmast.ids import CallId, Fingerprint, RequestKey


@final
class RecordState(enum.Enum):
    """How far the last attempt of a keyed request has come."""

    started = 1
    """It may have been sent; its end is not known."""
    done = 2
    """A target answered it."""
    not_run = 3
    """It provably did not run and never will."""


@final
class Verdict(enum.Enum):
    """What an entry must do with an attempt at a keyed request."""

    run = 1
    """Send it to a target, once."""
    wait = 2
    """Ask again later; another attempt is in flight."""
    replay = 3
    """Return the kept answer without sending the request."""
    unknown = 4
    """Refuse it; an earlier attempt expired and may have run."""
    mismatch = 5
    """Refuse it; the key was used for a different request."""
    withdrawn = 6
    """Refuse it; this attempt was given up before it began."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header line of a kept answer."""

    name: str
    content: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The answer of a target, kept for resends of its request."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes
    is_whole: bool
    """Whether the body was small enough to keep; if not, it is empty."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A keyed request and the last attempt to run it."""

    key: RequestKey
    attempt: CallId
    state: RecordState
    fingerprint: Fingerprint
    expires_ms: int
    """Wall time after which the attempt can no longer finish."""
    keep_until_ms: int
    """Wall time after which the record may be dropped."""
    answer: KeptAnswer | None = None

    def verdict_for(
        self,
        attempt: CallId,
        fingerprint: Fingerprint,
        at_ms: int,
    ) -> Verdict:
        """Return what an attempt to run the request must do.

        ``at_ms`` is the wall time of the attempt.
        """
        if fingerprint != self.fingerprint:
            return Verdict.mismatch
        if self.state is RecordState.done:
            return Verdict.replay
        if self.state is RecordState.not_run:
            is_same = attempt == self.attempt
            return Verdict.withdrawn if is_same else Verdict.run
        if attempt == self.attempt:
            return Verdict.run
        return Verdict.wait if at_ms < self.expires_ms else Verdict.unknown
