"""Commands on outages, suspect requests and summaries of other regions."""

import dataclasses
import functools
from typing import TypeAlias, final

from returns.result import Failure, Success

from turmericmast.exceptions import RefusedError
from turmericmast.ids import Fingerprint, Index
from turmericmast.region import commands
from turmericmast.region.handler import (
    DONE,
    Answer,
    CommandHandler,
    SeenChanges,
)
from turmericmast.region.records import Outage, Suspicion
from turmericmast.region.view import RegionView

MAX_SUSPICIONS = 1000
"""Suspect requests kept; those reported longest ago are dropped first."""
QUARANTINE_MS = 600_000
"""Milliseconds that a request stays suspect after its last counted crash."""

TableCommand: TypeAlias = (
    commands.SetOutage
    | commands.Suspect
    | commands.Acquit
    | commands.LiftQuarantine
    | commands.NoteSummary
)


@final
class TablesHandler(CommandHandler[TableCommand]):
    """Changes the tables that feeds carry whole, not record by record."""

    def __init__(self, view: RegionView) -> None:
        """Start with no changes seen."""
        super().__init__(view)
        self.changed_index = Index(0)
        """Log index of the last change of any of the tables."""
        self.seen = SeenChanges()

    @functools.singledispatchmethod
    def apply(self, command: TableCommand) -> Answer:
        """Apply one command and return its result."""
        raise TypeError(command)

    @apply.register
    def _set_outage(self, command: commands.SetOutage) -> Answer:
        resend_answer = self.seen.deduplicate(command.change, repr(command))
        if resend_answer:
            return resend_answer
        table = self.view.outage_by_name
        name = (command.kind, command.name)
        if command.out:
            table[name] = Outage(command.kind, command.name, command.reason)
        else:
            table.pop(name, None)
        self.changed_index = self.index
        return DONE

    @apply.register
    def _suspect(self, command: commands.Suspect) -> Answer:
        table = self.view.suspicion_by_fingerprint
        self._prune_suspicions(command.at_ms)
        known = table.pop(command.fingerprint, None)
        # An attempt sent before the last counted crash does not count: a
        # failure domain that fails loses many targets at the same time.
        suspicion = Suspicion(
            command.fingerprint,
            1,
            command.at_ms,
            command.at_ms + QUARANTINE_MS,
        )
        if known and command.started_ms < known.last_ms:
            suspicion = known
        elif known:
            suspicion = dataclasses.replace(
                suspicion,
                crashes=known.crashes + 1,
            )
        table[command.fingerprint] = suspicion
        self.changed_index = self.index
        return Success(suspicion)

    @apply.register
    def _acquit(self, command: commands.Acquit) -> Answer:
        if self.view.suspicion_by_fingerprint.pop(command.fingerprint, None):
            self.changed_index = self.index
        return DONE

    @apply.register
    def _lift(self, command: commands.LiftQuarantine) -> Answer:
        resend_answer = self.seen.deduplicate(command.change, repr(command))
        if resend_answer:
            return resend_answer
        fingerprint = Fingerprint(command.fingerprint)
        if not self.view.suspicion_by_fingerprint.pop(fingerprint, None):
            return Failure(
                RefusedError(
                    f'{fingerprint} is not quarantined here',
                    step='lift quarantine',
                    hint='look at the list with: turmericmast-admin status',
                ),
            )
        self.changed_index = self.index
        return DONE

    @apply.register
    def _note_summary(self, command: commands.NoteSummary) -> Answer:
        summary = command.summary
        self.view.summary_by_region[summary.region] = summary
        self.changed_index = self.index
        return DONE

    def _prune_suspicions(self, at_ms: int) -> None:
        table = self.view.suspicion_by_fingerprint
        expired = [
            suspicion.fingerprint
            for suspicion in table.values()
            if suspicion.until_ms <= at_ms
        ]
        excess = list(table)[: max(len(table) - MAX_SUSPICIONS, 0)]
        for fingerprint in (*expired, *excess):
            table.pop(fingerprint, None)
