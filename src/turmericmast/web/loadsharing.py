"""Keeps the instances' common knowledge of load up to date."""

from types import TracebackType
from typing import Any, Self, final

from tornado.ioloop import PeriodicCallback

from turmericmast.balance.news import LoadNews
from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.edge.edge import Edge
from turmericmast.edge.gossip import LoadGossip
from turmericmast.metrics import Metrics
from turmericmast.web.probing import Prober
from turmericmast.wire.datagrams import DatagramEndpoint

TICK_MS = 30
"""Time between two looks at what is due; a quarter of a report's age."""


@final
class LoadSharing:
    """Probes what is due, and passes on what was learned."""

    def __init__(
        self,
        edge: Edge,
        prober: Prober,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Serve ``edge``; ``open`` begins."""
        self._edge = edge
        self._gossip = LoadGossip(edge)
        self._prober = prober
        self._clock = clock
        self._datagrams = DatagramEndpoint(metrics, self._receive)
        self._ticker = PeriodicCallback(self._tick, TICK_MS)

    def __enter__(self) -> Self:
        """Return the newsroom."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop."""
        with self._datagrams:
            self._ticker.stop()

    async def open(self, address: str) -> None:
        """Listen for news, and begin to probe."""
        self._prober.on_result = self.share_result
        await self._datagrams.open(address)
        self._ticker.start()

    def share_result(self, view: TargetView, *, is_lost: bool = False) -> None:
        """Tell the neighbours what was learned of a target."""
        peers = self._gossip.domain_peers()
        if peers:
            news = self._gossip.load_news(
                view,
                self._clock.now(),
                is_lost=is_lost,
            )
            self._datagrams.send(news, peers)

    def announce_request(self, view: TargetView) -> None:
        """Tell the neighbours that a request is about to be sent."""
        peers = self._gossip.domain_peers()
        if peers:
            self._datagrams.send(self._gossip.request_news(view), peers)

    def _tick(self) -> None:
        now = self._clock.now()
        for view in self._gossip.probes_due(now):
            path = self._edge.health_path(view.record.service)
            if path:
                self._prober.start(view, path)
        digest = self._gossip.digest(now)
        if digest and digest.loads:
            self._datagrams.send(digest, self._gossip.delegates())

    def _receive(self, message: Any) -> None:
        if not isinstance(message, LoadNews):
            return
        self._gossip.receive(message, self._clock.now())
        if message.hand_on:
            self._datagrams.send(
                LoadNews(message.domain, hand_on=False, loads=message.loads),
                self._gossip.domain_peers(),
            )
