"""Use of bytes that answer no request, with log lines and metrics."""

from collections.abc import Callable, Iterable
from typing import final

from turmericmast.balance.framing import Framing, Framings, Stutter
from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.ids import TargetId
from turmericmast.metrics import Metrics
from turmericmast.web.edgeevents import EdgeEvent
from turmericmast.web.keptconnections import KeptConnections, StrayBytes


@final
class FramingReports:
    """Records which targets send bytes that answer no request.

    These get a new connection for each request for a while.
    """

    def __init__(
        self,
        find_targets: Callable[[str], Iterable[TargetId]],
        kept_connections: KeptConnections,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Record them; ``find_targets`` returns the targets at an address."""
        self._find_targets = find_targets
        self._kept_connections = kept_connections
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._framings = Framings()
        kept_connections.on_stray = self._apply_stray
        metrics.gauge('targets_stuttering', self._framings.doubted)

    def keeps_connections(self, address: str) -> bool:
        """Tell whether a connection to an address may serve more requests."""
        return self._framings.keeps_connections(address)

    def apply_stutter(self, address: str, stutter: Stutter) -> None:
        """Record that the target at an address has sent such bytes."""
        self._metrics.count('stutters', stutter=stutter.value)
        now = self._clock.now()
        changed = self._framings.stutter(address, now)
        if changed:
            self._log_change(address, changed, stutter.value)
            # On one that is open, the next bytes may be late ones, too.
            self._kept_connections.retire(address)

    def apply_response(self, address: str) -> None:
        """Record a response to its request."""
        changed = self._framings.respond(address, self._clock.now())
        if changed:
            self._log_change(address, changed, 'used')

    def _apply_stray(self, stray: StrayBytes) -> None:
        self._events.write(
            EdgeEvent.stray_bytes.value,
            peer=stray.address,
            target=','.join(self._find_targets(stray.address)),
            stutter=stray.stutter.value,
            request=stray.last_request,
            served=stray.served,
            octets=stray.octets,
        )
        self.apply_stutter(stray.address, stray.stutter)

    def _log_change(self, address: str, framing: Framing, cause: str) -> None:
        self._events.write(
            EdgeEvent.target_framing.value,
            peer=address,
            target=','.join(self._find_targets(address)),
            connections=framing.use.value,
            cause=cause,
            doubt_s=framing.doubt,
        )
