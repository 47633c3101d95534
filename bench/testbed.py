"""A fleet under load with callers, an operator and a recorded history.

Proofs and benchmarks run against it.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from types import TracebackType
from typing import Any, Self, final

from bench.blockinghttp import request
from bench.callers import Caller, CallResult
from bench.fleet import Fleet
from bench.history import History
from bench.layout import FleetShape, RegionShape

TWO_DOMAINS = FleetShape((RegionShape('tirol', ('tirol-a', 'tirol-b')),))
TWO_REGIONS = FleetShape(
    (
        RegionShape('tirol', ('tirol-a', 'tirol-b'), 1),
        RegionShape('wien', ('wien-a', 'wien-b'), 1),
    ),
)
CALL_PAUSE = 0.02
"""Mean seconds that a worker waits between two calls."""
RESEND_PAUSE = 0.3
"""Longest time in seconds before an order is sent again."""
MAX_RESENDS = 30
"""Times that an order is sent before its caller gives up."""


@final
class Testbed:
    """Run a fleet with targets, and record what its callers observe."""

    def __init__(self, name: str, shape: FleetShape, seed: int) -> None:
        """Plan the fleet and empty its folder ``run/prove/NAME``."""
        self.folder = pathlib.Path('run') / 'prove' / name
        shutil.rmtree(self.folder, ignore_errors=True)
        self.fleet = Fleet(shape, self.folder.absolute())
        self.history = History(self.folder)
        self.random = random.Random(seed)
        self.targets: list[str] = []
        self._stack = contextlib.ExitStack()
        self._last_number = 0
        self._last_responder_by_region: dict[str, str] = {}

    def __enter__(self) -> Self:
        """Start all processes of the fleet; targets are added later."""
        self._stack.enter_context(self.fleet)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes, targets included."""
        self._stack.close()

    def add_targets(self, service: str, count: int, *arguments: str) -> None:
        """Start targets of a service, round robin over all failure domains."""
        locations = [
            (region.region, domain)
            for region in self.fleet.shape.regions
            for domain in region.domains
        ]
        for number in range(count):
            region, domain = locations[number % len(locations)]
            name = f'{service}-{number}'
            self.targets.append(name)
            self.fleet.start_target(
                name,
                [
                    f'--service={service}',
                    f'--region={region}',
                    f'--domain={domain}',
                    *arguments,
                ],
            )

    def new_caller(
        self, service: str, region: str = '', domain: str = ''
    ) -> Caller:
        """Return a caller of a service.

        It asks the entries of ``region`` for addresses, or all entries when
        none is given.
        """
        entries = [plan.http for plan in self.fleet.entry_plans(region)]
        return Caller(entries, service, domain, self.random.randrange(1 << 30))

    def next_id(self, prefix: str) -> str:
        """Return an id that is unique within the run."""
        self._last_number += 1
        return f'{prefix}-{self._last_number}'

    async def call(
        self,
        caller: Caller,
        path: str,
        *,
        key: str = '',
        timeout: float = 4,
        method: str = 'GET',
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> CallResult:
        """Make one call and record its result in the history."""
        call = self.next_id('c')
        sent_headers = {'X-Call': call, **(headers or {})}
        if key:
            sent_headers['Idempotency-Key'] = key
        call_result = await caller.call(
            path,
            method=method,
            headers=sent_headers,
            timeout=timeout,
            body=body,
        )
        self.history.record_answer(call_result, call, key, timeout)
        return call_result

    async def place_order(self, callers: list[Caller], path: str) -> str:
        """Send a keyed order until its outcome is known.

        Returns the final status as text (200, 409 or 422), or ``given up``.
        """
        key = self.next_id('k')
        for _ in range(MAX_RESENDS):
            caller = self.random.choice(callers)
            call_result = await self.call(
                caller,
                path,
                key=key,
                method='POST',
                body=key.encode(),
                timeout=2,
            )
            if call_result.status in {200, 409, 422}:
                return f'{call_result.status}'
            caller.reset()
            await asyncio.sleep(RESEND_PAUSE * self.random.random())
        return 'given up'

    @contextlib.asynccontextmanager
    async def background_load(
        self,
        work: Callable[[], Awaitable[Any]],
        workers: int,
        pause: float = CALL_PAUSE,
    ) -> AsyncIterator[list[Any]]:
        """Run ``work`` repeatedly in parallel while the block runs.

        Yields the list of results, which grows as calls are completed.
        """
        outcomes: list[Any] = []
        stop = asyncio.Event()

        async def worker() -> None:
            while not stop.is_set():
                outcomes.append(await work())
                await asyncio.sleep(pause * 2 * self.random.random())

        tasks = [asyncio.ensure_future(worker()) for _ in range(workers)]
        await asyncio.sleep(0.3)
        try:
            yield outcomes
        finally:
            stop.set()
            await asyncio.gather(*tasks)

    def suspend(self, name: str) -> None:
        """Suspend an entry by SIGSTOP, and record the time as ``frozen``."""
        self.fleet.suspend(name)
        address = self.fleet.plan_by_name[name].http
        self.history.record('frozen', address=address)

    def resume(self, name: str) -> None:
        """Resume an entry by SIGCONT, and record the time as ``thawed``."""
        address = self.fleet.plan_by_name[name].http
        self.history.record('thawed', address=address)
        self.fleet.resume(name)

    async def run_blocking(
        self, work: Callable[..., Any], *arguments: Any
    ) -> Any:
        """Run a blocking function in a thread, so that the load goes on."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, lambda: work(*arguments))

    async def request_control(
        self,
        region: str,
        path: str,
        document: dict[str, Any],
        timeout: float = 12,
    ) -> tuple[int, dict[str, Any]]:
        """Send an operator request to the control group of a region.

        Members are tried until one answers with 200 or 409; the status is 0
        when none did within ``timeout`` seconds. An empty document is sent
        as GET, any other as POST.
        """
        return await self.run_blocking(
            self._request_control,
            region,
            path,
            document,
            timeout,
        )

    def _request_control(
        self,
        region: str,
        path: str,
        document: dict[str, Any],
        timeout: float,
    ) -> tuple[int, dict[str, Any]]:
        deadline = time.monotonic() + timeout
        body = json.dumps(document).encode()
        while time.monotonic() < deadline:
            names = [
                name
                for name in self.fleet.process_names('control')
                if name.startswith(f'control-{region}-')
                and name in self.fleet.process_by_name
            ]
            # Start with the member that answered last: a suspended member
            # would block the request until its timeout.
            last = self._last_responder_by_region.get(region)
            for name in sorted(names, key=lambda name: name != last):
                plan = self.fleet.plan_by_name[name]
                method = 'POST' if document else 'GET'
                status, _, octets = request(
                    method,
                    f'http://{plan.http}{path}',
                    body if document else b'',
                )
                if status in {200, 409}:
                    self._last_responder_by_region[region] = name
                    return status, json.loads(octets)
            time.sleep(0.1)
        return 0, {}

    async def set_domain_outage(
        self,
        region: str,
        domain: str,
        *,
        out: bool,
    ) -> dict[str, Any]:
        """Take a failure domain out, or return it, and record the time.

        A take-out counts from its answer. A return counts from when it is
        sent: its answer comes only when the return is in force, and the
        domain may get work before that. Raises ``RuntimeError`` if the control
        group does not answer with 200.
        """
        if not out:
            self.history.record('returned', domain=domain)
        status, answer = await self.request_control(
            region,
            '/v1/outage',
            {
                'change': self.next_id('change'),
                'kind': 'domain',
                'name': domain,
                'out': out,
                'reason': 'a proof',
            },
        )
        if status != 200:
            raise RuntimeError(f'outage of {domain} could not be set: {answer}')
        if out:
            self.history.record('taken_out', domain=domain)
        return answer

    async def propose(
        self,
        document: dict[str, Any],
        change: str = '',
    ) -> tuple[int, dict[str, Any]]:
        """Propose a fleet document based on the current version.

        Returns status and answer as ``request_control`` does.
        """
        region = self.fleet.shape.regions[0].region
        _, current = await self.request_control(region, '/v1/fleet', {})
        return await self.request_control(
            region,
            '/v1/fleet',
            {
                'change': change or self.next_id('change'),
                'base_version': current['current'],
                'base_digest': current['digest'],
                'document': json.dumps(document),
            },
        )

    async def await_accepted(self, version: int) -> float:
        """Wait until a version is reported accepted; return the seconds taken.

        Gives up after 20 s, which the checkers then report as too long.
        """
        started = time.monotonic()
        region = self.fleet.shape.regions[0].region
        while time.monotonic() - started < 20:
            _, answer = await self.request_control(
                region,
                f'/v1/fleet?version={version}',
                {},
            )
            if answer.get('accepted', 0) >= version:
                break
            await asyncio.sleep(0.05)
        took = time.monotonic() - started
        self.history.record('accepted', version=version, took=took)
        return took
