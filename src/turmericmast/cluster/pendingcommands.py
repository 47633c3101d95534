"""Commands that were appended to the log and are not applied yet."""

import collections
import contextlib
from collections.abc import Hashable, Iterator
from typing import TypeAlias, final

from turmericmast.cluster import commands

Subject: TypeAlias = tuple[type, Hashable]
"""What a command changes: the kind of orders about it, and its id."""


@final
class PendingCommands:
    """Counts the pending commands by what they change.

    An order is checked against the applied state, so it waits for commands
    that precede it in the log and change the same.
    """

    def __init__(self) -> None:
        """Begin without pending commands."""
        self._count_by_subject: collections.Counter[Subject] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def track(self, command: commands.ClusterCommand) -> Iterator[None]:
        """Count a command as pending within the context."""
        subjects = _subjects(command)
        self._count_by_subject.update(subjects)
        try:
            yield
        finally:
            for subject in subjects:
                self._release(subject)

    def precede(self, order: commands.Order) -> bool:
        """Tell whether pending commands change what ``order`` changes."""
        return not self._count_by_subject.keys().isdisjoint(_subjects(order))

    def _release(self, subject: Subject) -> None:
        self._count_by_subject[subject] -= 1
        if not self._count_by_subject[subject]:
            self._count_by_subject.pop(subject)


def _subjects(command: commands.ClusterCommand) -> tuple[Subject, ...]:
    match command:
        case commands.SetEvacuation(domain=domain):
            return ((commands.SetEvacuation, domain),)
        case commands.ReportTarget(record=record):
            return ((commands.RemoveTargets, record.target),)
        case commands.RemoveTargets(targets=targets):
            return tuple((commands.RemoveTargets, target) for target in targets)
    return ()
