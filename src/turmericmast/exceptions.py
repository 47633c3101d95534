"""Errors of the package, with the step and the peer where they occurred."""

from typing import final

from turmericmast.ids import Index


class TurmericmastError(Exception):
    """Base class of all errors.

    ``step`` names the operation that failed, ``peer`` the process, address or
    file involved (empty if none), ``hint`` what the reader should do.
    """

    exit_status = 1
    """Exit status of a program that ends with this error."""

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        hint: str = '',
    ) -> None:
        """Store the parts separately, so that they can be logged as fields."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.hint = hint

    def __str__(self) -> str:
        """Return the error in one line."""
        return self.show()

    @final
    def show(self) -> str:
        """Return one line: step, peer, message and hint."""
        place = f'{self.step} ({self.peer})' if self.peer else self.step
        line = f'{place}: {self.message}'
        return f'{line}; {self.hint}' if self.hint else line


class SettingsError(TurmericmastError):
    """A settings file, route document or report is invalid."""

    exit_status = 2


class WireError(TurmericmastError):
    """A message could not be encoded, decoded or exchanged."""


class NotLeaderError(TurmericmastError):
    """The replica is not the leader; ``peer`` is the presumed one."""


class DiskError(TurmericmastError):
    """The data folder is damaged or cannot be used."""


class RefusedError(TurmericmastError):
    """A rule of an aggregate rejects the request."""


@final
class ConflictError(RefusedError):
    """A change is based on a version that is no longer current."""


@final
class OvertakenError(TurmericmastError):
    """An order may have been sent before a later one that it would undo.

    ``index`` covers the later order. A sender that is still there can send its
    order again, and show by this index that it did so afterwards.
    """

    def __init__(self, index: Index, *, step: str) -> None:
        """Store the index."""
        super().__init__(
            'the cluster has changed since the order may have been sent',
            step=step,
            hint='follow the redirection if the order still holds',
        )
        self.index = index
