"""A small fleet that shows what the system does, in under a minute."""

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

from bench.callers import Answered, Caller, open_loop, plain
from bench.fleet import Fleet
from bench.layout import FleetShape, RegionShape
from bench.pages import request

STAY = flags.DEFINE_bool('stay', False, 'Leave the fleet up until Ctrl-C.')
FOLDER = flags.DEFINE_string('folder', 'run/quickstart', 'Where files go.')

DOMAINS = ('tirol-a', 'tirol-b')
TARGETS = 6
RATE = 150
SECONDS = 12
TAKEN_OUT_AT = 4.0
RETURNED_AT = 8.0
STOP_PAUSE = 0.5
SILENT_WITHIN = 5


def _run(arguments: Sequence[str]) -> int:
    folder = pathlib.Path(FOLDER.value)
    shutil.rmtree(folder, ignore_errors=True)
    shape = FleetShape((RegionShape('tirol', DOMAINS),))
    with Fleet(shape, folder.absolute()) as fleet:
        sys.stdout.write(
            'starting: 3 control, 3 ledger, 4 entries, 6 targets\n'
        )
        for number, domain in zip(range(TARGETS), itertools.cycle(DOMAINS)):
            fleet.start_target(
                f't{number}',
                [f'--domain={domain}', '--service=stock'],
                'examples.target',
            )
        fleet.await_ready(TARGETS)
        if STAY.value:
            return _stay(fleet)
        failures = asyncio.run(_show(fleet))
        failures += _stop(fleet)
    sys.stdout.write('' if failures else 'all as expected\n')
    for failure in failures:
        sys.stdout.write(f'NOT AS EXPECTED: {failure}\n')
    return int(bool(failures))


async def _show(fleet: Fleet) -> list[str]:
    entries = [plan.http for plan in fleet.entries()]
    callers = [
        Caller(entries, 'stock', domain, seed)
        for seed, domain in enumerate(DOMAINS)
    ]
    started = time.monotonic()
    operating = asyncio.ensure_future(_operate(fleet, started))
    ordering = asyncio.ensure_future(_order_twice(callers))
    answers = await open_loop(callers, RATE, SECONDS, plain('/run?ms=5'))
    taken_out, returned, steps = await operating
    orders = await ordering
    runs = _runs_of(fleet, 'order-1')
    silent = _silent_after(answers, taken_out, returned)
    _print_table(answers, orders, runs, silent)
    _print_steps(steps)
    checks = (
        (runs == 1, f'the order ran {runs} times'),
        (len({one.body for one in orders}) == 1, 'two answers to one order'),
        (silent < SILENT_WITHIN, 'the domain was not silent in 5 s'),
        (all(step[1] == 0 for step in steps), 'an operator command failed'),
        (
            all(one.status == 200 for one in answers),
            'a call was not answered with 200',
        ),
    )
    return [what for good, what in checks if not good]


async def _operate(
    fleet: Fleet,
    started: float,
) -> tuple[float, float, list[tuple[str, int, str]]]:
    steps = []
    await asyncio.sleep(started + TAKEN_OUT_AT - time.monotonic())
    taken_out = time.monotonic()
    steps.append(
        await _admin(
            fleet,
            ['take-out', 'domain', DOMAINS[1], '--reason=power work'],
        ),
    )
    await asyncio.sleep(started + RETURNED_AT - time.monotonic())
    returned = time.monotonic()
    steps.append(await _admin(fleet, ['return', 'domain', DOMAINS[1]]))
    steps.append(await _admin(fleet, ['status']))
    return taken_out, returned, steps


async def _order_twice(callers: Sequence[Caller]) -> list[Answered]:
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
    shown, _ = await process.communicate()
    return ' '.join(arguments), process.returncode or 0, shown.decode()


def _runs_of(fleet: Fleet, key: str) -> int:
    lines = itertools.chain.from_iterable(
        path.read_text(encoding='utf-8').splitlines()
        for path in (fleet.folder / 'runs').glob('*.jsonl')
    )
    events = map(json.loads, lines)
    return sum(
        event['event'] == 'start' and event['key'] == key for event in events
    )


def _silent_after(
    answers: Sequence[Answered],
    taken_out: float,
    returned: float,
) -> float:
    """Return the seconds from the operator's command to the last new work."""
    inside = {f't{number}' for number in range(1, TARGETS, 2)}
    late = [
        one.sent_at - taken_out
        for one in answers
        if one.target in inside and taken_out < one.sent_at < returned
    ]
    return max(late, default=float(0))


def _print_table(
    answers: Sequence[Answered],
    orders: Sequence[Answered],
    runs: int,
    silent: float,
) -> None:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for one in answers:
        histogram.record_value(max(int(one.took * 1_000_000), 1))
    outcomes = collections.Counter(one.status for one in answers)
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
        ('domain silent after', f'{silent:.2f} s'),
    )
    for name, shown in rows:
        sys.stdout.write(f'{name:<32}{shown}\n')


def _print_steps(steps: Sequence[tuple[str, int, str]]) -> None:
    for command, _, shown in steps:
        sys.stdout.write(f'\n$ turmericmast-admin {command}\n{shown}')


def _stop(fleet: Fleet) -> list[str]:
    """Stop everything gracefully; return what did not end well."""
    targets = [f't{number}' for number in range(TARGETS)]
    programs = ('entry', 'ledger', 'control')
    names = list(
        itertools.chain(
            targets,
            *(fleet.names(program) for program in programs),
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


def _stay(fleet: Fleet) -> int:
    entry = fleet.entries()[0].http
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
            time.sleep(STOP_PAUSE)
    except KeyboardInterrupt:
        _stop(fleet)
    return 0


if __name__ == '__main__':
    app.run(_run)
