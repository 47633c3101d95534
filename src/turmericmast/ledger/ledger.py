"""The ledger aggregate: a state machine with a record for each key."""

import dataclasses
import functools
from typing import final

from turmericmast.ids import RequestKey
from turmericmast.ledger import commands
from turmericmast.ledger.record import (
    KeptAnswer,
    Record,
    RecordState,
    Verdict,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """The result of a command: a verdict, and the kept answer on a replay."""

    verdict: Verdict
    answer: KeptAnswer | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """The state of a ``Ledger``."""

    records: tuple[Record, ...]


@final
class Ledger:
    """Lets each keyed request run at most once and keeps its answer.

    An attempt runs only after its ``Begin`` got ``Verdict.run``.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.record_by_key: dict[RequestKey, Record] = {}

    @functools.singledispatchmethod
    def apply(self, command: object) -> Standing:
        """Apply one command in log order and return its result."""
        raise TypeError(command)

    def snapshot(self) -> LedgerSnapshot:
        """Return a snapshot of all records."""
        return LedgerSnapshot(tuple(self.record_by_key.values()))

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace all records with those of a snapshot."""
        self.record_by_key = {record.key: record for record in snapshot.records}

    @apply.register
    def _begin(self, command: commands.Begin) -> Standing:
        known = self.record_by_key.get(command.key)
        verdict = (
            known.verdict_for(
                command.attempt,
                command.fingerprint,
                command.at_ms,
            )
            if known
            else Verdict.run
        )
        if verdict is Verdict.run:
            self.record_by_key[command.key] = Record(
                key=command.key,
                attempt=command.attempt,
                state=RecordState.started,
                fingerprint=command.fingerprint,
                expires_ms=command.expires_ms,
                keep_until_ms=command.expires_ms + command.retention_ms,
            )
        is_replay = known is not None and verdict is Verdict.replay
        return Standing(verdict, known.answer if known and is_replay else None)

    @apply.register
    def _settle(self, command: commands.Settle) -> Standing:
        known = self.record_by_key.get(command.key)
        if known and known.attempt == command.attempt:
            self.record_by_key[command.key] = dataclasses.replace(
                known,
                state=RecordState.done,
                answer=command.answer,
                keep_until_ms=command.at_ms + command.retention_ms,
            )
        return Standing(Verdict.replay)

    @apply.register
    def _give_up(self, command: commands.GiveUp) -> Standing:
        known = self.record_by_key.get(command.key)
        is_own = known is None or known.attempt == command.attempt
        is_open = known is None or known.state is RecordState.started
        if is_own and is_open:
            self.record_by_key[command.key] = Record(
                key=command.key,
                attempt=command.attempt,
                state=RecordState.not_run,
                fingerprint=command.fingerprint,
                expires_ms=command.at_ms,
                keep_until_ms=command.at_ms + command.retention_ms,
            )
        return Standing(Verdict.withdrawn)

    @apply.register
    def _purge(self, command: commands.Purge) -> Standing:
        remaining = {
            key: record
            for key, record in self.record_by_key.items()
            if record.keep_until_ms >= command.before_ms
        }
        self.record_by_key = remaining
        return Standing(Verdict.withdrawn)
