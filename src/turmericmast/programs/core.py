"""``turmericmast-core``: a member of the group that keeps the cluster."""

import asyncio
import contextlib
from typing import Any, final

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback

from turmericmast.cluster import commands
from turmericmast.cluster.liveness import LivenessTracker
from turmericmast.ids import InstanceId, TargetId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.coreapi import make_application
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.settings import load_instance_settings
from turmericmast.programs.clusterdesk import ClusterDesk
from turmericmast.programs.clustermachine import ClusterMachine
from turmericmast.programs.group import GroupNode
from turmericmast.programs.member import HAND_OVER_TIMEOUT, MAX_PAGE_BODY
from turmericmast.programs.openmember import contacts_of, open_member
from turmericmast.programs.reload import Reloading
from turmericmast.programs.runner import Process, run_program, serve_metrics
from turmericmast.replica import messages
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire import clusterrequests, replies
from turmericmast.wire.server import Handler, PeerServer

WATCH_TIMEOUT = 0.4
"""Seconds after which a watch is answered although nothing changed."""
STALE_AFTER = 1.0
"""Seconds without a quorum after which a watch is answered at once."""
TICK_MS = 250
EDGE_PATIENCE = 1.5
"""Seconds of silence after which an edge is dropped from the directory.

Callers must not be sent to a lost one for longer than the contact window
and three seconds."""
TARGET_PATIENCE_INTERVALS = 8
"""Missed reports after which a target is forgotten."""
STALL = 1.0
"""Seconds between two ticks from which on reports may have been missed."""


@final
class Core(Handler):
    """Answers edges and the other members."""

    def __init__(
        self,
        process: Process[InstanceSettings],
        group: GroupNode,
        machine: ClusterMachine,
    ) -> None:
        """Serve what the machine holds."""
        bounds = process.settings.bounds
        self.desk = ClusterDesk(process, group, machine, DocumentFormat())
        self._process = process
        self._group = group
        self._machine = machine
        self._edges: LivenessTracker[InstanceId] = LivenessTracker(
            EDGE_PATIENCE
        )
        self._targets: LivenessTracker[TargetId] = LivenessTracker(
            TARGET_PATIENCE_INTERVALS * bounds.report_interval,
        )
        self._heard_edges: set[InstanceId] = set()
        self._was_leading = False
        self._last_tick = process.clock.now()

    async def handle(self, sender: str, body: Any) -> Any:
        """Answer one message."""
        if isinstance(body, messages.Message):
            self._group.receive(body)
            return None
        match body:
            case clusterrequests.WatchCluster():
                return await self._watch(body)
            case clusterrequests.ChangeCluster():
                return await self.desk.serve_change(body.command)
            case commands.ReportCrash():
                return await self.desk.take_crash(body)
            case clusterrequests.AskIndex():
                return self.desk.serve_index()
            case clusterrequests.Heard():
                return self._hear(body)
        return replies.Refusal('handle', f'unexpected {type(body)}', '')

    def tick(self) -> None:
        """Report whom this member heard; as leader drop the silent ones."""
        now = self._process.clock.now()
        has_stalled = now - self._last_tick > STALL
        self._last_tick = now
        heard = clusterrequests.Heard(
            tuple(self.desk.take_heard()),
            tuple(self._heard_edges),
        )
        self._heard_edges.clear()
        leads = self._group.leads
        if leads and (has_stalled or not self._was_leading):
            cluster = self._machine.cluster
            self._edges.start_leadership(cluster.edges.record_by_key, now)
            self._targets.start_leadership(cluster.registry.targets, now)
        self._was_leading = leads
        if leads:
            self._hear(heard)
            self._drop_silent()
        elif self._group.replica.leader and (heard.targets or heard.instances):
            self._group.links.to(self._group.replica.leader).send(heard)

    def _hear(self, heard: clusterrequests.Heard) -> None:
        now = self._process.clock.now()
        self._edges.record_alive(heard.instances, now)
        self._targets.record_alive(heard.targets, now)

    def _drop_silent(self) -> None:
        now = self._process.clock.now()
        cluster = self._machine.cluster
        edges = self._edges.silent(tuple(cluster.edges.record_by_key), now)
        if edges:
            self._process.events.write('edges_lost', edges=','.join(edges))
            self._change_soon(commands.DropEdges(edges))
        known = tuple(cluster.registry.targets)
        targets = self._targets.silent(known, now)
        if targets:
            self._process.events.write(
                'targets_silent',
                targets=','.join(targets),
            )
            self._change_soon(commands.RemoveTargets(targets))

    def _change_soon(self, command: commands.ClusterCommand) -> None:
        asyncio.ensure_future(self.desk.change(command))

    async def _watch(self, watch: clusterrequests.WatchCluster) -> Any:
        edge = watch.edge
        self._heard_edges.add(edge.instance)
        known = self._machine.cluster.edge(edge.instance)
        if known != edge:
            self._change_soon(commands.SetEdge(edge))
        if self._group.contact_age() < STALE_AFTER:
            await self._machine.wait_for_news(watch.known, WATCH_TIMEOUT)
        contact = min(self._group.contact_age(), MILLIS_PER_SECOND)
        return clusterrequests.WatchedCluster(
            self._machine.cluster.build_feed(watch.known),
            self._group.seats,
            max(int(contact * MILLIS_PER_SECOND), 0),
        )


async def _main(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
) -> None:
    settings = process.settings
    machine = ClusterMachine()
    group = stack.enter_context(open_member(process, stack, machine))
    core = Core(process, group, machine)
    _serve(process, stack, core)
    group.start({})
    ticker = PeriodicCallback(core.tick, TICK_MS)
    ticker.start()
    stack.callback(ticker.stop)
    reloading = Reloading(
        process,
        lambda fresh: group.replica.state.set_contacts(contacts_of(fresh)),
    )
    stack.enter_context(reloading)
    process.events.write('serving', domain=settings.domain)
    await process.stop.wait()
    await group.hand_over(HAND_OVER_TIMEOUT)


def _serve(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    core: Core,
) -> None:
    listening = process.settings.listening
    peers = PeerServer(process.node, core)
    host, _, port = listening.peers.rpartition(':')
    peers.listen(int(port), host)
    serve_metrics(process, stack, host)
    stack.callback(peers.close_all)
    pages = HTTPServer(
        make_application(core.desk, process.metrics),
        max_body_size=MAX_PAGE_BODY,
    )
    host, _, port = listening.operators.rpartition(':')
    pages.listen(int(port), host)
    stack.callback(pages.stop)


def main() -> None:
    """Run the program."""
    run_program(_main, load_instance_settings)
