"""The connection of one transfer, from its first byte until it is given up."""

import dataclasses
from collections.abc import Callable
from typing import final

from turmericmast.balance.framing import Stutter
from turmericmast.web.connections import AddressPair, Connection, Descriptor
from turmericmast.web.curl import CurlClient
from turmericmast.web.lingering import Duplicate
from turmericmast.web.rawhead import RawHead
from turmericmast.web.receivedbytes import ReceivedBytes


@final
@dataclasses.dataclass(frozen=True)
class TransferEnd:
    """How curl has ended a transfer."""

    is_whole: bool
    """Whether a whole response was received."""
    is_foreign: bool
    """Whether the response was rejected, so that a second one may follow."""
    has_excess: bool
    """Whether curl has read bytes behind the response."""
    kept: Descriptor
    """The connection that curl keeps for a later transfer, -1 if none."""


@final
class UsedConnection:
    """Follows the connection of a transfer and decides how it is given up."""

    def __init__(self, curl: CurlClient) -> None:
        """Begin without a connection."""
        self._curl = curl
        self._connection: Connection | None = None
        self._held: Duplicate | None = None
        """Keeps the connection open until the end of the transfer."""
        self._raw_head: RawHead | None = None

    def begin(self, pair: AddressPair, address: str, request: str) -> bool:
        """Note that ``request`` is about to be sent to ``address``.

        Return whether the connection that curl chose may be used.
        """
        self._connection = self._curl.connections.find(pair)
        return self._connection is None or (
            self._curl.kept_connections.begin_use(
                self._connection, address, request
            )
        )

    def count_received(self) -> ReceivedBytes | None:
        """Begin to count what is received from now on, if that is possible."""
        return self._connection and ReceivedBytes(self._connection)

    def watch_head(self, received: ReceivedBytes | None) -> RawHead | None:
        """Begin to look at the heads that arrive, if that is possible."""
        if self._connection is None or received is None:
            return None
        self._raw_head = RawHead(self._connection.descriptor, received)
        self._curl.watch_head(self._raw_head)
        return self._raw_head

    def unwatch_head(self) -> None:
        """Stop to look at heads, since the last one has arrived."""
        if self._raw_head:
            self._curl.unwatch_head(self._raw_head)
        self._raw_head = None

    def retire(self) -> None:
        """Use the connection for no further request."""
        if self._connection:
            self._connection.is_retired = True

    def hold(self) -> None:
        """Keep the connection open while curl may close it."""
        if self._connection and not self._held:
            self._held = self._curl.kept_connections.hold(self._connection)

    def release(self) -> None:
        """Leave the connection to curl, which closes it at once."""
        self.unwatch_head()
        if self._held:
            self._curl.kept_connections.release(self._held)
        self._held = None

    def end(
        self, ended: TransferEnd, was_closed_for_excess: Callable[[], bool]
    ) -> None:
        """Give the connection up as the transfer has ended.

        ``was_closed_for_excess`` tells whether only further bytes can be why
        curl has closed it.
        """
        if self._connection:
            self._give_up(self._connection, ended, was_closed_for_excess)
        self.release()

    def _give_up(
        self,
        connection: Connection,
        ended: TransferEnd,
        was_closed_for_excess: Callable[[], bool],
    ) -> None:
        is_kept = connection.descriptor == ended.kept
        stutter = Stutter.excess if ended.is_whole else None
        if ended.has_excess or (
            ended.is_whole and not is_kept and was_closed_for_excess()
        ):
            connection.is_retired = True
            self._curl.kept_connections.report(Stutter.excess, connection)
            stutter = None
        if is_kept:
            self._curl.kept_connections.keep(connection)
        elif ended.is_whole or ended.is_foreign:
            self._linger(connection, stutter)

    def _linger(self, connection: Connection, stutter: Stutter | None) -> None:
        """Let the target end a second response; ``stutter`` is reported."""
        held = self._held
        self._held = None
        if held:
            self._curl.kept_connections.linger(held, connection, stutter)
