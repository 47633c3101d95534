"""An edge whose targets answer without a network, for whole requests."""

import asyncio
import contextlib
import copy
import dataclasses
import unittest.mock
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.edge_samples import NOW, edge, feed, instance
from tests.platform_samples import ROUTES, encoded
from turmericmast.balance.load import LoadReport
from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import Loss
from turmericmast.clock import Clock
from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import Millis, Seconds, TargetId
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.route.document import RouteDocument
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.probing import Prober
from turmericmast.web.requestreading import read_request
from turmericmast.web.transfer import Progress, ResponseHead, TransferRequest

HEALTH_URL_END = '/health'

Headers: TypeAlias = Mapping[str, str]
NO_HEADERS: Headers = MappingProxyType({})


def unsplit_document() -> RouteDocument:
    """Return the sample routes, all requests going to one service."""
    tree: Any = copy.deepcopy(ROUTES)
    look = tree['routes']['look']
    look.pop('traffic_split')
    look['service'] = 'stock'
    return DocumentFormat().parse(encoded(tree)).unwrap()


class ManualClock(Clock):
    """A clock that the test moves."""

    time = NOW

    def now(self) -> Seconds:
        """Return the time that the test has set."""
        return Seconds(self.time)

    def wall(self) -> Millis:
        """Return the same in milliseconds."""
        return Millis(int(self.time * 1000))


@dataclasses.dataclass
class Behaviour:
    """How a target answers."""

    status: int
    headers: Headers


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has reached a target."""

    at: float
    target: TargetId
    is_probe: bool
    uses_kept_connection: bool


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller has received."""

    status: int
    headers: Any


class EdgeHarness:
    """Runs requests through an edge and records what reaches its targets."""

    def __init__(self, *records: TargetRecord) -> None:
        self.clock = ManualClock()
        self.edge = edge(
            instance('a'), feed(instance('a'), targets=tuple(records))
        )
        self.edge.apply(
            feed(instance('a'), targets=tuple(records)), unsplit_document()
        )
        self.metrics = Metrics()
        self.events = unittest.mock.Mock()
        self._behaviour_by_target = {
            record.target: Behaviour(200, NO_HEADERS) for record in records
        }
        self.transfers = 0
        """Transfers that were begun, whether they were sent or not."""
        self.arrivals: list[Arrival] = []
        self.connecting = asyncio.Event()
        """Requests are sent once it is set; it is set unless a test clears."""
        self.connecting.set()
        self.answering = asyncio.Event()
        """Targets answer requests once it is set; it is set likewise."""
        self.answering.set()
        self._target_by_address = {
            record.address: record.target for record in records
        }
        prober = Prober(
            unittest.mock.Mock(),
            PlatformHeaders(),
            self.clock,
            self.metrics,
            self.events,
        )
        self.context = EdgeContext(
            edge=self.edge,
            clock=self.clock,
            curl=unittest.mock.Mock(),
            header_format=PlatformHeaders(),
            prober=prober,
            crash_detector=unittest.mock.Mock(),
            load_sharing=unittest.mock.Mock(),
            metrics=self.metrics,
            events=self.events,
        )
        self.refresh()

    def view(self, name: str) -> TargetView:
        """Return the view of a target."""
        found = self.edge.view(TargetId(name))
        assert found is not None
        return found

    def set_behaviour(
        self, name: str, status: int = 200, headers: Headers = NO_HEADERS
    ) -> None:
        """Set the status and headers of a target's answers from now on."""
        self._behaviour_by_target[TargetId(name)] = Behaviour(status, headers)

    def refresh(self, *but: str) -> None:
        """Let all targets but some confirm that they are up and idle."""
        for view in self.edge.views():
            if view.record.target not in but:
                view.verify(Seconds(0), self.clock.now())
                view.update_load(
                    LoadReport(0, 0, view.record.slots), self.clock.now()
                )

    def requests(self) -> list[str]:
        """Return the targets of the requests that have arrived."""
        return [
            arrival.target for arrival in self.arrivals if not arrival.is_probe
        ]

    def count(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        return self.metrics.count_by_name[name, tuple(labels.items())]

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of an event each time that it was logged."""
        return [
            call.kwargs
            for call in self.events.write.call_args_list
            if call.args[0] == event
        ]

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Replace the transfers of requests and probes."""

        def transfer(*arguments: Any) -> _Transfer:
            self.transfers += 1
            return _Transfer(self, *arguments)

        with (
            unittest.mock.patch(
                'turmericmast.web.edgeattempt.Transfer', transfer
            ),
            unittest.mock.patch('turmericmast.web.probing.Transfer', transfer),
        ):
            yield

    def read(self) -> EdgeRequest:
        """Return a request of a caller as the edge reads it."""
        headers = HTTPHeaders({'Host': 'shop.example', 'X-Request-Id': 'r'})
        start = RequestStartLine('GET', '/stock/1', 'HTTP/1.1')
        read = read_request(self.context, start, headers, self.clock.now())
        incoming: EdgeRequest = read.unwrap()
        return incoming

    async def call(self) -> Answer:
        """Send a request of a caller to the edge."""
        connection = unittest.mock.Mock()
        exchange = EdgeExchange(self.context, connection, self.read())
        exchange._body.mark_complete()
        await exchange._run()
        line, answer_headers, *_ = connection.write_headers.call_args.args
        return Answer(line.code, answer_headers)

    async def probe(self, name: str) -> bool:
        """Send a health check; tell whether the target responded."""
        return await self.context.prober.start(self.view(name), HEALTH_URL_END)

    def head(self, target: TargetId, *, is_probe: bool) -> ResponseHead:
        """Return the head of a target's answer."""
        behaviour = self._behaviour_by_target[target]
        own = (
            {'X-Instance-Id': target}
            if is_probe
            else {'X-Request-Id': 'r', 'X-Response-Signature': 's'}
        )
        headers = HTTPHeaders({**own, 'X-Server-Load': '0,0,4'})
        for name, text in behaviour.headers.items():
            headers.pop(name, None)
            headers.add(name, text)
        return ResponseHead(behaviour.status, '', headers)

    def arrive(self, request: TransferRequest) -> Arrival:
        """Record a request that reaches its target."""
        address = request.url.split('/')[2]
        arrival = Arrival(
            self.clock.time,
            self._target_by_address[address],
            request.url.endswith(HEALTH_URL_END),
            request.uses_kept_connection,
        )
        self.arrivals.append(arrival)
        return arrival


class _Transfer:
    """Stands in for a transfer by curl."""

    def __init__(
        self,
        harness: EdgeHarness,
        _curl: object,
        request: TransferRequest,
        sink: Any,
        may_send: Any,
    ) -> None:
        self.progress = Progress.new
        self.malformed: MalformedResponseError | None = None
        self._harness = harness
        self._request = request
        self._sink = sink
        self._may_send = may_send

    async def run(self) -> Loss | None:
        """Send the request unless it is vetoed, and receive the answer."""
        await self._harness.connecting.wait()
        if not self._may_send():
            self.progress = Progress.vetoed
            return Loss.never_sent
        self.progress = Progress.sending
        arrival = self._harness.arrive(self._request)
        if not arrival.is_probe:
            await self._harness.answering.wait()
        await asyncio.sleep(0)
        head = self._harness.head(arrival.target, is_probe=arrival.is_probe)
        if not self._sink.on_head(head):
            return Loss.cut_short
        self._sink.on_chunk(b'x')
        return None

    def cancel(self) -> None:
        """Ignore: no test cancels a request."""
