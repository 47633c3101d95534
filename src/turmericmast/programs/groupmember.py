"""Runs a Raft replica in a process, with its store, links and state machine."""

import abc
import asyncio
import secrets
from collections.abc import Mapping
from types import TracebackType
from typing import Any, Self, final

from returns.result import Failure, Result, Success
from tornado.ioloop import IOLoop, PeriodicCallback

from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.exceptions import (
    NotLeaderError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import Incarnation, Index, MemberId, Term
from turmericmast.programs.disksync import DiskSync
from turmericmast.replica.appliedhistory import AppliedHistory
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Snapshot,
)
from turmericmast.replica.replica import Replica
from turmericmast.replica.seat import Seat
from turmericmast.replica.state import ReplicaConfig, Role
from turmericmast.replica.store import Store
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire.codec import decode, encode
from turmericmast.wire.link import ProcessContext
from turmericmast.wire.linkpool import LinkPool

TICK_INTERVAL_MS = 50
"""Milliseconds between two ticks of the replica, and between two polls."""
MIN_COMPACT_ENTRIES = 512
"""Fewest log entries that a snapshot replaces."""
COMPACT_SIZE_FACTOR = 2
"""Size of the log, relative to the last snapshot, that makes a new one due."""


class StateMachine(abc.ABC):
    """State that a group replicates by applying the commands in its log."""

    @abc.abstractmethod
    def apply(self, index: Index, command: Any) -> Any:
        """Apply one command and return its result."""

    @abc.abstractmethod
    def snapshot(self) -> Any:
        """Return the whole state as one message that the codec can encode."""

    @abc.abstractmethod
    def restore(self, state: Any) -> None:
        """Replace the whole state by one that ``snapshot`` returned."""


@final
class GroupMember:
    """A member of a Raft group.

    Drives the replica with ticks and messages, carries out its effects, and
    resolves proposals when their entries are applied.
    """

    def __init__(
        self,
        context: ProcessContext,
        config: ReplicaConfig,
        store: Store,
        state_machine: StateMachine,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Recover from the store; ``start`` begins to exchange messages."""
        self.state_machine = state_machine
        self.config = config
        self.applied_index = Index(0)
        self.history = AppliedHistory()
        self.led_since = Index(0)
        """Last index of the log when this member became the leader."""
        self._context = context
        self._disk_sync = DiskSync(store, context.metrics, events)
        self._clock = clock
        self._events = events
        self.links = LinkPool(context)
        self._future_by_index: dict[
            Index,
            tuple[Term, asyncio.Future[Result[Any, TurmericmastError]]],
        ] = {}
        self._log_bytes = 0
        self._snapshot_bytes = 0
        self._flush_is_scheduled = False
        self._logged_role: tuple[Role, MemberId] = (Role.learner, MemberId(''))
        self._ticker = PeriodicCallback(self._tick, TICK_INTERVAL_MS)
        self.replica = Replica(
            config,
            store,
            Incarnation(secrets.token_hex(6)),
            clock.now(),
        )
        self._carry_out_effects()

    def __enter__(self) -> Self:
        """Return the member, which stops on exit."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the ticks, fail pending proposals and close the links."""
        self._ticker.stop()
        with self.links:
            self._fail_pending_from(Index(0), 'this process is stopping')

    def start(self, address_by_member: Mapping[MemberId, str]) -> None:
        """Start the ticks.

        The id of a member that is not in ``address_by_member`` is its address.
        """
        self.links.address_by_member = address_by_member
        self._ticker.start()

    @property
    def seats(self) -> tuple[Seat, ...]:
        """Return the current members of the group."""
        return self.replica.state.membership.seats

    def contact_age(self) -> float:
        """Return the seconds since the last known contact with a quorum.

        Infinity if there was none, see ``Replica.contact_age``.
        """
        return self.replica.contact_age(self._clock.now())

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads and no other one can, by its lease."""
        return self.replica.is_ready and (
            self._clock.now() < self.replica.lease_end()
        )

    async def transfer_leadership(self, timeout: float) -> None:
        """Transfer leadership if this member leads, within ``timeout`` s."""
        deadline = self._clock.now() + timeout
        while not self.replica.transfer_leadership():
            if self._clock.now() >= deadline:
                return
            await asyncio.sleep(TICK_INTERVAL_MS / MILLIS_PER_SECOND)
        self._flush()
        # The message must be sent before the links are closed. Until the new
        # leader is known, clients could not be redirected to it.
        while self._clock.now() < deadline and not self.replica.leader:
            await asyncio.sleep(TICK_INTERVAL_MS / MILLIS_PER_SECOND)

    def receive(self, message: Any) -> None:
        """Handle a message from another member."""
        self.replica.receive(message, self._clock.now())
        self._schedule_flush()

    async def propose(
        self,
        command: Any,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Commit a command and return the result of applying it.

        Waits ``timeout`` seconds at most. Fails with ``NotLeaderError`` if
        this member does not lead. After any other failure the command may
        still be committed; commands carry ids, so that they can be sent again.
        """
        if not self.replica.is_ready:
            return Failure(self.not_leader_error())
        proposed = self.replica.propose(encode(command), self._clock.now())
        if not isinstance(proposed, Success):
            return proposed
        future: asyncio.Future[Result[Any, TurmericmastError]]
        future = asyncio.Future()
        index = proposed.unwrap()
        self._future_by_index[index] = (
            self.replica.state.vote.term,
            future,
        )
        self._schedule_flush()
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return Failure(
                self._uncertain_error(f'not committed in {timeout:g} s')
            )
        finally:
            self._future_by_index.pop(index, None)

    def not_leader_error(self) -> NotLeaderError:
        """Return an error that names the leader, if one is known."""
        return NotLeaderError(
            f'member {self.config.own_id} is not the leader of its group',
            step='change group',
            peer=self.replica.leader,
            hint='send it to the leader, or try again in a second',
        )

    def _tick(self) -> None:
        now = self._clock.now()
        self.history.record(now, self.applied_index)
        self._close_stale_links()
        self.replica.tick(now)
        self._flush()

    def _schedule_flush(self) -> None:
        if not self._flush_is_scheduled:
            self._flush_is_scheduled = True
            IOLoop.current().add_callback(self._flush)

    def _flush(self) -> None:
        self._flush_is_scheduled = False
        # Appends are sent before the sync, so that the members write to their
        # disks in parallel. This is safe: each member counts toward the quorum
        # only after its own sync.
        for member, message in self.replica.take_appends():
            self.links.to(member).send(message)
        is_synced = self._disk_sync.run()
        if is_synced:
            self.replica.on_synced(self._clock.now())
        # ``on_synced`` may have committed entries, but appended none that would
        # need another sync.
        self._carry_out_effects(is_synced=is_synced)
        self._log_role_change()

    def _carry_out_effects(self, *, is_synced: bool = True) -> None:
        effects = self.replica.take_effects()
        # Votes and acknowledgements that rest on unsynced changes are dropped,
        # as if they were lost on the network. A leader that sends no
        # heartbeats is replaced.
        for member, message in effects.messages if is_synced else ():
            self.links.to(member).send(message)
        if effects.restored:
            self._restore(effects.restored)
        for entry in effects.committed:
            self._apply(entry)
        if effects.committed:
            self._compact()

    def _close_stale_links(self) -> None:
        """Close links to members that left a group with dynamic membership.

        The links of a leader are kept.
        """
        replica_state = self.replica.state
        if (
            replica_state.config.has_dynamic_membership
            and not self.replica.is_ready
        ):
            self.links.close_except(
                {
                    *replica_state.peers,
                    *replica_state.config.members,
                    replica_state.leader,
                },
            )

    def _restore(self, snapshot: Snapshot) -> None:
        self.applied_index = snapshot.index
        self._snapshot_bytes = len(snapshot.state)
        self._log_bytes = 0
        if snapshot.state:
            self.state_machine.restore(decode(snapshot.state).unwrap())
        self._fail_pending_from(Index(0), 'another member became leader')

    def _apply(self, entry: Entry) -> None:
        self.applied_index = entry.index
        self._log_bytes += len(entry.payload)
        outcome = None
        # A witness stores commands without their payloads.
        if entry.kind is EntryKind.command and entry.payload:
            outcome = _apply_command(self.state_machine, entry, self._events)
        term, future = self._future_by_index.pop(entry.index, (None, None))
        if future and not future.done():
            is_own = term == entry.term
            future.set_result(
                Success(outcome)
                if is_own
                else Failure(
                    self._uncertain_error(
                        'another command was committed in its place'
                    )
                ),
            )

    def _compact(self) -> None:
        replica_state = self.replica.state
        compactable_entries = (
            self.applied_index - replica_state.log.snapshot_index
        )
        is_log_large = (
            self._log_bytes >= COMPACT_SIZE_FACTOR * self._snapshot_bytes
        )
        if compactable_entries < MIN_COMPACT_ENTRIES or not is_log_large:
            return
        state = (
            b''
            if self.config.is_witness
            else encode(self.state_machine.snapshot())
        )
        self.replica.compact(self.applied_index, state)
        self._snapshot_bytes = len(state)
        self._log_bytes = 0
        self._context.metrics.count('snapshots')

    def _log_role_change(self) -> None:
        role_and_leader = (self.replica.role, self.replica.leader)
        if role_and_leader == self._logged_role:
            return
        if self._logged_role[0] is Role.leader:
            self._fail_pending_from(
                Index(0), 'this member is no longer the leader'
            )
        if role_and_leader[0] is Role.leader:
            self.led_since = Index(self.replica.state.log.last_index)
        self._logged_role = role_and_leader
        self._events.write(
            'replica',
            role=role_and_leader[0].value,
            leader=role_and_leader[1],
            term=self.replica.state.vote.term,
        )

    def _fail_pending_from(self, index: Index, cause: str) -> None:
        waiting = [
            future
            for at, (_, future) in self._future_by_index.items()
            if at >= index
        ]
        for future in waiting:
            if not future.done():
                future.set_result(Failure(self._uncertain_error(cause)))

    def _uncertain_error(self, cause: str) -> WireError:
        return WireError(
            f'{cause}; the change may still take effect',
            step='change group',
            peer=self.config.own_id,
            hint='send it again under the same id',
        )


def _apply_command(
    state_machine: StateMachine, entry: Entry, events: EventLog
) -> Any:
    """Apply a command; skip one that this build does not know.

    Without that, the entries that were committed with it would be lost here,
    and this member's state would differ from the others'.
    """
    command = decode(entry.payload)
    if isinstance(command, Success):
        return state_machine.apply(entry.index, command.unwrap())
    events.write(
        'entry_skipped', index=entry.index, reason=command.failure().show()
    )
    return command
