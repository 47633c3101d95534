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
from turmericmast.programs.clustermachine import ClusterMachine
from turmericmast.programs.group import GroupNode
from turmericmast.programs.member import refusal_of, unwrap
from turmericmast.programs.runner import Process
from turmericmast.route.document import RouteFormat
from turmericmast.wire import clusterrequests, replies

CHANGE_TIMEOUT = 0.9
"""Seconds for a change; whoever asked goes elsewhere after one second."""
RETRY_PAUSE = 0.1
"""Seconds before a change is tried again while there is no leader."""
APPLY_PAUSE = 0.02
"""Seconds between two looks at how far this member has applied the log."""
DIGEST_LENGTH = 16


@final
class ClusterDesk:
    """Takes orders at any member and has the leader carry them out."""

    def __init__(
        self,
        process: Process[InstanceSettings],
        group: GroupNode,
        machine: ClusterMachine,
        route_format: RouteFormat,
    ) -> None:
        """Read route documents by ``route_format``."""
        self._process = process
        self._group = group
        self._machine = machine
        self._format = route_format
        self._heard: set[TargetId] = set()

    def take_heard(self) -> set[TargetId]:
        """Return the targets that reported since the last call."""
        heard = self._heard
        self._heard = set()
        return heard

    async def report(
        self,
        record: TargetRecord,
    ) -> Result[str, TurmericmastError]:
        """Take a report of a target; return where to send the next one.

        The answer is given once the report is known to a quorum.
        """
        self._heard.add(record.target)
        registry = self._machine.cluster.registry
        if registry.would_change(record):
            changed = await self.change(commands.ReportTarget(record))
            if not isinstance(changed, Success):
                return Failure(changed.failure())
        return Success(self._nearest(record.domain))

    async def remove(
        self,
        target: TargetId,
    ) -> Result[bool, TurmericmastError]:
        """Take note that a target leaves without any more reports."""
        self._heard.discard(target)
        return await self.change(commands.RemoveTargets((target,)))

    async def propose(
        self,
        source: bytes,
    ) -> Result[bool, TurmericmastError]:
        """Replace the routes, if they build on the version in place."""
        parsed = self._format.parse(source).bind(lambda one: one.validate())
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

    async def read(self) -> Result[bytes, TurmericmastError]:
        """Return the newest routes, as they were sent.

        Fails when this member cannot be sure which version is the newest.
        """
        index = await self._newest_index()
        if not isinstance(index, Success):
            return Failure(index.failure())
        if not await self._has_applied(index.unwrap()):
            return Failure(self._not_in_time('apply the log'))
        current = self._machine.cluster.route_versions.current
        if not current.source:
            return Failure(
                RefusedError(
                    'there are no routes yet',
                    step='read routes',
                    hint='send the first version',
                ),
            )
        return Success(zlib.decompress(current.source))

    async def evacuate(
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
            left = deadline - self._process.clock.now()
            outcome = await self._change_once(command, left)
            is_open = not isinstance(outcome, Success) and isinstance(
                outcome.failure(),
                NotLeaderError,
            )
            if not is_open or left < 2 * RETRY_PAUSE:
                return outcome
            await asyncio.sleep(RETRY_PAUSE)

    async def take_crash(self, crash: commands.ReportCrash) -> Any:
        """Answer an edge whose target crashed."""
        taken = await self.change(crash)
        if isinstance(taken, Success):
            return self._tell_index()
        return refusal_of(taken.failure())

    async def serve_change(self, command: commands.ClusterCommand) -> Any:
        """Answer a member that handed on a change."""
        if not self._group.leads:
            return refusal_of(self._group.not_leader())
        answer = unwrap(await self._group.propose(command, CHANGE_TIMEOUT))
        if isinstance(answer, Success):
            return self._tell_index()
        error = answer.failure()
        if isinstance(error, ConflictError):
            return replies.Conflict(error.step, error.message, error.hint)
        return refusal_of(error)

    def serve_index(self) -> Any:
        """Answer a member that asks up to where the log is committed."""
        if not self._group.leads:
            return refusal_of(self._group.not_leader())
        return self._tell_index()

    def _tell_index(self) -> clusterrequests.TellIndex:
        return clusterrequests.TellIndex(self._group.replica.state.commit)

    async def _change_once(
        self,
        command: commands.ClusterCommand,
        timeout: float,
    ) -> Result[bool, TurmericmastError]:
        if self._group.leads:
            outcome: Result[bool, TurmericmastError] = unwrap(
                await self._group.propose(command, timeout),
            )
            return outcome
        leader = self._group.replica.leader
        if not leader:
            return Failure(self._group.not_leader())
        answer = await self._group.links.to(leader).request(
            clusterrequests.ChangeCluster(command),
            timeout,
        )
        if isinstance(answer, Success):
            return _understand(answer.unwrap())
        return Failure(answer.failure())

    async def _newest_index(self) -> Result[Index, TurmericmastError]:
        """Return an index that holds everything acknowledged before now."""
        if self._group.leads:
            return Success(self._group.replica.state.commit)
        leader = self._group.replica.leader
        if not leader:
            return Failure(self._group.not_leader())
        answer = await self._group.links.to(leader).request(
            clusterrequests.AskIndex(),
            CHANGE_TIMEOUT,
        )
        if isinstance(answer, Success):
            return _understand_index(answer.unwrap())
        return Failure(answer.failure())

    async def _has_applied(self, index: Index) -> bool:
        deadline = self._process.clock.now() + CHANGE_TIMEOUT
        while self._group.applied < index:
            if self._process.clock.now() > deadline:
                return False
            await asyncio.sleep(APPLY_PAUSE)
        return True

    def _nearest(self, domain: DomainId) -> str:
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

    def _not_in_time(self, step: str) -> WireError:
        return WireError(
            'not done in time',
            step=step,
            hint='ask again, or ask another member',
        )


def _understand(answer: Any) -> Result[bool, TurmericmastError]:
    match answer:
        case clusterrequests.TellIndex():
            return Success(True)
        case replies.Conflict(step=step, message=message, hint=hint):
            return Failure(ConflictError(message, step=step, hint=hint))
        case replies.Refusal(step=step, message=message, hint=hint):
            return Failure(RefusedError(message, step=step, hint=hint))
    return Failure(_not_now(answer))


def _understand_index(answer: Any) -> Result[Index, TurmericmastError]:
    if isinstance(answer, clusterrequests.TellIndex):
        return Success(answer.index)
    return Failure(_not_now(answer))


def _not_now(answer: Any) -> TurmericmastError:
    return NotLeaderError(
        str(getattr(answer, 'message', answer)),
        step='ask leader',
        peer=getattr(answer, 'leader', ''),
        hint='ask again, or ask another member',
    )
