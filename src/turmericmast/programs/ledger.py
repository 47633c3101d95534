"""``turmericmast-ledger``: a replica of a region's ledger group."""

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
PURGE_INTERVAL_MS = 60_000


@final
class LedgerMachine(StateMachine):
    """The ledger aggregate behind the replicated log."""

    def __init__(self) -> None:
        """Start empty."""
        self.ledger = Ledger()

    def apply(self, index: Index, command: Any) -> Any:
        """Apply one command."""
        return self.ledger.apply(command)

    def snapshot(self) -> Any:
        """Return all records."""
        return self.ledger.snapshot()

    def restore(self, state: Any) -> None:
        """Replace all records."""
        self.ledger.restore(state)


@final
class LedgerHandler(Handler):
    """Answers entries and the other replicas."""

    def __init__(self, process: Process, group: GroupMember) -> None:
        """Serve one member of the group."""
        self._process = process
        self._group = group

    async def handle(self, sender: str, body: Any) -> Any:
        """Answer one message."""
        if isinstance(body, messages.Message):
            self._group.receive(body)
            return None
        if not self._group.is_leader:
            return error_reply(self._group.not_leader_error())
        if not isinstance(body, requests.ChangeLedger):
            return replies.Refusal('handle', f'unexpected {type(body)}', '')
        answer = await self._group.propose(body.command, COMMIT_TIMEOUT)
        if isinstance(answer, Success):
            self._process.metrics.count('ledger_changes')
            return answer.unwrap()
        return error_reply(answer.failure())

    def purge(self) -> None:
        """Drop records that are past their time."""
        if self._group.is_leader:
            before = self._process.clock.wall()
            asyncio.ensure_future(
                self._group.propose(Purge(before), COMMIT_TIMEOUT),
            )


async def _main(process: Process, stack: contextlib.ExitStack) -> None:
    found = find_group(process, GroupKind.ledger)
    machine = LedgerMachine()
    group = open_group_member(process, stack, found, machine)
    process.metrics.gauge('records', lambda: len(machine.ledger.record_by_key))
    handler = LedgerHandler(process, group)
    pages = Application(
        [('/-/metrics', MetricsPage, {'metrics': process.metrics})],
    )
    serve_group(process, stack, handler, pages)
    group.start({one.member: one.peer for one in found[1]})
    ticker = PeriodicCallback(handler.purge, PURGE_INTERVAL_MS)
    ticker.start()
    stack.callback(ticker.stop)
    await process.stop.wait()
    await group.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT)


def main() -> None:
    """Run the program."""
    run_program(_main, load_settings)
