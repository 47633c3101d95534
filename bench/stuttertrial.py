"""Trial of real processes whose targets stutter, judged from outside.

Instances, targets and callers are processes on loopback. What callers and
targets recorded is reported by fault (``bench.stutterjudge.Fault``).
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any, final

from bench.layout import HOST, free_block
from bench.machines import REGION_BY_ZONE, ROOT, LocalCluster
from bench.stutter import HEALTH_PATH, SLOTS, Shares, TargetPlan
from bench.stuttercaller import HOST_NAME, CallerPlan
from bench.stutterjudge import Fault, Judge
from bench.stutterrecord import Before, Ending, Kind, StutterRecord, Timing

TARGETS_PER_PROCESS = 36
CALLERS_PER_PROCESS = 12
REPORT_INTERVAL = 1.0
"""Seconds between two announcements of a target."""
CHANGE_INTERVAL = 2.0
"""Seconds between two versions of the routes."""
START_TIMEOUT = 60.0
"""Seconds in which all instances must serve a request."""
STOP_TIMEOUT = 15.0
"""Seconds in which callers and targets must write what they recorded."""
ROUTE_TIMEOUT = 1.2
"""Seconds that a route allows."""


@final
@dataclasses.dataclass(frozen=True)
class TrialSize:
    """Size and length of a trial."""

    seconds: float
    instances: int = 3
    targets: int = 12
    callers: int = 24
    pause: float = 0.05
    """Seconds between two requests of a caller, on average."""
    attempts: int = 3


@final
@dataclasses.dataclass(frozen=True)
class TrialReport:
    """What a trial has shown."""

    record: StutterRecord
    cases: dict[Fault, list[str]]
    edge_seconds: float
    """Processor time of all edges while callers called."""

    def counts(self) -> dict[str, Any]:
        """Return what was counted, by name."""
        record = self.record
        statuses = collections.Counter(
            answer.status for answer in record.answers
        )
        return {
            'answers': len(record.answers),
            'successes': sum(
                answer.status == 200 and answer.is_whole
                for answer in record.answers
            ),
            'statuses': dict(sorted(statuses.items())),
            'runs': len(record.runs),
            'second_responses': sum(
                run.timing is not Timing.none for run in record.runs
            ),
            'joined': record.joined,
            'connections': record.connections,
            'health_answers': len(record.health_answers),
            'joined_health_answers': sum(
                health.before is Before.part for health in record.health_answers
            ),
            'used_while_unhealthy': len(
                list(Judge(record).runs_after_unhealthy())
            ),
            'interrupted_in_second': sum(
                run.ending is Ending.second for run in record.runs
            ),
            'edge_seconds': round(self.edge_seconds, 1),
        }

    def faults(self) -> dict[str, int]:
        """Return the number of cases of each fault that showed."""
        return {
            fault.value: len(cases)
            for fault, cases in self.cases.items()
            if cases
        }


def route_document(
    version: int, base: int, size: TrialSize, *, has_extra: bool = False
) -> dict[str, Any]:
    """Return routes for each kind, and one that comes and goes."""
    route = {
        'host': HOST_NAME,
        'timeout_s': ROUTE_TIMEOUT,
        'target_latency_s': 0.25,
        'priority': 1,
        'service': 'stock',
        'max_attempts': size.attempts,
        'allowed_regions': [],
    }
    routes = {
        kind.value: {
            **route,
            'path_prefix': f'/{kind.value}/',
            'kind': kind.value,
        }
        for kind in Kind
    }
    if has_extra:
        routes['extra'] = {**routes['safe'], 'path_prefix': '/extra/'}
    return {
        'version': f'{version:08x}',
        'base_version': f'{base:08x}',
        'routes': routes,
        'services': {
            'stock': {
                'health_path': HEALTH_PATH,
                'max_connections': 1000,
                'protocol': 'h1',
                'tls': False,
                'warmup_s': 0.0,
                'warmup_per_s': 1000.0,
            },
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


@final
class StutterTrial:
    """One trial; the processes run while the context is open."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        size: TrialSize,
        shares: Shares,
        root: pathlib.Path = ROOT,
    ) -> None:
        """Keep files in ``folder``; instances run the sources in ``root``."""
        self._seed = seed
        self._folder = folder
        self._size = size
        self._shares = shares
        self._cluster = LocalCluster(folder, (root,))
        self._instances = [
            f'{ip}:{self._cluster.ports[0]}'
            for ip in self._cluster.ip_by_zone.values()
        ]
        self._port_by_target = {
            f'i-{number:08x}': port
            for number, port in enumerate(free_block(size.targets))
        }
        self._sequence = 0
        self._version = 1
        self._born = int(time.time() * 1000)

    async def run(self) -> TrialReport:
        """Let callers call for the time of the trial, and judge."""
        with contextlib.ExitStack() as stack:
            outputs = list(stack.enter_context(self._targets()))
            stack.enter_context(self._cluster)
            self._add_edges()
            announcing = asyncio.ensure_future(self._announce())
            stack.callback(announcing.cancel)
            await self._cluster.wait_until(self._is_ready, START_TIMEOUT)
            before = self._edge_seconds()
            operating = asyncio.ensure_future(self._change_routes())
            stack.callback(operating.cancel)
            outputs += await self._call()
            edge_seconds = self._edge_seconds() - before
        record = StutterRecord.read(outputs)
        return TrialReport(record, Judge(record).faults(), edge_seconds)

    def _add_edges(self) -> None:
        zones = list(REGION_BY_ZONE)
        self._instances += [
            self._cluster.add_edge(
                zones[position % len(zones)], 1 + position // len(zones)
            )
            for position in range(len(zones), self._size.instances)
        ]

    @contextlib.contextmanager
    def _targets(self) -> Iterator[list[pathlib.Path]]:
        """Run the targets; yield the files that they write at the end."""
        names = list(self._port_by_target)
        processes = []
        outputs = []
        for start in range(0, len(names), TARGETS_PER_PROCESS):
            output = self._folder / f'targets-{start}.out'
            plan = TargetPlan(
                self._seed,
                self._shares,
                {
                    name: self._port_by_target[name]
                    for name in names[start : start + TARGETS_PER_PROCESS]
                },
                str(output),
            )
            processes.append(self._start('bench.stutter', output, plan))
            outputs.append(output)
        try:
            yield outputs
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(STOP_TIMEOUT)

    async def _call(self) -> list[pathlib.Path]:
        size = self._size
        processes = []
        outputs = []
        for start in range(0, size.callers, CALLERS_PER_PROCESS):
            output = self._folder / f'callers-{start}.out'
            plan = CallerPlan(
                self._seed + start * 1_000_003,
                self._instances,
                min(CALLERS_PER_PROCESS, size.callers - start),
                size.pause,
                size.seconds,
                str(output),
            )
            processes.append(self._start('bench.stuttercaller', output, plan))
            outputs.append(output)
        await asyncio.sleep(size.seconds)

        async def has_ended() -> bool:
            return all(process.poll() is not None for process in processes)

        await self._cluster.wait_until(has_ended, STOP_TIMEOUT)
        return outputs

    def _start(
        self, module: str, output: pathlib.Path, plan: Any
    ) -> subprocess.Popen[bytes]:
        settings = output.with_suffix('.json')
        settings.write_text(
            json.dumps(dataclasses.asdict(plan)), encoding='utf-8'
        )
        return subprocess.Popen(
            [sys.executable, '-m', module, str(settings)],
            cwd=ROOT,
            env=dict(os.environ),
        )

    async def _announce(self) -> None:
        zones = list(REGION_BY_ZONE)
        while True:
            self._sequence += 1
            reports = [
                self._cluster.request_core(
                    zones[(position + self._sequence) % len(zones)],
                    'PUT',
                    f'/-/instances/{name}',
                    self._report(name, zones[position % len(zones)]),
                )
                for position, name in enumerate(self._port_by_target)
            ]
            await asyncio.gather(*reports, asyncio.sleep(REPORT_INTERVAL))

    def _report(self, name: str, zone: str) -> dict[str, Any]:
        return {
            'address': f'{HOST}:{self._port_by_target[name]}',
            'info': {
                'service': 'stock',
                'version': 'v1',
                'zone': zone,
                'capacity': SLOTS,
            },
            'status': {
                'state': 'ready',
                'sequence': self._sequence,
                'warmup_left_s': 0,
            },
            'born': self._born,
        }

    async def _change_routes(self) -> None:
        """Add and remove a route again and again."""
        while True:
            await asyncio.sleep(CHANGE_INTERVAL)
            document = route_document(
                self._version + 1,
                self._version,
                self._size,
                has_extra=self._version % 2 == 1,
            )
            answer = await self._cluster.request_core(
                'wien-a', 'PUT', '/-/config', document
            )
            self._version += answer.code == 200

    async def _is_ready(self) -> bool:
        document = route_document(1, 0, self._size)
        answer = await self._cluster.request_core(
            'wien-a', 'PUT', '/-/config', document
        )
        if answer.code != 200:
            return False
        answers = await asyncio.gather(
            *(self._try_instance(instance) for instance in self._instances)
        )
        return all(answers)

    async def _try_instance(self, instance: str) -> bool:
        """Tell whether an instance knows the routes (and refuses a path)."""
        host, _, port = instance.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(
                f'GET /nothing/ HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
                'X-Request-Id: 0\r\nX-Deadline-Ms: 500\r\n\r\n'.encode()
            )
            line = await reader.readline()
        return b' 404 ' in line

    def _edge_seconds(self) -> float:
        return sum(
            seconds
            for name, seconds in self._cluster.processor_seconds().items()
            if name.startswith('edge-')
        )


def run_trial(
    seed: int,
    size: TrialSize,
    shares: Shares,
    root: pathlib.Path = ROOT,
) -> TrialReport:
    """Run one trial with the sources in ``root``."""
    with tempfile.TemporaryDirectory() as folder:
        trial = StutterTrial(seed, pathlib.Path(folder), size, shares, root)
        return asyncio.run(trial.run())
