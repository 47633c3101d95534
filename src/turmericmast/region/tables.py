"""Small tables of a region: outages, suspect requests, other regions."""

import dataclasses
import functools
from typing import TypeAlias, final

from returns.result import Failure, Success

from turmericmast.exceptions import RefusedError
from turmericmast.ids import Fingerprint, Index
from turmericmast.region import commands
from turmericmast.region.part import DONE, Answer, Part, SeenChanges
from turmericmast.region.records import Outage, Suspicion
from turmericmast.region.view import RegionView

MAX_SUSPICIONS = 1000
"""Suspect requests remembered at the most."""
QUARANTINE_MS = 600_000
"""How long a request stays suspect after its last crash."""

TableCommand: TypeAlias = (
    commands.SetOutage
    | commands.Suspect
    | commands.Acquit
    | commands.LiftQuarantine
    | commands.NoteSummary
)


@final
class Tables(Part[TableCommand]):
    """Tables that travel to the entries as a whole."""

    def __init__(self, view: RegionView) -> None:
        """Start with empty tables."""
        super().__init__(view)
        self.changed = Index(0)
        self.seen = SeenChanges()

    @functools.singledispatchmethod
    def apply(self, command: TableCommand) -> Answer:
        """Apply one command."""
        raise TypeError(command)

    @apply.register
    def _set_outage(self, command: commands.SetOutage) -> Answer:
        repeated = self.seen.repeated(command.change, repr(command))
        if repeated:
            return repeated
        table = self.view.outage_by_name
        name = (command.kind, command.name)
        if command.out:
            table[name] = Outage(command.kind, command.name, command.reason)
        else:
            table.pop(name, None)
        self.changed = self.index
        return DONE

    @apply.register
    def _suspect(self, command: commands.Suspect) -> Answer:
        table = self.view.suspicion_by_fingerprint
        self._forget_old(command.at_ms)
        known = table.pop(command.fingerprint, None)
        # Requests that were at their targets when the first one was lost
        # prove nothing: a whole failure domain may have gone at once.
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
        self.changed = self.index
        return Success(suspicion)

    @apply.register
    def _acquit(self, command: commands.Acquit) -> Answer:
        if self.view.suspicion_by_fingerprint.pop(command.fingerprint, None):
            self.changed = self.index
        return DONE

    @apply.register
    def _lift(self, command: commands.LiftQuarantine) -> Answer:
        repeated = self.seen.repeated(command.change, repr(command))
        if repeated:
            return repeated
        fingerprint = Fingerprint(command.fingerprint)
        if not self.view.suspicion_by_fingerprint.pop(fingerprint, None):
            return Failure(
                RefusedError(
                    f'{fingerprint} is not quarantined here',
                    step='lift quarantine',
                    hint='look at the list with: turmericmast-admin status',
                ),
            )
        self.changed = self.index
        return DONE

    @apply.register
    def _note_summary(self, command: commands.NoteSummary) -> Answer:
        summary = command.summary
        self.view.summary_by_region[summary.region] = summary
        self.changed = self.index
        return DONE

    def _forget_old(self, at_ms: int) -> None:
        table = self.view.suspicion_by_fingerprint
        old = [
            one.fingerprint for one in table.values() if one.until_ms <= at_ms
        ]
        excess = list(table)[: max(len(table) - MAX_SUSPICIONS, 0)]
        for fingerprint in (*old, *excess):
            table.pop(fingerprint, None)
