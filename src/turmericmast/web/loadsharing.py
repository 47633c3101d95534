"""Background probes, and load gossip between instances over UDP."""

from collections.abc import Iterable
from types import TracebackType
from typing import Any, Self, final

from tornado.ioloop import PeriodicCallback

from turmericmast.balance.news import LoadNews
from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.edge.edge import Edge
from turmericmast.edge.gossip import LoadGossip, Parcel
from turmericmast.metrics import Metrics
from turmericmast.web.probing import Prober
from turmericmast.wire.datagrams import DatagramEndpoint

TICK_INTERVAL_MS = 30
"""Milliseconds between two checks for due probes and collected news.

A quarter of the age at which load reports are refreshed.
"""


@final
class LoadSharing:
    """Probes the assigned targets and exchanges load reports.

    ``LoadGossip`` decides what to probe and what to send to whom.
    """

    def __init__(
        self,
        edge: Edge,
        prober: Prober,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Prepare for ``edge``; ``open`` starts."""
        self._edge = edge
        self._gossip = LoadGossip(edge)
        self._prober = prober
        self._clock = clock
        self._datagrams = DatagramEndpoint(metrics, self._receive)
        self._ticker = PeriodicCallback(self._tick, TICK_INTERVAL_MS)

    def __enter__(self) -> Self:
        """Return the object itself; leaving the context stops it."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop probing and close the socket."""
        with self._datagrams:
            self._ticker.stop()

    async def open(self, address: str) -> None:
        """Listen on ``address`` and start to probe."""
        self._prober.on_result = self.share_result
        await self._datagrams.open(address)
        self._ticker.start()

    def share_result(self, view: TargetView, *, is_lost: bool = False) -> None:
        """Tell the domain the load of a target, or its loss."""
        self._send(
            self._gossip.share_load(view, self._clock.now(), is_lost=is_lost)
        )

    def announce_request(self, view: TargetView) -> None:
        """Tell the domain that a request is about to be sent."""
        self._send(self._gossip.announce_request(view))

    def _tick(self) -> None:
        now = self._clock.now()
        for view in self._gossip.probes_due(now):
            path = self._edge.health_path(view.record.service)
            if path:
                self._prober.start(view, path)
        self._send(self._gossip.forward(now))

    def _send(self, parcels: Iterable[Parcel]) -> None:
        for parcel in parcels:
            self._datagrams.send(parcel.news, parcel.peers)

    def _receive(self, message: Any) -> None:
        if isinstance(message, LoadNews):
            self._gossip.receive(message, self._clock.now())
