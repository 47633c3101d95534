"""Use of bytes that answer no request, with log lines and metrics."""

from typing import final

from turmericmast.edge.edge import Edge
from turmericmast.events import EventLog
from turmericmast.metrics import Metrics
from turmericmast.web.edgeevents import EdgeEvent
from turmericmast.web.keptconnections import StrayBytes


@final
class FramingReports:
    """Records which targets send bytes that answer no request."""

    def __init__(self, edge: Edge, metrics: Metrics, events: EventLog) -> None:
        """Record them for the targets of ``edge``."""
        self._edge = edge
        self._metrics = metrics
        self._events = events

    def apply_stray(self, stray: StrayBytes) -> None:
        """Record bytes on the connection to a target or another instance."""
        self._metrics.count('stutters', stutter=stray.stutter.value)
        targets = (
            view.record.target
            for view in self._edge.views()
            if view.record.address == stray.address
        )
        self._events.write(
            EdgeEvent.stray_bytes.value,
            peer=stray.address,
            target=','.join(targets),
            stutter=stray.stutter.value,
            request=stray.last_request,
            served=stray.served,
            octets=stray.octets,
        )
