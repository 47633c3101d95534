"""``turmericmast-ledger``: a member of a region's ledger group."""

import asyncio
import contextlib
from typing import Any, final

from returns.result import Success
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from turmericmast.ids import Index
from turmericmast.ledger.commands import Purge
from turmericmast.ledger.ledger import Ledger
from turmericmast.programs.groupmember import GroupMember, StateMachine
from turmericmast.programs.groupsetup import (
    LEADERSHIP_TRANSFER_TIMEOUT,
    error_reply,
    find_group,
    open_group_member,
    serve_group,
)
from turmericmast.programs.runner import Process, run_program
from turmericmast.replica import messages
from turmericmast.settings import GroupKind, load_settings
from turmericmast.web.metricspage import MetricsPage
from turmericmast.wire import replies, requests
from turmericmast.wire.server import Handler

COMMIT_TIMEOUT = 1.0
"""Seconds to wait until a command is committed."""
PURGE_INTERVAL_MS = 60_000
"""Milliseconds between two removals of records whose retention ended."""


@final
class LedgerStateMachine(StateMachine):
    """Applies commands to the records of keyed requests."""

    def __init__(self) -> None:
        """Begin with an empty ledger."""
        self.ledger = Ledger()

    def apply(self, index: Index, command: Any) -> Any:
        """Apply a command and return its result."""
        return self.ledger.apply(command)

    def snapshot(self) -> Any:
        """Return a copy of all records."""
        return self.ledger.snapshot()

    def restore(self, state: Any) -> None:
        """Replace all records."""
        self.ledger.restore(state)


@final
class LedgerHandler(Handler):
    """Handles messages from entries and the other members of the group."""

    def __init__(self, process: Process, group: GroupMember) -> None:
        """Serve the ledger that ``group`` replicates."""
        self._process = process
        self._group = group

    async def handle(self, sender: str, body: Any) -> Any:
        """Handle one message; return the answer, ``None`` if it needs none."""
        if isinstance(body, messages.Message):
            self._group.receive(body)
            return None
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        if not isinstance(body, requests.ChangeLedger):
            return replies.Refusal(
                'handle', f'message of unexpected type {type(body)}', ''
            )
        answer = await self._group.propose(body.command, COMMIT_TIMEOUT)
        if isinstance(answer, Success):
            self._process.metrics.count('ledger_changes')
            return answer.unwrap()
        return error_reply(answer.failure())

    def purge(self) -> None:
        """Remove records whose retention ended, if this member leads."""
        if self._group.is_leader:
            before_ms = self._process.clock.wall()
            asyncio.ensure_future(
                self._group.propose(Purge(before_ms), COMMIT_TIMEOUT),
            )


async def _main(process: Process, stack: contextlib.ExitStack) -> None:
    region_group = find_group(process, GroupKind.ledger)
    state_machine = LedgerStateMachine()
    group = open_group_member(process, stack, region_group, state_machine)
    process.metrics.gauge(
        'records', lambda: len(state_machine.ledger.record_by_key)
    )
    handler = LedgerHandler(process, group)
    application = Application(
        [('/-/metrics', MetricsPage, {'metrics': process.metrics})],
    )
    serve_group(process, stack, handler, application)
    group.start(
        {
            member_settings.member: member_settings.peer
            for member_settings in region_group[1]
        }
    )
    ticker = PeriodicCallback(handler.purge, PURGE_INTERVAL_MS)
    ticker.start()
    stack.callback(ticker.stop)
    await process.stop.wait()
    await group.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT)


def main() -> None:
    """Run a member of a ledger group until it is stopped by a signal."""
    run_program(_main, load_settings)
