"""The ledger record aggregate: the life of one keyed request."""

import dataclasses
import enum
from typing import final

from turmericmast.ids import CallId, Fingerprint, RequestKey


@final
class RecordState(enum.Enum):
    """What the ledger knows of a request."""

    started = 1
    done = 2
    not_run = 3


@final
class Verdict(enum.Enum):
    """What an entry may do with a request."""

    run = 1
    """Send it to a target, once."""
    wait = 2
    """Another attempt is under way."""
    replay = 3
    """Give the answer that was kept."""
    unknown = 4
    """An attempt ended without a trace; it may have run."""
    mismatch = 5
    """The key belongs to a different request."""
    withdrawn = 6
    """This very attempt was given up before it began."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header line of a kept answer."""

    name: str
    content: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The answer of a target, kept for those who ask again."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes
    is_whole: bool
    """Whether the body was small enough to be kept."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A keyed request and its attempt."""

    key: RequestKey
    attempt: CallId
    state: RecordState
    fingerprint: Fingerprint
    expires_ms: int
    """Wall time after which the attempt cannot finish any more."""
    keep_until_ms: int
    """Wall time after which the record may be dropped."""
    answer: KeptAnswer | None = None

    def judge(
        self,
        attempt: CallId,
        fingerprint: Fingerprint,
        at_ms: int,
    ) -> Verdict:
        """Say what an attempt to run the request must do."""
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
