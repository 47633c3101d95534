"""Demonstrate the system with a small fleet, in under a minute.

Calls and keyed orders run while a failure domain is taken out and returned.
The results are printed and checked.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import shutil
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Sequence

from absl import app, flags
from hdrh.histogram import HdrHistogram

from bench.blockinghttp import request
from bench.callers import Caller, CallResult, call_to, run_open_loop
from bench.fleet import Fleet
from bench.layout import FleetShape, RegionShape

STAY = flags.DEFINE_bool('stay', False, 'Keep the fleet running until Ctrl-C.')
FOLDER = flags.DEFINE_string(
    'folder', 'run/quickstart', 'Folder for settings, logs and data.'
)

DOMAINS = ('tirol-a', 'tirol-b')
TARGET_COUNT = 6
CALLS_PER_SECOND = 150
LOAD_SECONDS = 12
TAKE_OUT_AFTER = 4.0
"""Seconds from the start of the load until the domain is taken out."""
RETURN_AFTER = 8.0
"""Seconds from the start of the load until the domain is returned."""
POLL_INTERVAL = 0.5
"""Seconds between two health checks while the fleet is kept running."""
PROPAGATION_LIMIT = 5
"""Seconds after which a domain that is taken out must get no more calls."""


def _run(arguments: Sequence[str]) -> int:
    folder = pathlib.Path(FOLDER.value)
    shutil.rmtree(folder, ignore_errors=True)
    shape = FleetShape((RegionShape('tirol', DOMAINS),))
    with Fleet(shape, folder.absolute()) as fleet:
        sys.stdout.write(
            'starting: 3 control, 3 ledger, 4 entries, 6 targets\n'
        )
        for number, domain in zip(
            range(TARGET_COUNT), itertools.cycle(DOMAINS)
        ):
            fleet.start_target(
                f't{number}',
                [f'--domain={domain}', '--service=stock'],
                'examples.target',
            )
        fleet.await_ready(TARGET_COUNT)
        if STAY.value:
            return _keep_running(fleet)
        failures = asyncio.run(_run_load(fleet))
        failures += _stop_fleet(fleet)
    sys.stdout.write('' if failures else 'all as expected\n')
    for failure in failures:
        sys.stdout.write(f'NOT AS EXPECTED: {failure}\n')
    return int(bool(failures))


async def _run_load(fleet: Fleet) -> list[str]:
    entries = [plan.http for plan in fleet.entry_plans()]
    callers = [
        Caller(entries, 'stock', domain, seed)
        for seed, domain in enumerate(DOMAINS)
    ]
    started = time.monotonic()
    operator = asyncio.ensure_future(_run_operator_commands(fleet, started))
    ordering = asyncio.ensure_future(_order_twice(callers))
    answers = await run_open_loop(
        callers, CALLS_PER_SECOND, LOAD_SECONDS, call_to('/run?ms=5')
    )
    taken_out, returned, steps = await operator
    orders = await ordering
    runs = _count_runs(fleet, 'order-1')
    last_call_delay = _last_call_after(answers, taken_out, returned)
    _print_table(answers, orders, runs, last_call_delay)
    _print_steps(steps)
    checks = (
        (runs == 1, f'the order ran {runs} times'),
        (
            len({order.body for order in orders}) == 1,
            'resent orders got different answers',
        ),
        (
            last_call_delay < PROPAGATION_LIMIT,
            'the domain got calls later than 5 s after it was taken out',
        ),
        (all(step[1] == 0 for step in steps), 'an operator command failed'),
        (
            all(answer.status == 200 for answer in answers),
            'a call was not answered with 200',
        ),
    )
    return [failure for is_good, failure in checks if not is_good]


async def _run_operator_commands(
    fleet: Fleet,
    started: float,
) -> tuple[float, float, list[tuple[str, int, str]]]:
    steps = []
    await asyncio.sleep(started + TAKE_OUT_AFTER - time.monotonic())
    taken_out = time.monotonic()
    steps.append(
        await _admin(
            fleet,
            ['take-out', 'domain', DOMAINS[1], '--reason=power work'],
        ),
    )
    await asyncio.sleep(started + RETURN_AFTER - time.monotonic())
    returned = time.monotonic()
    steps.append(await _admin(fleet, ['return', 'domain', DOMAINS[1]]))
    steps.append(await _admin(fleet, ['status']))
    return taken_out, returned, steps


async def _order_twice(callers: Sequence[Caller]) -> list[CallResult]:
    return [
        await caller.call(
            '/order?ms=20',
            method='POST',
            body=b'{"thatch": 120}',
            headers={'Idempotency-Key': 'order-1'},
        )
        for caller in callers
    ]


async def _admin(
    fleet: Fleet,
    arguments: Sequence[str],
) -> tuple[str, int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from turmericmast.programs.admin import main; main()',
        f'--settings={fleet.plans[0].settings}',
        *arguments,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return ' '.join(arguments), process.returncode or 0, output.decode()


def _count_runs(fleet: Fleet, key: str) -> int:
    lines = itertools.chain.from_iterable(
        path.read_text(encoding='utf-8').splitlines()
        for path in (fleet.folder / 'runs').glob('*.jsonl')
    )
    events = map(json.loads, lines)
    return sum(
        event['event'] == 'start' and event['key'] == key for event in events
    )


def _last_call_after(
    answers: Sequence[CallResult],
    taken_out: float,
    returned: float,
) -> float:
    """Return the seconds from the take-out to the last call in the domain."""
    # Targets with odd numbers run in the domain that is taken out.
    domain_targets = {f't{number}' for number in range(1, TARGET_COUNT, 2)}
    delays = [
        answer.sent_at - taken_out
        for answer in answers
        if answer.target in domain_targets
        and taken_out < answer.sent_at < returned
    ]
    return max(delays, default=float(0))


def _print_table(
    answers: Sequence[CallResult],
    orders: Sequence[CallResult],
    runs: int,
    last_call_delay: float,
) -> None:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for answer in answers:
        histogram.record_value(max(int(answer.latency * 1_000_000), 1))
    outcomes = collections.Counter(answer.status for answer in answers)
    p50, p99 = (
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    )
    rows = (
        ('calls', len(answers)),
        *((f'answered {status}', count) for status, count in outcomes.items()),
        ('p50, 5 ms of it at the target', f'{p50:.1f} ms'),
        ('p99', f'{p99:.1f} ms'),
        ('order sent / ran', f'{len(orders)} / {runs}'),
        ('domain silent after', f'{last_call_delay:.2f} s'),
    )
    for name, value_text in rows:
        sys.stdout.write(f'{name:<32}{value_text}\n')


def _print_steps(steps: Sequence[tuple[str, int, str]]) -> None:
    for command, _, output in steps:
        sys.stdout.write(f'\n$ turmericmast-admin {command}\n{output}')


def _stop_fleet(fleet: Fleet) -> list[str]:
    """Stop all processes by SIGTERM; report exit statuses other than 0.

    Targets stop first, then entries, ledgers and control. A program is told to
    stop when all processes of the one before have ended.
    """
    targets = [f't{number}' for number in range(TARGET_COUNT)]
    programs = ('entry', 'ledger', 'control')
    names = list(
        itertools.chain(
            targets,
            *(fleet.process_names(program) for program in programs),
        ),
    )
    started = time.monotonic()
    statuses = fleet.stop_all(names)
    took = time.monotonic() - started
    sys.stdout.write(f'\nstopped {len(names)} processes in {took:.1f} s\n')
    return [
        f'{name} ended with status {status}'
        for name, status in statuses.items()
        if status
    ]


def _keep_running(fleet: Fleet) -> int:
    entry = fleet.entry_plans()[0].http
    settings = fleet.plans[0].settings
    admin = f'turmericmast-admin --settings={settings}'
    events = fleet.folder / 'events'
    sys.stdout.write(
        f"""
The fleet is up; Ctrl-C stops it. Try, in another terminal:

  curl -s 'http://{entry}/-/addresses?service=stock'
  curl -si 'http://{entry}/stock/run?ms=20'
  curl -si -d '{{}}' -H 'Idempotency-Key: k1' http://{entry}/stock/order
  curl -s http://{entry}/-/metrics
  {admin} status
  {admin} take-out domain tirol-b --reason='power work'
  {admin} return domain tirol-b
  turmericmast-timeline {events}/*.jsonl
""",
    )
    sys.stdout.flush()
    try:
        while request('GET', f'http://{entry}/-/health')[0]:
            time.sleep(POLL_INTERVAL)
    except KeyboardInterrupt:
        _stop_fleet(fleet)
    return 0


if __name__ == '__main__':
    app.run(_run)
