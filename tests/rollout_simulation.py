"""Rollouts in virtual time: gates of many instances, a member, its log."""

import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import TypeAlias

from turmericmast.call.call import Loss
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import OrderRollout, ReportTarget
from turmericmast.cluster.records import TargetPhase, TargetRecord
from turmericmast.edge.freshness import Freshness
from turmericmast.rollout.gate import VersionGate
from turmericmast.rollout.policy import RolloutPolicy
from turmericmast.rollout.records import EdgeEvidence, ServiceRollout
from turmericmast.rollout.tracker import RolloutTracker
from turmericmast.wire.codec import decode, encode

POLL = 0.4
"""Seconds between two polls of an instance."""
TICK = 0.1
"""Seconds between two checks of the leader, and until evidence arrives."""
BAD_LATENCY = 0.24
"""Seconds from which a response counts as bad: four times the usual ones."""


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request that was sent to a target."""

    at: float
    """Seconds since the order."""
    is_new: bool
    share: float
    """Share of the new version at this moment, from 0 to 1."""
    route: str
    draw: random.Random


Response: TypeAlias = tuple[Loss | None, float]
"""How a response failed, and its latency in seconds."""
Behaviour: TypeAlias = Callable[[Sent], Response]


def healthy(sent: Sent) -> Response:
    """Respond in about 60 ms, now and then far later, rarely with a failure."""
    latency = 0.06 * sent.draw.lognormvariate(0, 0.4)
    if sent.draw.random() < 0.02:
        latency *= 4
    return (Loss.failed if sent.draw.random() < 0.002 else None), latency


def record(
    target: str,
    version: str,
    phase: TargetPhase = TargetPhase.ready,
    born: int = 10,
    sequence: int = 1,
) -> TargetRecord:
    """Return a target of the service ``stock``."""
    return TargetRecord(
        target,
        born,
        sequence,
        'stock',
        f'10.0.0.{target}:80',
        'tirol-a',
        4,
        phase,
        version,
    )


@dataclasses.dataclass
class Result:
    """What the requests and the log of a simulated rollout show."""

    rollout: ServiceRollout
    ended_at: float
    """Seconds from the order to the decision; the end if there was none."""
    sent: int
    """Requests of the whole time budget."""
    sent_new: int
    """Those of them that went to the new version."""
    last_new_after_bad: float
    """Seconds from the 50th bad response to the last request to it."""


class RolloutSimulation:
    """A rollout of ``stock`` from v1 to v2, with or without faults."""

    def __init__(
        self,
        duration: float = 12,
        rate: float = 200,
        edges: int = 120,
        seed: int = 1,
    ) -> None:
        self.duration = duration
        self.rate = rate
        self.draw = random.Random(seed)
        self.cluster = Cluster()
        self.tracker = RolloutTracker()
        self.policy = RolloutPolicy(0.1)
        self.now = 100.0
        self.index = 0
        self.freshness = [Freshness() for _ in range(edges)]
        self.gates = [
            VersionGate(freshness, self._start_of)
            for freshness in self.freshness
        ]
        self.unreached: set[int] = set()
        """Instances that are out of touch with the core."""
        self.is_leaderless = False
        for name, version in (('1', 'v1'), ('2', 'v1'), ('3', 'v2')):
            self.apply(ReportTarget(record(name, version)))
        self.apply(OrderRollout('stock', 'v2', int(duration * 1000)))

    @property
    def rollout(self) -> ServiceRollout:
        """Return the state of the rollout."""
        return self.cluster.rollouts.find('stock')

    def apply(self, command: object) -> None:
        """Append a command to the log and apply it."""
        self.index += 1
        self.cluster.apply(self.index, command)

    def lose_member(self) -> None:
        """Replace the leader by a member that has no evidence yet."""
        self.tracker = RolloutTracker()

    def restore_snapshot(self) -> None:
        """Start a member from the snapshot of the one before."""
        self.lose_member()
        encoded = encode(self.cluster.snapshot())
        self.cluster = Cluster()
        self.cluster.restore(decode(encoded).unwrap())

    def run(
        self,
        new: Behaviour,
        old: Behaviour = healthy,
        routes: tuple[str, ...] = ('look',),
        on_time: Callable[[float], None] | None = None,
    ) -> Result:
        """Send requests until the time budget has passed."""
        started = self.now
        sent_at: list[float] = []
        bad_at: list[float] = []
        ended_at = self.duration
        total = 0
        steps = self._steps()
        for at in steps:
            if on_time:
                on_time(at)
            self._exchange(at)
            if not self.rollout.is_running:
                ended_at = min(ended_at, at)
            for _ in range(self._arrivals()):
                total += 1
                sent, loss, latency = self._send(at, new, old, routes)
                if sent.is_new:
                    sent_at.append(at)
                if sent.is_new and (loss or latency > BAD_LATENCY):
                    bad_at.append(at + latency)
        self.now = started + self.duration
        fiftieth = sorted(bad_at)[49] if len(bad_at) >= 50 else self.duration
        return Result(
            self.rollout,
            ended_at,
            total,
            len(sent_at),
            max((at - fiftieth for at in sent_at), default=0),
        )

    def _send(
        self,
        at: float,
        new: Behaviour,
        old: Behaviour,
        routes: tuple[str, ...],
    ) -> tuple[Sent, Loss | None, float]:
        """Send one request from any instance to the version that it draws."""
        gate = self.draw.choice(self.gates)
        is_new = gate.draw_new(self.now) and gate.may_send('v2', self.now)
        route = self.draw.choice(routes)
        share = self.rollout.share / 1000
        sent = Sent(at, is_new, share, route, self.draw)
        loss, latency = new(sent) if is_new else old(sent)
        count = gate.counter(route, 'v2' if is_new else 'v1')
        if count:
            count(loss, latency)
        return sent, loss, latency

    def _start_of(self, _order: int) -> float:
        return self.draw.random()

    def _steps(self) -> Iterator[float]:
        started = self.now
        count = round(self.duration / TICK)
        for step in range(count):
            self.now = started + step * TICK
            yield round(step * TICK, 1)

    def _arrivals(self) -> int:
        mean = self.rate * TICK
        return int(mean) + (self.draw.random() < mean - int(mean))

    def _exchange(self, at: float) -> None:
        """Let instances poll, and the leader decide on what they sent."""
        turns = round(POLL / TICK)
        turn = round(at / TICK) % turns
        for edge, gate in enumerate(self.gates):
            is_due = turn == edge % turns
            if edge in self.unreached:
                continue
            if is_due:
                self.freshness[edge].record_proof(self.now, 0, self.now)
                self.tracker.evidence.record(
                    EdgeEvidence(f'e-{edge}', '1', gate.counts())
                )
            if gate.rollout != self.rollout:
                gate.update(self.rollout)
        self.decide()

    def decide(self) -> None:
        """Let the leader check the rollout, if there is one."""
        if self.is_leaderless:
            return
        self.tracker.follow(self.cluster.rollouts.running(), self.now)
        records = self.cluster.registry.table.record_by_key.values()
        for decision in tuple(
            self.tracker.decide(self.policy, tuple(records), self.now)
        ):
            self.apply(decision)
