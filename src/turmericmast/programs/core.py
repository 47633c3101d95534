"""``turmericmast-core``: a member of the group that holds the cluster."""

import asyncio
import contextlib
from typing import Any, final

from tornado.ioloop import PeriodicCallback

from turmericmast.cluster import commands
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.cluster.registrations import PendingRegistrations
from turmericmast.ids import InstanceId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.settings import load_instance_settings
from turmericmast.programs.clusteroperations import ClusterOperations
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.programs.coregroup import contacts_of, open_core_member
from turmericmast.programs.coreports import serve_core
from turmericmast.programs.failuredetector import FailureDetector
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.groupsetup import LEADERSHIP_TRANSFER_TIMEOUT
from turmericmast.programs.runner import Process, run_program
from turmericmast.programs.settingsreloader import SettingsReloader
from turmericmast.replica import messages
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire import clusterrequests, replies, watchrequests
from turmericmast.wire.server import Handler

WATCH_TIMEOUT = 0.4
"""Seconds after which a watch is answered even without a change."""
MAX_CONTACT_AGE = 1.0
"""Seconds without contact to a quorum after which a watch does not wait."""
TICK_INTERVAL_MS = 250
"""Milliseconds between two checks for silent edges and targets."""
STALL_THRESHOLD = 1.0
"""Seconds between two ticks after which reports may have been missed."""


@final
class Core(Handler):
    """Handles messages from edges and from the other members of the group."""

    def __init__(
        self,
        process: Process[InstanceSettings],
        group: GroupMember,
        state_machine: ClusterStateMachine,
    ) -> None:
        """Serve the cluster of ``state_machine``, replicated by ``group``."""
        self.operations = ClusterOperations(
            process, group, state_machine, DocumentFormat()
        )
        self._committer = self.operations.committer
        self._process = process
        self._group = group
        self._state_machine = state_machine
        self._failure_detector = FailureDetector(
            process, self._committer, state_machine.cluster
        )
        self._watching_edges: set[InstanceId] = set()
        self._registrations = PendingRegistrations()
        self._was_leading = False
        self._last_tick = process.clock.now()

    async def handle(self, sender: str, body: Any) -> Any:
        """Handle one message; return the answer, ``None`` if it needs none."""
        if isinstance(body, messages.Message | clusterrequests.HeardEvidence):
            self._receive(body)
            return None
        match body:
            case watchrequests.WatchCluster():
                return await self._watch(body)
            case watchrequests.AskTokens():
                return await self.operations.tokens.serve(body)
            case ReportCrash():
                return await self._committer.serve_crash_report(body)
            case watchrequests.AskMember():
                return self.operations.serve_near_member(body)
        return await self._handle_of_member(body)

    def pages(self) -> Any:
        """Return the pages that show operators the cluster."""
        return self._state_machine.pages()

    def tick(self) -> None:
        """Run failure detection: the leader retires silent edges and targets.

        Other members tell the leader who reported to them. A new leader, or one
        that stalled, first treats all edges and targets as alive.
        """
        now = self._process.clock.now()
        has_stalled = now - self._last_tick > STALL_THRESHOLD
        self._last_tick = now
        heard = clusterrequests.Heard(
            tuple(self.operations.take_reporting_targets()),
            tuple(self._watching_edges),
            self.operations.rollouts.driver.own_member,
        )
        self._watching_edges.clear()
        is_leader = self._group.is_leader
        if is_leader and (has_stalled or not self._was_leading):
            self._failure_detector.start_leadership()
        self._was_leading = is_leader
        self.operations.tokens.tick()
        if is_leader:
            self._failure_detector.record_alive(heard)
            self._failure_detector.retire_silent()
        elif self._group.replica.leader and any(
            (heard.targets, heard.instances, heard.rollout_member)
        ):
            self._group.links.to(self._group.replica.leader).send(heard)

    async def _handle_of_member(self, body: Any) -> Any:
        """Handle a message of another member, or one of unknown type."""
        match body:
            case clusterrequests.ChangeCluster():
                return await self._committer.serve_change(body)
            case clusterrequests.AskIndex():
                return self._committer.serve_commit_index()
            case clusterrequests.Heard():
                self.operations.rollouts.driver.hear(body)
                return self._failure_detector.record_alive(body)
        return replies.Refusal(
            'handle', f'message of unexpected type {type(body)}', ''
        )

    def _receive(
        self, body: messages.Message | clusterrequests.HeardEvidence
    ) -> None:
        """Handle a message of another member that needs no answer."""
        if isinstance(body, clusterrequests.HeardEvidence):
            self.operations.rollouts.driver.receive(body)
        else:
            self._group.receive(body)

    def _register(self, watch: watchrequests.WatchCluster) -> None:
        edge = watch.edge
        known = self._state_machine.cluster.edge(edge.instance)
        if self._registrations.begin(edge, known):
            task = asyncio.ensure_future(
                self.operations.change(commands.SetEdge(edge))
            )
            task.add_done_callback(lambda _: self._registrations.end(edge))

    async def _watch(self, watch: watchrequests.WatchCluster) -> Any:
        self._watching_edges.add(watch.edge.instance)
        self._register(watch)
        if watch.asked_ms is not None:
            self._committer.proofs.refresh()
        self.operations.rollouts.driver.record(watch)
        if self._group.contact_age() < MAX_CONTACT_AGE:
            await self._state_machine.wait_for_change(
                watch.known, WATCH_TIMEOUT
            )
        if watch.asked_ms is not None:
            await self._committer.proofs.wait()
        return self._answer_watch(watch)

    def _answer_watch(self, watch: watchrequests.WatchCluster) -> Any:
        proof_ms = (
            None if watch.asked_ms is None else self._committer.proofs.age_ms()
        )
        # Infinite before the first contact, which the message cannot carry;
        # an age of 1000 s is as stale.
        contact_age = min(self._group.contact_age(), MILLIS_PER_SECOND)
        contact_ms = max(int(contact_age * MILLIS_PER_SECOND), 0)
        if watch.packed:
            return watchrequests.PackedCluster(
                self._state_machine.packed_feed(watch.known),
                self._group.seats,
                contact_ms,
                grants_tokens=True,
                proof_ms=proof_ms,
                asked_ms=watch.asked_ms,
            )
        return watchrequests.WatchedCluster(
            self._state_machine.cluster.build_feed(watch.known),
            self._group.seats,
            contact_ms,
            proof_ms,
            watch.asked_ms,
        )


async def _main(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
) -> None:
    settings = process.settings
    state_machine = ClusterStateMachine()
    group = stack.enter_context(open_core_member(process, stack, state_machine))
    core = Core(process, group, state_machine)
    serve_core(process, stack, core)
    group.start({})
    stack.enter_context(core.operations.rollouts.driver)
    ticker = PeriodicCallback(core.tick, TICK_INTERVAL_MS)
    ticker.start()
    stack.callback(ticker.stop)
    reloader = SettingsReloader(
        process,
        lambda new_settings: group.replica.state.set_contacts(
            contacts_of(new_settings)
        ),
    )
    stack.enter_context(reloader)
    process.events.write('serving', domain=settings.domain)
    await process.stop.wait()
    await group.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT)


def main() -> None:
    """Run ``turmericmast-core``."""
    run_program(_main, load_instance_settings)
