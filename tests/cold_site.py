"""Three instances and six targets that become cold again, in virtual time."""

import asyncio
import bisect
import dataclasses
import random
import unittest.mock
from collections import defaultdict
from typing import Any, cast

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from tests.edge_harness import HEALTH_URL_END, unsplit_document
from tests.edge_samples import NOW, edge, feed, instance, target
from tests.virtual_time import LoopClock, VirtualTimeLoop
from turmericmast.balance.linkpace import LinkPace
from turmericmast.call.call import Loss
from turmericmast.cluster.records import EdgeRecord, TargetRecord
from turmericmast.edge.gossip import Parcel
from turmericmast.ids import TargetId
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.loadsharing import LoadSharing
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.probing import Prober
from turmericmast.web.requestreading import read_request
from turmericmast.web.transfer import Progress, ResponseHead, TransferRequest

DOMAINS = ('tirol-a', 'tirol-b', 'wien-a')
TARGETS_OF_A_DOMAIN = 2
SPELL = 3.0
"""Seconds for which a target is cold."""
ALLOWED = 1.5 * 13 + 5
"""Requests of a second that a cold target may get.

Of the rule for cold targets: its rate, the multiplier and the slack."""
TRIP = 0.0005
"""Seconds from one process to another."""


@dataclasses.dataclass(frozen=True)
class Load:
    """What callers and targets do."""

    requests_per_second: float = 180
    """Requests a second in each domain."""
    work: float = 0.02
    """Seconds of work of a request."""
    instances_of_a_domain: int = 1
    spells: int = 3
    length: float = 5.0
    """Seconds of the run."""


@dataclasses.dataclass
class Target:
    """A target that serves some requests at a time, in their order."""

    record: TargetRecord
    cold_from: float = float('inf')
    arrivals: list[float] = dataclasses.field(default_factory=list)
    """Times of the requests that came while it was cold."""
    running: int = 0
    waiting: int = 0

    def __post_init__(self) -> None:
        """Begin idle."""
        self._slots = asyncio.Semaphore(self.record.slots)

    def cold_left(self, now: float) -> float:
        """Return the seconds for which it stays cold."""
        is_cold = self.cold_from <= now < self.cold_from + SPELL
        return self.cold_from + SPELL - now if is_cold else 0

    async def serve(self, work: float, now: float) -> None:
        """Serve a request."""
        if self.cold_left(now):
            self.arrivals.append(now)
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(work)
            self.running -= 1

    def most_in_a_second(self) -> int:
        """Return the most requests of any second while it was cold."""
        return max(
            (
                bisect.bisect_left(self.arrivals, start + 1) - number
                for number, start in enumerate(self.arrivals)
            ),
            default=0,
        )


class ColdSite:
    """Plays one run, and keeps what the targets have seen."""

    def __init__(self, seed: int, load: Load) -> None:
        """Draw the times of the requests and of the cold spells."""
        self.targets: dict[TargetId, Target] = {}
        self.statuses: defaultdict[int, int] = defaultdict(int)
        self.probes = 0
        self.kept_connections = unittest.mock.Mock()
        self.link_pace = LinkPace()
        self._random = random.Random(seed)
        self._load = load
        self._clock = LoopClock()
        self._edges: dict[str, EdgeContext] = {}

    def run(self) -> None:
        """Play the run; raises what a request raises."""
        patches = (
            unittest.mock.patch(
                f'turmericmast.web.{module}.Transfer', _Transfer
            )
            for module in ('edgeattempt', 'probing')
        )
        with (
            next(patches),
            next(patches),
            asyncio.Runner(loop_factory=VirtualTimeLoop) as runner,
        ):
            runner.run(self._play())

    def target_at(self, address: str) -> Target:
        """Return the target at an address."""
        return next(
            target
            for target in self.targets.values()
            if target.record.address == address
        )

    @property
    def work(self) -> float:
        """Return the seconds of work of a request."""
        return self._load.work

    def now(self) -> float:
        """Return the time."""
        return self._clock.now()

    async def _play(self) -> None:
        records = [
            target(f'{place}{number}', domain)
            for place, domain in enumerate(DOMAINS, 1)
            for number in range(TARGETS_OF_A_DOMAIN)
        ]
        self.targets = {record.target: Target(record) for record in records}
        spelled = self._random.sample(
            list(self.targets.values()), self._load.spells
        )
        for cooled in spelled:
            cooled.cold_from = NOW + self._random.uniform(2, 4)
        edges = [
            instance(f'{domain}-{number}', domain)
            for domain in DOMAINS
            for number in range(self._load.instances_of_a_domain)
        ]
        for record in edges:
            self._add_edge(record, edges, records)
        await asyncio.gather(
            *[self._call_all(context) for context in self._edges.values()]
        )
        for context in self._edges.values():
            context.load_sharing._cancel_timer()

    def _add_edge(
        self,
        record: EdgeRecord,
        edges: list[EdgeRecord],
        records: list[TargetRecord],
    ) -> None:
        cluster = feed(*edges, targets=tuple(records))
        own = edge(record, cluster)
        own.apply(cluster, unsplit_document())
        metrics = Metrics()
        events = unittest.mock.Mock()
        curl: Any = self
        prober = Prober(curl, PlatformHeaders(), self._clock, metrics, events)
        sharing = LoadSharing(own, prober, self._clock, metrics)
        sharing._send = self._deliver  # type: ignore[method-assign]
        prober.on_result = sharing.share_result
        self._edges[record.peer] = EdgeContext(
            edge=own,
            clock=self._clock,
            curl=curl,
            header_format=PlatformHeaders(),
            prober=prober,
            crash_detector=unittest.mock.Mock(),
            load_sharing=sharing,
            metrics=metrics,
            events=events,
        )
        sharing._schedule(0)

    def _deliver(self, parcels: Any) -> None:
        parcel: Parcel
        loop = asyncio.get_running_loop()
        for parcel in parcels:
            for peer in parcel.peers:
                receive = self._edges[peer].load_sharing._receive
                loop.call_later(TRIP, receive, parcel.news)

    async def _call_all(self, context: EdgeContext) -> None:
        rate = self._load.requests_per_second / self._load.instances_of_a_domain
        calls = []
        await asyncio.sleep(1)
        while self.now() < NOW + self._load.length:
            calls.append(asyncio.ensure_future(self._call(context)))
            await asyncio.sleep(self._random.expovariate(rate))
        await asyncio.gather(*calls)

    async def _call(self, context: EdgeContext) -> None:
        headers = HTTPHeaders({'Host': 'shop.example', 'X-Request-Id': 'r'})
        start = RequestStartLine('GET', '/stock/1', 'HTTP/1.1')
        incoming = read_request(context, start, headers, self._clock.now())
        connection = _Connection()
        exchange = EdgeExchange(
            context, cast('Any', connection), incoming.unwrap()
        )
        exchange._body.mark_complete()
        await exchange._run()
        self.statuses[connection.status] += 1


class _Connection:
    """A caller who reads the head of the response."""

    def __init__(self) -> None:
        self.status = 0

    def write_headers(self, line: ResponseStartLine, *_: object) -> Any:
        """Keep the status."""
        self.status = int(line.code)
        return _written()

    def write(self, _chunk: bytes) -> Any:
        """Drop a part of the body."""
        return _written()

    def finish(self) -> None:
        """Do nothing."""


def _written() -> asyncio.Future[None]:
    done: asyncio.Future[None] = asyncio.Future()
    done.set_result(None)
    return done


class _Transfer:
    """Stands in for a transfer by curl."""

    def __init__(
        self,
        site: Any,
        request: TransferRequest,
        sink: Any,
        may_send: Any,
    ) -> None:
        self.progress = Progress.new
        self.malformed: MalformedResponseError | None = None
        self._site: ColdSite = site
        self._request = request
        self._sink = sink
        self._may_send = may_send

    async def run(self) -> Loss | None:
        """Send the request unless it is vetoed, and receive the answer."""
        if not self._may_send():
            self.progress = Progress.vetoed
            return Loss.never_sent
        self.progress = Progress.sending
        target_here = self._site.target_at(self._request.url.split('/')[2])
        await asyncio.sleep(TRIP)
        now = self._site.now()
        headers = HTTPHeaders()
        if self._request.url.endswith(HEALTH_URL_END):
            self._site.probes += 1
            headers['X-Instance-Id'] = target_here.record.target
            cold_ms = int(target_here.cold_left(now) * 1000)
            headers['X-Warmup-Ms'] = str(cold_ms)
        else:
            await target_here.serve(self._site.work, now)
            headers['X-Request-Id'] = 'r'
            headers['X-Response-Signature'] = 's'
        headers['X-Server-Load'] = (
            f'{target_here.running},{target_here.waiting},'
            f'{target_here.record.slots}'
        )
        await asyncio.sleep(TRIP)
        if not self._sink.on_head(ResponseHead(200, '', headers)):
            return Loss.cut_short
        self._sink.on_chunk(b'x')
        return None

    def cancel(self) -> None:
        """Ignore: no run cancels a request."""
