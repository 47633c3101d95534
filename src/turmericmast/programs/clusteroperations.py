"""Operations on the cluster that a core member offers."""

import asyncio
import hashlib
import zlib
from typing import TYPE_CHECKING, Any, final

from returns.result import Failure, Result, Success

from turmericmast.cluster import commands
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.cluster.records import RoutesRecord, TargetRecord
from turmericmast.exceptions import (
    ConflictError,
    NotLeaderError,
    RefusedError,
    SettingsError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import (
    Digest,
    DomainId,
    Index,
    MemberId,
    TargetId,
    Version,
)
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.groupsetup import error_reply, flatten_result
from turmericmast.route.document import RouteFormat
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
DIGEST_LENGTH = 16
"""Hexadecimal digits in the digest of a route document."""
MAX_REASON_LENGTH = 300
"""Characters of a refusal that an event repeats.

A document may have a fault in each of hundreds of routes."""


@final
class ClusterOperations:
    """Changes and reads the cluster at any member, through the leader."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        group: GroupMember,
        state_machine: ClusterStateMachine,
        route_format: RouteFormat,
    ) -> None:
        """Parse route documents with ``route_format``."""
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
        """Record a report of a target.

        Returns the address for the next report, empty for this member, once a
        report that changes the registry is committed.
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
        """Remove a target that leaves and sends no more reports.

        Returns what ``change`` does.
        """
        self._reporting_targets.discard(target)
        return await self.change(commands.RemoveTargets((target,)))

    async def propose_routes(
        self,
        source: bytes,
    ) -> Result[bool, TurmericmastError]:
        """Replace the routes by a document in the route format.

        Returns what ``change`` does. Fails with ``SettingsError`` if the
        document is invalid, and with ``ConflictError`` if it is not based on
        the current version.
        """
        digest = Digest(hashlib.sha256(source).hexdigest()[:DIGEST_LENGTH])
        parsed = self._route_format.parse(source).bind(
            lambda document: document.validate()
        )
        if not isinstance(parsed, Success):
            self._log_proposal(digest, parsed)
            return Failure(parsed.failure())
        document = parsed.unwrap()
        proposed = await self.change(
            commands.ProposeRoutes(
                RoutesRecord(document.version, digest, zlib.compress(source)),
                document.base,
            ),
        )
        self._log_proposal(
            digest, proposed, version=document.version, base=document.base
        )
        return proposed

    async def read_routes(self) -> Result[bytes, TurmericmastError]:
        """Return the latest committed route document as the operator sent it.

        Fails with ``RefusedError`` if no routes have been set yet. Also fails
        if this member cannot learn the leader's commit index or apply the log
        up to it in time, since its version might be stale.
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
                    'no routes have been set yet',
                    step='read routes',
                    hint='send the first version of the route document',
                ),
            )
        return Success(zlib.decompress(current.source))

    async def set_evacuation(
        self,
        domain: DomainId,
        *,
        evacuated: bool,
    ) -> Result[bool, TurmericmastError]:
        """Evacuate a failure domain, or return it to service.

        Returns what ``change`` does. Fails with ``SettingsError`` for an
        unknown domain.
        """
        if domain not in self._process.settings.region_by_domain:
            known_domains = ', '.join(self._process.settings.region_by_domain)
            return Failure(
                SettingsError(
                    f'unknown failure domain {domain!r}',
                    step='evacuate',
                    hint=f'use one of {known_domains}',
                ),
            )
        return await self.change(commands.SetEvacuation(domain, evacuated))

    async def change(
        self,
        command: commands.ClusterCommand,
    ) -> Result[bool, TurmericmastError]:
        """Commit a command, here or through the leader.

        Tries again while there is no leader, within ``CHANGE_TIMEOUT``.
        Returns whether the command changed the cluster; always true if another
        member is the leader.
        """
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

    async def serve_crash_report(self, crash: ReportCrash) -> Any:
        """Answer an edge that reports a request whose target crashed."""
        recorded = await self.change(crash)
        if isinstance(recorded, Success):
            return self._commit_index_reply()
        return error_reply(recorded.failure())

    async def serve_change(self, command: commands.ClusterCommand) -> Any:
        """Commit a change that a member forwards, if this one is the leader."""
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
        """Answer a member that requests the leader's commit index."""
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        return self._commit_index_reply()

    def serve_near_member(
        self, question: watchrequests.AskMember
    ) -> watchrequests.TellMember:
        """Answer an edge that looks for a member in its failure domain."""
        return watchrequests.TellMember(self._member_in(question.domain))

    def _log_proposal(
        self,
        digest: Digest,
        outcome: Result[Any, TurmericmastError],
        **versions: Version,
    ) -> None:
        is_accepted = isinstance(outcome, Success)
        reason = '' if is_accepted else outcome.failure().show()
        self._process.events.write(
            'routes_proposed',
            digest=digest,
            accepted=is_accepted,
            reason=reason[:MAX_REASON_LENGTH],
            **versions,
        )

    def _commit_index_reply(self) -> watchrequests.TellIndex:
        return watchrequests.TellIndex(self._group.replica.state.commit)

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
        """Return an index that covers all changes acknowledged so far."""
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
        """Return the address of the member that a target should report to.

        It is the member in the target's failure domain, ``domain``. Empty if
        that is this member, or if that domain has no member.
        """
        settings = self._process.settings
        if domain == settings.domain:
            return ''
        host, _, _ = self._member_in(domain).rpartition(':')
        return f'{host}:{settings.operators_port}' if host else ''

    def _member_in(self, domain: DomainId) -> MemberId:
        """Return a member in a failure domain, empty if there is none."""
        return next(
            (
                seat.member
                for seat in self._group.seats
                if seat.domain == domain
            ),
            MemberId(''),
        )

    def _timeout_error(self, step: str) -> WireError:
        return WireError(
            'this member did not apply the latest changes in time',
            step=step,
            hint='try again, or try another member',
        )


def _parse_change_reply(answer: Any) -> Result[bool, TurmericmastError]:
    match answer:
        case watchrequests.TellIndex():
            return Success(True)
        case replies.Conflict(step=step, message=message, hint=hint):
            return Failure(ConflictError(message, step=step, hint=hint))
        case replies.Refusal(step=step, message=message, hint=hint):
            return Failure(RefusedError(message, step=step, hint=hint))
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
