"""Commits commands to the cluster, at any member, through the leader."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, final

from returns.result import Failure, Result, Success

from turmericmast.cluster import commands
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.cluster.pendingcommands import PendingCommands
from turmericmast.exceptions import (
    ConflictError,
    NotLeaderError,
    OvertakenError,
    RefusedError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import Index, MemberId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.groupsetup import error_reply, flatten_result
from turmericmast.programs.readproofs import ReadProofs
from turmericmast.wire import clusterrequests, replies, watchrequests

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

CHANGE_TIMEOUT = 0.9
"""Seconds for a change or a read.

Clients turn to another member after one second."""
RETRY_INTERVAL = 0.1
"""Seconds between two attempts at a change while there is no leader."""
APPLY_POLL_INTERVAL = 0.02
"""Seconds between two checks whether an index has been applied."""
CATCH_UP_TIMEOUT = 0.3
"""Seconds for which an order waits until this member has caught up."""
MAX_ORDER_AGE = 10.0
"""Seconds after which an order of unknown age is no longer in transit."""


@final
class ClusterCommitter:
    """Commits commands, and keeps late orders from undoing later ones."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        group: GroupMember,
        state_machine: ClusterStateMachine,
    ) -> None:
        """Commit to the log of ``group``, which ``state_machine`` applies."""
        self._process = process
        self._group = group
        self._state_machine = state_machine
        self._pending = PendingCommands()
        self.proofs = ReadProofs(process.clock, group, self.fetch_commit_index)
        """What this member can prove to edges."""
        self.check_members: Callable[[], RefusedError | None] = _find_nothing
        """Returns why the members can't apply the entries of a rollout."""

    def known_index(self) -> Index:
        """Return an index that this member had applied a moment ago.

        A request on a connection that is accepted now was sent afterwards.
        """
        return self._group.history.settled

    async def change(
        self,
        command: commands.ClusterCommand,
        known: Index | None = None,
    ) -> Result[bool, TurmericmastError]:
        """Commit a command, here or through the leader.

        ``known`` is an index that had been applied before an operator sent the
        command as an order. Orders fail with ``OvertakenError`` if they would
        undo a later one. Tries again while there is no leader, within
        ``CHANGE_TIMEOUT``.
        Returns whether the command changed the cluster; always true if another
        member is the leader.
        """
        deadline = self._process.clock.now() + CHANGE_TIMEOUT
        while True:
            time_left = deadline - self._process.clock.now()
            outcome = await self._change_once(command, known, time_left)
            is_retryable = not isinstance(outcome, Success) and isinstance(
                outcome.failure(),
                NotLeaderError,
            )
            if not is_retryable or time_left < 2 * RETRY_INTERVAL:
                return outcome
            await asyncio.sleep(RETRY_INTERVAL)

    async def order(
        self, command: commands.ClusterCommand, known: Index
    ) -> Result[bool, TurmericmastError]:
        """Commit an order of an operator, unless it would undo a later one.

        ``known`` is an index that had been applied before the order was sent.
        Returns what ``change`` does. After an ``OvertakenError``, this member
        has caught up with the later order, so that another attempt is not
        overtaken by the same one.
        """
        outcome = await self.change(command, known)
        error = None if isinstance(outcome, Success) else outcome.failure()
        if isinstance(error, OvertakenError):
            await self._wait_until(
                error.index, self.known_index, CATCH_UP_TIMEOUT
            )
        return outcome

    async def catch_up(
        self, timeout: float = CHANGE_TIMEOUT
    ) -> Result[Index, TurmericmastError]:
        """Apply all that was acknowledged before this call.

        Returns the index up to which that reaches. Fails if it cannot be
        learnt from the leader or is not applied in ``timeout`` seconds.
        """
        index = await self.fetch_commit_index(timeout)
        if not isinstance(index, Success):
            return index
        is_applied = await self._wait_until(
            index.unwrap(), lambda: self._group.applied_index, timeout
        )
        if is_applied:
            return index
        return Failure(self._timeout_error('apply the log'))

    async def serve_crash_report(self, crash: ReportCrash) -> Any:
        """Answer an edge that reports a request whose target crashed."""
        recorded = await self.change(crash)
        if isinstance(recorded, Success):
            return self._commit_index_reply()
        return error_reply(recorded.failure())

    async def serve_change(self, change: clusterrequests.ChangeCluster) -> Any:
        """Commit a change that a member forwards, if this one is the leader.

        An order of a member of an older version may have been sent up to
        ``MAX_ORDER_AGE`` ago, but counts as sent under this leader. If it would
        undo a later one, it is refused as if this member were not the leader.
        """
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        known = change.known
        if known is None and isinstance(change.command, commands.Order):
            known = self._known_by_any_order()
        answer = await self._commit(change.command, known, CHANGE_TIMEOUT)
        if isinstance(answer, Success):
            return self._commit_index_reply()
        error = answer.failure()
        if isinstance(error, OvertakenError):
            return (
                replies.NotNow(MemberId(''), error.message)
                if change.known is None
                else replies.Overtaken(error.index)
            )
        if isinstance(error, ConflictError):
            return replies.Conflict(error.step, error.message, error.hint)
        return error_reply(error)

    async def fetch_commit_index(
        self, timeout: float
    ) -> Result[Index, TurmericmastError]:
        """Return an index that covers all changes acknowledged so far."""
        if self._group.is_leader:
            return Success(self._group.replica.state.commit)
        leader = self._group.replica.leader
        if not leader:
            return Failure(self._group.not_leader_error())
        answer = await self._group.links.to(leader).request(
            clusterrequests.AskIndex(),
            timeout,
        )
        if isinstance(answer, Success):
            return _parse_index_reply(answer.unwrap())
        return Failure(answer.failure())

    def serve_commit_index(self) -> Any:
        """Answer a member that requests the leader's commit index."""
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        return self._commit_index_reply()

    def _known_by_any_order(self) -> Index:
        """Return an index applied before any order in transit was sent."""
        applied = self._group.history.applied_at(
            self._process.clock.now() - MAX_ORDER_AGE
        )
        return max(applied, self._group.led_since)

    def _commit_index_reply(self) -> watchrequests.TellIndex:
        return watchrequests.TellIndex(self._group.replica.state.commit)

    async def _wait_until(
        self, index: Index, read_index: Callable[[], Index], timeout: float
    ) -> bool:
        """Wait for an index; return whether it came in ``timeout`` s."""
        deadline = self._process.clock.now() + timeout
        while read_index() < index:
            if self._process.clock.now() > deadline:
                return False
            await asyncio.sleep(APPLY_POLL_INTERVAL)
        return True

    def _timeout_error(self, step: str) -> WireError:
        return WireError(
            'this member did not apply the latest changes in time',
            step=step,
            hint='try again, or try another member',
        )

    async def _commit(
        self,
        command: commands.ClusterCommand,
        known: Index | None,
        timeout: float,
    ) -> Result[bool, TurmericmastError]:
        """Commit a command as the leader.

        An order is checked after the commands that precede it in the log.
        """
        deadline = self._process.clock.now() + timeout
        if isinstance(command, commands.Order):
            while self._pending.precede(command):
                if self._process.clock.now() > deadline:
                    return Failure(self._timeout_error('await other changes'))
                await asyncio.sleep(APPLY_POLL_INTERVAL)
        refused = self._check_order(command, known)
        if isinstance(command, commands.OrderRollout):
            refused = self.check_members()
        if refused:
            return Failure(refused)
        with self._pending.track(command):
            outcome: Result[bool, TurmericmastError] = flatten_result(
                await self._group.propose(
                    command, deadline - self._process.clock.now()
                ),
            )
            return outcome

    def _check_order(
        self, command: commands.ClusterCommand, known: Index | None
    ) -> TurmericmastError | None:
        """Return an error if an order would undo a later one."""
        cluster = self._state_machine.cluster
        if known is None or not cluster.is_overtaken(command, known):
            return None
        # The later order may have changed nothing, and the cluster's own index
        # is that of the last change.
        index = self._group.applied_index
        self._process.events.write(
            'order_overtaken',
            order=repr(command),
            known=known,
            index=index,
        )
        return OvertakenError(index, step='check order')

    async def _change_once(
        self,
        command: commands.ClusterCommand,
        known: Index | None,
        timeout: float,
    ) -> Result[bool, TurmericmastError]:
        deadline = self._process.clock.now() + timeout
        if self._group.is_leader:
            return await self._commit(command, known, timeout)
        leader = self._group.replica.leader
        if not leader:
            return Failure(self._group.not_leader_error())
        if known is not None:
            # Leaders of older versions do not check orders.
            await self.catch_up(CATCH_UP_TIMEOUT)
            overtaken = self._check_order(command, known)
            if overtaken:
                return Failure(overtaken)
        answer = await self._group.links.to(leader).request(
            clusterrequests.ChangeCluster(command, known),
            deadline - self._process.clock.now(),
        )
        if isinstance(answer, Success):
            return _parse_change_reply(answer.unwrap())
        return Failure(answer.failure())


def _find_nothing() -> None:
    """Return no error; the default until a check is set."""


def _parse_change_reply(answer: Any) -> Result[bool, TurmericmastError]:
    match answer:
        case watchrequests.TellIndex():
            return Success(True)
        case replies.Conflict(step=step, message=message, hint=hint):
            return Failure(ConflictError(message, step=step, hint=hint))
        case replies.Refusal(step=step, message=message, hint=hint):
            return Failure(RefusedError(message, step=step, hint=hint))
        case replies.Overtaken(index=index):
            return Failure(OvertakenError(index, step='ask leader'))
    return Failure(_not_leader_error(answer))


def _parse_index_reply(answer: Any) -> Result[Index, TurmericmastError]:
    if isinstance(answer, watchrequests.TellIndex):
        return Success(answer.index)
    return Failure(_not_leader_error(answer))


def _not_leader_error(answer: Any) -> TurmericmastError:
    return NotLeaderError(
        str(getattr(answer, 'message', answer)),
        step='ask leader',
        peer=getattr(answer, 'leader', ''),
        hint='try again, or try another member',
    )
