"""Runs a replica in a process: disk, links and the state machine."""

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
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Seat,
    Snapshot,
)
from turmericmast.replica.replica import Replica
from turmericmast.replica.state import ReplicaConfig, Role
from turmericmast.replica.store import Store
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire.codec import decode, encode
from turmericmast.wire.link import Node
from turmericmast.wire.linkpool import LinkPool

TICK_MS = 50
COMPACT_ENTRIES = 512
"""Fewest applied entries between two snapshots."""
COMPACT_FACTOR = 2
"""Log bytes, in multiples of the last snapshot, that make a new one due."""


class StateMachine(abc.ABC):
    """What a group keeps; applies commands in the order of the log."""

    @abc.abstractmethod
    def apply(self, index: Index, command: Any) -> Any:
        """Apply one command and return its result."""

    @abc.abstractmethod
    def snapshot(self) -> Any:
        """Return the whole state as one message."""

    @abc.abstractmethod
    def restore(self, state: Any) -> None:
        """Take the state that ``snapshot`` returned."""


@final
class GroupNode:
    """One member of a group, with its disk and its links."""

    def __init__(
        self,
        node: Node,
        config: ReplicaConfig,
        store: Store,
        machine: StateMachine,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Recover from the store; ``start`` takes part."""
        self.machine = machine
        self.config = config
        self.applied = Index(0)
        self._node = node
        self._store = store
        self._clock = clock
        self._events = events
        self.links = LinkPool(node)
        self._future_by_index: dict[
            Index,
            tuple[Term, asyncio.Future[Result[Any, TurmericmastError]]],
        ] = {}
        self._log_bytes = 0
        self._snapshot_bytes = 0
        self._flush_is_due = False
        self._shown: tuple[Role, MemberId] = (Role.learner, MemberId(''))
        self._ticker = PeriodicCallback(self._tick, TICK_MS)
        self.replica = Replica(
            config,
            store,
            Incarnation(secrets.token_hex(6)),
            clock.now(),
        )
        self._carry_out()

    def __enter__(self) -> Self:
        """Return the node."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop taking part."""
        self._ticker.stop()
        with self.links:
            self._fail_from(Index(0), 'this process stops')

    def start(self, address_by_member: Mapping[MemberId, str]) -> None:
        """Take part; members without an address are named by theirs."""
        self.links.address_by_member = address_by_member
        self._ticker.start()

    @property
    def seats(self) -> tuple[Seat, ...]:
        """Return who has a seat in the group."""
        return self.replica.state.membership.seats

    def contact_age(self) -> float:
        """Return the seconds since a quorum was known to stand behind this."""
        return self.replica.contact_age(self._clock.now())

    @property
    def leads(self) -> bool:
        """Tell whether this member leads and no other one can."""
        return self.replica.is_ready and (
            self._clock.now() < self.replica.lease_end()
        )

    async def hand_over(self, timeout: float) -> None:
        """Give up the lead before this process stops."""
        deadline = self._clock.now() + timeout
        while not self.replica.transfer_leadership():
            if self._clock.now() >= deadline:
                return
            await asyncio.sleep(TICK_MS / MILLIS_PER_SECOND)
        self._flush()
        # The message must leave before the links are closed, and those who
        # ask meanwhile should learn who leads now.
        while self._clock.now() < deadline and not self.replica.leader:
            await asyncio.sleep(TICK_MS / MILLIS_PER_SECOND)

    def receive(self, message: Any) -> None:
        """Handle a message of another member."""
        self.replica.receive(message, self._clock.now())
        self._flush_soon()

    async def propose(
        self,
        command: Any,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Commit a command and return what applying it gave.

        A failure leaves open whether the command will be committed: commands
        carry ids, so that they can be sent again.
        """
        if not self.replica.is_ready:
            return Failure(self.not_leader())
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
        self._flush_soon()
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return Failure(self._unfinished(f'not committed in {timeout:g} s'))
        finally:
            self._future_by_index.pop(index, None)

    def not_leader(self) -> NotLeaderError:
        """Return the error that names the leader, as far as known."""
        return NotLeaderError(
            f'{self.config.own_id} does not lead its group',
            step='change group',
            peer=self.replica.leader,
            hint='ask the leader, or again in a second',
        )

    def _tick(self) -> None:
        self._drop_links()
        self.replica.tick(self._clock.now())
        self._flush()

    def _flush_soon(self) -> None:
        if not self._flush_is_due:
            self._flush_is_due = True
            IOLoop.current().add_callback(self._flush)

    def _flush(self) -> None:
        self._flush_is_due = False
        # Others may write while this disk does: what a leader appended does
        # not count as its own before its sync, and theirs not before theirs.
        for member, message in self.replica.take_appends():
            self.links.to(member).send(message)
        self._store.sync()
        self.replica.on_synced(self._clock.now())
        # Counting the own log may commit entries and append nothing new.
        self._carry_out()
        self._show_changes()

    def _carry_out(self) -> None:
        effects = self.replica.take_effects()
        for member, message in effects.messages:
            self.links.to(member).send(message)
        if effects.restored:
            self._restore(effects.restored)
        for entry in effects.committed:
            self._apply(entry)
        if effects.committed:
            self._compact()

    def _drop_links(self) -> None:
        """Close the links to members that have left an open group."""
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
        self.applied = snapshot.index
        self._snapshot_bytes = len(snapshot.state)
        self._log_bytes = 0
        if snapshot.state:
            self.machine.restore(decode(snapshot.state).unwrap())
        self._fail_from(Index(0), 'another member took the lead')

    def _apply(self, entry: Entry) -> None:
        self.applied = entry.index
        self._log_bytes += len(entry.payload)
        outcome = None
        # A witness has no payload to apply.
        if entry.kind is EntryKind.command and entry.payload:
            command = decode(entry.payload).unwrap()
            outcome = self.machine.apply(entry.index, command)
        term, future = self._future_by_index.pop(entry.index, (None, None))
        if future and not future.done():
            is_own = term == entry.term
            future.set_result(
                Success(outcome)
                if is_own
                else Failure(
                    self._unfinished('another command took its place')
                ),
            )

    def _compact(self) -> None:
        replica_state = self.replica.state
        entries = self.applied - replica_state.log.snapshot_index
        is_worth_it = self._log_bytes >= COMPACT_FACTOR * self._snapshot_bytes
        if entries < COMPACT_ENTRIES or not is_worth_it:
            return
        state = (
            b'' if self.config.is_witness else encode(self.machine.snapshot())
        )
        self.replica.compact(self.applied, state)
        self._snapshot_bytes = len(state)
        self._log_bytes = 0
        self._node.metrics.count('snapshots')

    def _show_changes(self) -> None:
        shown = (self.replica.role, self.replica.leader)
        if shown == self._shown:
            return
        if self._shown[0] is Role.leader:
            self._fail_from(Index(0), 'this member lost the lead')
        self._shown = shown
        self._events.write(
            'replica',
            role=shown[0].value,
            leader=shown[1],
            term=self.replica.state.vote.term,
        )

    def _fail_from(self, index: Index, found: str) -> None:
        waiting = [
            future
            for at, (_, future) in self._future_by_index.items()
            if at >= index
        ]
        for future in waiting:
            if not future.done():
                future.set_result(Failure(self._unfinished(found)))

    def _unfinished(self, found: str) -> WireError:
        return WireError(
            f'{found}; the change may still be made',
            step='change group',
            peer=self.config.own_id,
            hint='send it again under the same id',
        )
