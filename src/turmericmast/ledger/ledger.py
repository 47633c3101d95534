"""The ledger aggregate: one record for each keyed request."""

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
    """The answer to a command: the verdict, and the kept answer if any."""

    verdict: Verdict
    answer: KeptAnswer | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """Everything that ``Ledger`` keeps."""

    records: tuple[Record, ...]


@final
class Ledger:
    """Lets each key run at most once and remembers how it ended."""

    def __init__(self) -> None:
        """Start empty."""
        self.record_by_key: dict[RequestKey, Record] = {}

    @functools.singledispatchmethod
    def apply(self, command: object) -> Standing:
        """Apply one command in the order of the log."""
        raise TypeError(command)

    def snapshot(self) -> LedgerSnapshot:
        """Return all records."""
        return LedgerSnapshot(tuple(self.record_by_key.values()))

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Take the records of a snapshot."""
        self.record_by_key = {one.key: one for one in snapshot.records}

    @apply.register
    def _begin(self, command: commands.Begin) -> Standing:
        known = self.record_by_key.get(command.key)
        verdict = (
            known.judge(command.attempt, command.fingerprint, command.at_ms)
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
        kept = {
            key: record
            for key, record in self.record_by_key.items()
            if record.keep_until_ms >= command.before_ms
        }
        self.record_by_key = kept
        return Standing(Verdict.withdrawn)
