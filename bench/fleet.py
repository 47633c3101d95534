"""Start, stop, kill and suspend the processes of a small fleet."""

import contextlib
import itertools
import pathlib
import shutil
import signal
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from types import TracebackType
from typing import Self, final

from bench.blockinghttp import fetch_json, fetch_status
from bench.layout import FleetShape, ProcessPlan, free_addresses, plan_fleet

STOP_TIMEOUT = 40.0
"""Seconds that a process has to end."""
START_TIMEOUT = 30.0
"""Seconds that ``wait_for`` waits for its condition."""
POLL_INTERVAL = 0.05
"""Seconds between two checks of that condition."""
RUN_PROGRAM = 'from turmericmast.programs.{0} import main; main()'
"""Python code that runs a program; ``{0}`` is the name of its module."""


@final
class Fleet:
    """Start and signal the processes of a fleet, as a context manager."""

    def __init__(self, shape: FleetShape, folder: pathlib.Path) -> None:
        """Plan the processes and write their settings to ``folder``."""
        self.folder = folder
        self.shape = shape
        self.plans = plan_fleet(shape, folder)
        self.plan_by_name = {plan.name: plan for plan in self.plans}
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.address_by_target: dict[str, str] = {}
        self.entry_flags: list[str] = []

    def __enter__(self) -> Self:
        """Start the control groups, the ledgers, then the entries."""
        for program in ('control', 'ledger', 'entry'):
            for plan in self.plans:
                if plan.program == program:
                    self.start(plan.name)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill what still runs, in the reverse order of its start."""
        for name in reversed(tuple(self.process_by_name)):
            self._signal(name, signal.SIGCONT)
        for name in reversed(tuple(self.process_by_name)):
            self.kill(name)

    def start(self, name: str) -> None:
        """Start a planned process: control, ledger or entry."""
        plan = self.plan_by_name[name]
        self._spawn(name, self._command(plan))

    def _command(self, plan: ProcessPlan) -> list[str]:
        flags = self.entry_flags if plan.program == 'entry' else []
        return [
            sys.executable,
            '-c',
            RUN_PROGRAM.format(plan.program),
            f'--settings={plan.settings}',
            *flags,
        ]

    def start_target(
        self,
        name: str,
        arguments: Sequence[str],
        module: str = 'bench.standin',
    ) -> None:
        """Start a target.

        It keeps its address when it is started again under the same name.
        """
        address = self.address_by_target.get(name) or free_addresses(1)[0]
        self.address_by_target[name] = address
        entries = ','.join(
            plan.http for plan in self.plans if plan.program == 'entry'
        )
        self._spawn(
            name,
            [
                sys.executable,
                '-m',
                module,
                f'--name={name}',
                f'--port={address.rpartition(":")[2]}',
                f'--entries={entries}',
                f'--log={self.folder / "runs" / name}.jsonl',
                *arguments,
            ],
        )

    def start_synthetic_targets(
        self, count: int, domains: Sequence[str]
    ) -> None:
        """Start one process that announces targets without serving any."""
        entries = ','.join(plan.http for plan in self.entry_plans())
        self._spawn(
            'herd',
            [
                sys.executable,
                '-m',
                'bench.herd',
                f'--count={count}',
                f'--services={max(count // 7, 1)}',
                f'--domains={",".join(domains)}',
                f'--entries={entries}',
            ],
        )

    def stop(self, name: str) -> int:
        """Send SIGTERM to a process, and return its exit status.

        Raises ``subprocess.TimeoutExpired`` if it does not end within
        ``STOP_TIMEOUT`` seconds.
        """
        self._signal(name, signal.SIGTERM)
        return self._wait(name)

    def stop_all(self, names: Sequence[str]) -> dict[str, int]:
        """Stop processes one program after the other, in the given order.

        Neighbours in ``names`` that run the same program are stopped
        together. Returns the exit statuses by name.
        """
        groups = itertools.groupby(names, key=self._program_of)
        statuses: dict[str, int] = {}
        for _, group in groups:
            signalled = list(group)
            for name in signalled:
                self._signal(name, signal.SIGTERM)
            statuses |= {name: self._wait(name) for name in signalled}
        return statuses

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its end."""
        self._signal(name, signal.SIGKILL)
        self._wait(name)

    def suspend(self, name: str) -> None:
        """Suspend a process by SIGSTOP."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process by SIGCONT."""
        self._signal(name, signal.SIGCONT)

    def delete_data(self, name: str) -> None:
        """Delete the data folder of a process that is stopped."""
        data = self.plan_by_name[name].data
        if data:
            shutil.rmtree(data, ignore_errors=True)

    def process_names(self, program: str, region: str = '') -> list[str]:
        """Return the process names of a program, in one region or in all."""
        return [
            plan.name
            for plan in self.plans
            if plan.program == program and region in {'', plan.region}
        ]

    def entry_plans(self, region: str = '') -> list[ProcessPlan]:
        """Return the plans of the entries of a region, or of all entries."""
        return [
            plan
            for plan in self.plans
            if plan.program == 'entry' and region in {'', plan.region}
        ]

    def await_ready(self, targets: int) -> None:
        """Wait until each entry has a lease and all targets have an owner.

        Raises ``TimeoutError`` as ``wait_for`` does.
        """
        self.wait_for(
            lambda: self.owned_targets() >= targets,
            f'{targets} targets to be owned',
        )

    def owned_targets(self) -> int:
        """Return the number of owned targets; -1 if an entry has no lease."""
        pages = [
            fetch_json(f'http://{plan.http}/-/health')
            for plan in self.entry_plans()
            if plan.name in self.process_by_name
        ]
        if not all(page.get('lease') for page in pages):
            return -1
        return sum(page['targets'] for page in pages)

    def find_leader(self, program: str, region: str) -> str:
        """Return the leader of a control group, empty when none answers.

        Only the leader of a control group answers ``/v1/status`` with 200, so
        ``program`` must be ``control``.
        """
        return next(
            (
                plan.name
                for plan in self.plans
                if plan.name.startswith(f'{program}-{region}-')
                and plan.name in self.process_by_name
                and fetch_status(f'http://{plan.http}/v1/status')
                == HTTPStatus.OK
            ),
            '',
        )

    @staticmethod
    def wait_for(check: Callable[[], bool], what: str) -> None:
        """Poll until ``check`` returns true.

        Raises ``TimeoutError`` after ``START_TIMEOUT`` seconds.
        """
        deadline = time.monotonic() + START_TIMEOUT
        while not check():
            if time.monotonic() > deadline:
                raise TimeoutError(f'timed out waiting for {what}')
            time.sleep(POLL_INTERVAL)

    def _program_of(self, name: str) -> str:
        plan = self.plan_by_name.get(name)
        return plan.program if plan else 'target'

    def _spawn(self, name: str, command: Sequence[str]) -> None:
        logs = self.folder / 'logs'
        logs.mkdir(parents=True, exist_ok=True)
        (self.folder / 'runs').mkdir(exist_ok=True)
        with (logs / f'{name}.log').open('ab') as stream:
            self.process_by_name[name] = subprocess.Popen(  # noqa: S603
                command,
                cwd=pathlib.Path(__file__).parent.parent,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )

    def _wait(self, name: str) -> int:
        return self.process_by_name.pop(name).wait(STOP_TIMEOUT)

    def _signal(self, name: str, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process_by_name[name].send_signal(number)
