"""What operators and targets may ask of a core member."""

import asyncio
import hashlib
import zlib
from typing import Any, final

from returns.result import Failure, Result, Success

from turmericmast.cluster import commands
from turmericmast.cluster.records import RoutesRecord, TargetRecord
from turmericmast.exceptions import (
    ConflictError,
    NotLeaderError,
    RefusedError,
    SettingsError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import Digest, DomainId, Index, TargetId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.groupsetup import error_reply, flatten_result
from turmericmast.programs.runner import Process
from turmericmast.route.document import RouteFormat
from turmericmast.wire import clusterrequests, replies

CHANGE_TIMEOUT = 0.9
"""Seconds for a change; whoever asked goes elsewhere after one second."""
RETRY_INTERVAL = 0.1
"""Seconds before a change is tried again while there is no leader."""
APPLY_POLL_INTERVAL = 0.02
"""Seconds between two looks at how far this member has applied the log."""
DIGEST_LENGTH = 16


@final
class ClusterOperations:
    """Takes orders at any member and has the leader carry them out."""

    def __init__(
        self,
        process: Process[InstanceSettings],
        group: GroupMember,
        state_machine: ClusterStateMachine,
        route_format: RouteFormat,
    ) -> None:
        """Read route documents by ``route_format``."""
        self._process = process
        self._group = group
        self._state_machine = state_machine
        self._route_format = route_format
        self._reporting_targets: set[TargetId] = set()

    def take_reporting_targets(self) -> set[TargetId]:
        """Return the targets that reported since the last call."""
        reporting_targets = self._reporting_targets
        self._reporting_targets = set()
        return reporting_targets

    async def report_target(
        self,
        record: TargetRecord,
    ) -> Result[str, TurmericmastError]:
        """Take a report of a target; return where to send the next one.

        The answer is given once the report is known to a quorum.
        """
        self._reporting_targets.add(record.target)
        registry = self._state_machine.cluster.registry
        if registry.would_change(record):
            changed = await self.change(commands.ReportTarget(record))
            if not isinstance(changed, Success):
                return Failure(changed.failure())
        return Success(self._report_address(record.domain))

    async def remove_target(
        self,
        target: TargetId,
    ) -> Result[bool, TurmericmastError]:
        """Take note that a target leaves without any more reports."""
        self._reporting_targets.discard(target)
        return await self.change(commands.RemoveTargets((target,)))

    async def propose_routes(
        self,
        source: bytes,
    ) -> Result[bool, TurmericmastError]:
        """Replace the routes, if they build on the version in place."""
        parsed = self._route_format.parse(source).bind(
            lambda one: one.validate()
        )
        if not isinstance(parsed, Success):
            return Failure(parsed.failure())
        document = parsed.unwrap()
        digest = hashlib.sha256(source).hexdigest()[:DIGEST_LENGTH]
        return await self.change(
            commands.ProposeRoutes(
                RoutesRecord(
                    document.version,
                    Digest(digest),
                    zlib.compress(source),
                ),
                document.base,
            ),
        )

    async def read_routes(self) -> Result[bytes, TurmericmastError]:
        """Return the newest routes, as they were sent.

        Fails when this member cannot be sure which version is the newest.
        """
        index = await self._fetch_commit_index()
        if not isinstance(index, Success):
            return Failure(index.failure())
        if not await self._wait_until_applied(index.unwrap()):
            return Failure(self._timeout_error('apply the log'))
        current = self._state_machine.cluster.route_versions.current
        if not current.source:
            return Failure(
                RefusedError(
                    'there are no routes yet',
                    step='read routes',
                    hint='send the first version',
                ),
            )
        return Success(zlib.decompress(current.source))

    async def set_evacuation(
        self,
        domain: DomainId,
        *,
        evacuated: bool,
    ) -> Result[bool, TurmericmastError]:
        """Empty a failure domain, or take it back."""
        if domain not in self._process.settings.region_by_domain:
            known = ', '.join(self._process.settings.region_by_domain)
            return Failure(
                SettingsError(
                    f'failure domain {domain!r} is not known',
                    step='evacuate',
                    hint=f'write one of {known}',
                ),
            )
        return await self.change(commands.SetEvacuation(domain, evacuated))

    async def change(
        self,
        command: commands.ClusterCommand,
    ) -> Result[bool, TurmericmastError]:
        """Commit a command through whoever leads."""
        deadline = self._process.clock.now() + CHANGE_TIMEOUT
        while True:
            time_left = deadline - self._process.clock.now()
            outcome = await self._change_once(command, time_left)
            is_retryable = not isinstance(outcome, Success) and isinstance(
                outcome.failure(),
                NotLeaderError,
            )
            if not is_retryable or time_left < 2 * RETRY_INTERVAL:
                return outcome
            await asyncio.sleep(RETRY_INTERVAL)

    async def serve_crash_report(self, crash: commands.ReportCrash) -> Any:
        """Answer an edge whose target crashed."""
        recorded = await self.change(crash)
        if isinstance(recorded, Success):
            return self._commit_index_reply()
        return error_reply(recorded.failure())

    async def serve_change(self, command: commands.ClusterCommand) -> Any:
        """Answer a member that handed on a change."""
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        answer = flatten_result(
            await self._group.propose(command, CHANGE_TIMEOUT)
        )
        if isinstance(answer, Success):
            return self._commit_index_reply()
        error = answer.failure()
        if isinstance(error, ConflictError):
            return replies.Conflict(error.step, error.message, error.hint)
        return error_reply(error)

    def serve_commit_index(self) -> Any:
        """Answer a member that asks up to where the log is committed."""
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        return self._commit_index_reply()

    def _commit_index_reply(self) -> clusterrequests.TellIndex:
        return clusterrequests.TellIndex(self._group.replica.state.commit)

    async def _change_once(
        self,
        command: commands.ClusterCommand,
        timeout: float,
    ) -> Result[bool, TurmericmastError]:
        if self._group.is_leader:
            outcome: Result[bool, TurmericmastError] = flatten_result(
                await self._group.propose(command, timeout),
            )
            return outcome
        leader = self._group.replica.leader
        if not leader:
            return Failure(self._group.not_leader_error())
        answer = await self._group.links.to(leader).request(
            clusterrequests.ChangeCluster(command),
            timeout,
        )
        if isinstance(answer, Success):
            return _parse_change_reply(answer.unwrap())
        return Failure(answer.failure())

    async def _fetch_commit_index(self) -> Result[Index, TurmericmastError]:
        """Return an index that holds everything acknowledged before now."""
        if self._group.is_leader:
            return Success(self._group.replica.state.commit)
        leader = self._group.replica.leader
        if not leader:
            return Failure(self._group.not_leader_error())
        answer = await self._group.links.to(leader).request(
            clusterrequests.AskIndex(),
            CHANGE_TIMEOUT,
        )
        if isinstance(answer, Success):
            return _parse_index_reply(answer.unwrap())
        return Failure(answer.failure())

    async def _wait_until_applied(self, index: Index) -> bool:
        deadline = self._process.clock.now() + CHANGE_TIMEOUT
        while self._group.applied_index < index:
            if self._process.clock.now() > deadline:
                return False
            await asyncio.sleep(APPLY_POLL_INTERVAL)
        return True

    def _report_address(self, domain: DomainId) -> str:
        """Return where a target in a failure domain should report."""
        settings = self._process.settings
        if domain == settings.domain:
            return ''
        return next(
            (
                f'{seat.member.rpartition(":")[0]}:{settings.operators_port}'
                for seat in self._group.seats
                if seat.domain == domain
            ),
            '',
        )

    def _timeout_error(self, step: str) -> WireError:
        return WireError(
            'not done in time',
            step=step,
            hint='ask again, or ask another member',
        )


def _parse_change_reply(answer: Any) -> Result[bool, TurmericmastError]:
    match answer:
        case clusterrequests.TellIndex():
            return Success(True)
        case replies.Conflict(step=step, message=message, hint=hint):
            return Failure(ConflictError(message, step=step, hint=hint))
        case replies.Refusal(step=step, message=message, hint=hint):
            return Failure(RefusedError(message, step=step, hint=hint))
    return Failure(_not_leader_error(answer))


def _parse_index_reply(answer: Any) -> Result[Index, TurmericmastError]:
    if isinstance(answer, clusterrequests.TellIndex):
        return Success(answer.index)
    return Failure(_not_leader_error(answer))


def _not_leader_error(answer: Any) -> TurmericmastError:
    return NotLeaderError(
        str(getattr(answer, 'message', answer)),
        step='ask leader',
        peer=getattr(answer, 'leader', ''),
        hint='ask again, or ask another member',
    )
