"""Edges, members and leaders that exchange tokens, without a network.

Time goes in steps. Messages take random times and may be lost; edges may be
frozen, cut off or restarted, and leaders may be lost, at any step.
"""

import collections
import dataclasses
import random

from turmericmast.allowance.batch import DemandBatch
from turmericmast.allowance.ledger import TokenLedger
from turmericmast.allowance.limit import MAX_TOKEN_WAIT, Limit
from turmericmast.allowance.tokencache import Draw, TokenCache
from turmericmast.allowance.tokens import TokenDemand, TokenGrant
from turmericmast.ids import Seconds, TenantId

STEP = 0.01
"""Seconds of a step, and between two batches of a member."""
WINDOW = Seconds(5)
ACCOUNT = TenantId('farm')
ASK_TIMEOUT = 0.06
"""Seconds until an edge asks again for what was not answered."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """An edge is frozen, cut off or restarted, or the leader is lost."""

    kind: str
    edge: int
    begin: float
    length: float

    def holds(self, kind: str, edge: int, now: float) -> bool:
        """Tell whether this fault is of a kind, at an edge, and at a time."""
        is_there = self.kind == kind and self.edge == edge
        return is_there and self.begin <= now < self.begin + self.length


@dataclasses.dataclass
class _Waiting:
    at: float


@dataclasses.dataclass
class _Ask:
    edge: int
    incarnation: int
    demand: TokenDemand
    sent_at: float


class _Edge:
    def __init__(self) -> None:
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        """Forget all tokens and requests."""
        self.incarnation += 1
        self.cache = TokenCache(ACCOUNT)
        self.waiting: list[_Waiting] = []
        self.unanswered: list[_Ask] = []


class AllowanceModel:
    """One account over some edges, for some seconds."""

    def __init__(
        self,
        limit: Limit,
        edges: int,
        faults: tuple[Fault, ...],
        seed: int,
        loss: float = 0,
        max_delay: float = 0.03,
    ) -> None:
        self.limit = limit
        self.faults = faults
        self.loss = loss
        self.max_delay = max_delay
        self.random = random.Random(seed)
        self.edges = [_Edge() for _ in range(edges)]
        self.messages = 0
        self.ran: list[float] = []
        """When the requests that ran were sent."""
        self.refusals: list[tuple[float, Draw]] = []
        self.now = Seconds(0)
        self.ledger: TokenLedger | None = None
        # The account has used nothing for a window before the first step.
        self._begin_ledger(Seconds(-1000))
        self._events: collections.defaultdict[int, list[object]] = (
            collections.defaultdict(list)
        )
        self._step = 0

    def run(self, arrivals: list[tuple[float, int]], seconds: float) -> None:
        """Let requests arrive, each at a time at an edge, in time order."""
        queue = collections.deque(arrivals)
        while self.now < seconds:
            self._begin_step()
            while queue and queue[0][0] <= self.now:
                at, edge = queue.popleft()
                self._arrive(self.edges[edge], at)
            for number, peer in enumerate(self.edges):
                if not self._is('frozen', number):
                    self._run_edge(number, peer)

    def most_in_a_window(self) -> int:
        """Return the most requests that ran, sent within any window."""
        ran = sorted(self.ran)
        most = 0
        begin = 0
        for end, at in enumerate(ran):
            while ran[begin] <= at - WINDOW:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def _begin_step(self) -> None:
        self._step += 1
        self.now = Seconds(self._step * STEP)
        has_leader = not any(
            fault.holds('leader_lost', fault.edge, self.now)
            for fault in self.faults
        )
        if not has_leader:
            self.ledger = None
        elif self.ledger is None:
            self._begin_ledger(self.now)
        asks = []
        for event in self._events.pop(self._step, ()):
            if isinstance(event, _Ask):
                asks.append(event)
            else:
                self._answer(*event)  # type: ignore[misc]
        if asks and self.ledger:
            self._grant(asks, self.ledger)
        for fault in self.faults:
            if fault.kind == 'restart' and (
                abs(fault.begin - self.now) < STEP / 2
            ):
                self.edges[fault.edge % len(self.edges)].restart()

    def _begin_ledger(self, now: Seconds) -> None:
        self.ledger = TokenLedger(WINDOW, now)
        self.ledger.use_limits({ACCOUNT: self.limit}, now)

    def _is(self, kind: str, edge: int) -> bool:
        return any(fault.holds(kind, edge, self.now) for fault in self.faults)

    def _arrive(self, edge: _Edge, at: float) -> None:
        edge.waiting.append(_Waiting(at))
        edge.cache.arrive(Seconds(at))

    def _run_edge(self, number: int, edge: _Edge) -> None:
        still = []
        for request in edge.waiting:
            outcome, _ = edge.cache.draw(self.now)
            if outcome is Draw.granted:
                self.ran.append(request.at)
            elif outcome is Draw.refused or (
                self.now >= request.at + MAX_TOKEN_WAIT
            ):
                self.refusals.append((self.now, outcome))
            else:
                still.append(request)
        edge.waiting = still
        edge.cache.waiting = len(still)
        for ask in tuple(edge.unanswered):
            if self.now >= ask.sent_at + ASK_TIMEOUT:
                edge.unanswered.remove(ask)
                edge.cache.end(ask.demand)
        demand = edge.cache.make_demand(self.now)
        if demand:
            ask = _Ask(number, edge.incarnation, demand, self.now)
            edge.unanswered.append(ask)
            self._send(number, ask)

    def _send(self, edge: int, message: object) -> None:
        self.messages += 1
        is_lost = self.random.random() < self.loss
        if not is_lost and not self._is('cut_off', edge):
            steps = 1 + int(self.random.random() * self.max_delay / STEP)
            self._events[self._step + steps].append(message)

    def _grant(self, asks: list[_Ask], ledger: TokenLedger) -> None:
        batch = DemandBatch()
        for ask in asks:
            batch.add((ask.demand,))
        grants = tuple(
            ledger.grant(demand, self.now) for demand in batch.merged()
        )
        for ask, (grant,) in zip(asks, batch.split(grants), strict=True):
            self._send(ask.edge, (ask, grant))

    def _answer(self, ask: _Ask, grant: TokenGrant) -> None:
        edge = self.edges[ask.edge]
        if self._is('frozen', ask.edge):
            self._events[self._step + 1].append((ask, grant))
        elif edge.incarnation == ask.incarnation:
            if ask in edge.unanswered:
                edge.unanswered.remove(ask)
                edge.cache.end(ask.demand)
            edge.cache.receive(
                ask.demand, grant, Seconds(ask.sent_at), self.now
            )
