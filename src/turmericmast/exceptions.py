"""Errors of the package; each carries the step and the peer it arose at."""

from typing import final


class TurmericmastError(Exception):
    """Base class of all errors.

    ``step`` names what was being done, ``peer`` the process or address it
    was done with (empty when local), ``hint`` tells the reader what to do.
    """

    exit_status = 1

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        hint: str = '',
    ) -> None:
        """Keep the parts apart, so that callers can log them as fields."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.hint = hint

    def __str__(self) -> str:
        """Return the one-line form."""
        return self.show()

    @final
    def show(self) -> str:
        """Return one line: step, peer, message and hint."""
        place = f'{self.step} ({self.peer})' if self.peer else self.step
        line = f'{place}: {self.message}'
        return f'{line}; {self.hint}' if self.hint else line


class SettingsError(TurmericmastError):
    """A settings or configuration document is wrong."""

    exit_status = 2


class WireError(TurmericmastError):
    """A message could not be encoded, decoded or exchanged."""


class NotLeaderError(TurmericmastError):
    """The replica asked does not lead its group; ``peer`` is its guess."""


class DiskError(TurmericmastError):
    """The data folder holds something that cannot be trusted."""


class RefusedError(TurmericmastError):
    """A rule of an aggregate refuses the request."""


@final
class ConflictError(RefusedError):
    """A change was made against a version that is not in place any more."""
