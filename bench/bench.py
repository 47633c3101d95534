"""Benchmarks on loopback that take a bounded time: ``bin/bench NAME``.

Load is open-loop in most benchmarks: the latency of a call counts from when
it was due, so that a delay in sending it is not left out. Each benchmark
prints a table and writes ``run/bench/NAME.json`` and, with matplotlib, a plot
beside it.
"""

import asyncio
import heapq
import json
import pathlib
import random
import shutil
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from types import MappingProxyType
from typing import Any, TypeAlias

from absl import app, flags

from bench import accounts, decisions
from bench.blockinghttp import request
from bench.callers import Caller, CallResult, call_to, run_open_loop
from bench.fleet import Fleet
from bench.httpclient import HttpClient
from bench.layout import FleetShape, RegionShape
from bench.measurements import (
    fetch_metrics,
    fit_line,
    percentiles,
    sample_process,
    usage_between,
)
from bench.slowdowns import SlowdownProfile, SlowdownSchedule
from bench.testbed import TWO_DOMAINS, Testbed
from turmericmast.service.policy import POLICIES

SEED = flags.DEFINE_integer('seed', 1, 'Seed of all random choices.')
ROUNDS = flags.DEFINE_integer(
    'rounds', 1, 'Times that each policy is run in shift.'
)
SECONDS = flags.DEFINE_float(
    'seconds', 12, 'Length of one measurement in seconds.'
)

Row: TypeAlias = dict[str, Any]
Benchmark: TypeAlias = Callable[[], Coroutine[Any, Any, list[Row]]]

TARGET_COUNT = 20
SLOTS_PER_TARGET = 4
MEAN_SERVICE_TIME = 0.08
"""Mean time in seconds that a call takes at its target."""
UTILIZATION = 0.7
"""Offered load as a share of the capacity of all targets."""
RESULTS_FOLDER = pathlib.Path('run/bench')


async def shift() -> list[Row]:
    """Compare policies while targets briefly work 10 to 50 times slower."""
    rows = []
    for round_ in range(ROUNDS.value):
        for policy in POLICIES:
            row = await _run_shift(policy, SEED.value + round_)
            rows.append(row)
            _print_rows([row])
    return rows


async def _run_shift(policy: str, seed: int) -> Row:
    fleet = _new_fleet('shift', TWO_DOMAINS)
    fleet.entry_flags = [f'--policy={policy}']
    with fleet:
        epoch = time.time()
        for number in range(TARGET_COUNT):
            fleet.start_target(
                f't{number}',
                [
                    f'--domain=tirol-{"ab"[number % 2]}',
                    f'--epoch={epoch}',
                    f'--weather={seed}-{number}',
                    '--queues',
                    '--quiet',
                ],
            )
        fleet.await_ready(TARGET_COUNT)
        callers = _new_callers(fleet, 'stock')
        rate = UTILIZATION * TARGET_COUNT * SLOTS_PER_TARGET / MEAN_SERVICE_TIME
        generator = random.Random(seed)
        work_by_due: dict[float, float] = {}

        def call(
            caller: Caller,
            due: float,
        ) -> Coroutine[Any, Any, CallResult]:
            work = MEAN_SERVICE_TIME * generator.uniform(0.5, 1.5)
            work_by_due[due] = work
            return caller.call(f'/x?ms={work * 1000:.3f}', due=due)

        await run_open_loop(callers, rate / 4, 3, call, seed)
        work_by_due.clear()
        answers = await run_open_loop(callers, rate, SECONDS.value, call, seed)
        epoch_offset = time.time() - time.monotonic() - epoch
        ideal_latencies = _ideal_latencies(
            [(due + epoch_offset, work) for due, work in work_by_due.items()],
            seed,
        )
    latencies = [answer.latency for answer in answers if answer.status == 200]
    return {
        'policy': policy,
        'calls': len(answers),
        'failed': len(answers) - len(latencies),
        **_percentile_columns(percentiles(latencies)),
        'bound p99': round(percentiles(ideal_latencies)[2], 1),
    }


def _ideal_latencies(
    calls: Sequence[tuple[float, float]], seed: int
) -> list[float]:
    """Return the latencies of a central queue that knows all slowdowns.

    ``calls`` are pairs of arrival and work, in seconds. Each call, in their
    order, goes to the slot that finishes it first. The table has the result as
    ``bound p99``, to compare policies with.
    """
    schedules = [
        SlowdownSchedule(f'{seed}-{number}', SlowdownProfile())
        for number in range(TARGET_COUNT)
    ]
    free_at = [[float(0)] * SLOTS_PER_TARGET for _ in range(TARGET_COUNT)]
    for slots in free_at:
        heapq.heapify(slots)
    latencies = []
    for arrival, work in calls:
        best_target, end = min(
            (
                (
                    number,
                    schedule.finish_time(
                        max(free_at[number][0], arrival), work
                    ),
                )
                for number, schedule in enumerate(schedules)
            ),
            key=lambda pair: pair[1],
        )
        heapq.heapreplace(free_at[best_target], end)
        latencies.append(end - arrival)
    return latencies


async def added() -> list[Row]:
    """Measure the latency that an entry adds, by pairs of calls.

    One call of a pair goes to a target directly, the other through its owner.
    """
    fleet = _new_fleet('added', TWO_DOMAINS)
    with fleet:
        for number in range(4):
            domain = f'--domain=tirol-{"ab"[number % 2]}'
            fleet.start_target(f't{number}', [domain, '--quiet'])
        fleet.await_ready(4)
        await asyncio.sleep(2)
        target = fleet.address_by_target['t0']
        owner = await _find_owner(fleet, 'stock')
        client = HttpClient()
        direct_latencies, entry_latencies = [], []
        for _ in range(3000):
            direct_latencies.append(
                await _measure_latency(client, target, '/x?ms=1')
            )
            entry_latencies.append(
                await _measure_latency(client, owner, '/stock/x?ms=1')
            )
        differences = [
            via_entry - direct
            for direct, via_entry in zip(
                direct_latencies, entry_latencies, strict=True
            )
        ]
        differences.sort()
        rate = await _measure_throughput(fleet, owner)
    return [
        {
            'calls': 'direct',
            **_percentile_columns(percentiles(direct_latencies)),
        },
        {
            'calls': 'by an entry',
            **_percentile_columns(percentiles(entry_latencies)),
        },
        {
            'calls': 'added, by pairs',
            'p50': round(differences[1500] * 1000, 3),
            'p90': round(differences[2700] * 1000, 3),
            'p99': round(differences[2970] * 1000, 3),
        },
        rate,
    ]


async def _measure_latency(
    client: HttpClient, address: str, path: str
) -> float:
    started = time.perf_counter()
    answer = await client.fetch(address, path)
    if answer.status != 200:
        raise RuntimeError(f'{address}{path}: {answer}')
    return time.perf_counter() - started


async def _measure_throughput(fleet: Fleet, owner: str) -> Row:
    """Saturate one entry for 6 s, and return its rate and cost of a call."""
    name = next(plan.name for plan in fleet.entry_plans() if plan.http == owner)
    client = HttpClient()
    done = 0
    until = time.monotonic() + 6

    async def work() -> None:
        nonlocal done
        while time.monotonic() < until:
            answer = await client.fetch(owner, '/stock/x?ms=0')
            done += answer.status == 200

    before = sample_process(fleet, name)
    await asyncio.gather(*(work() for _ in range(8)))
    used = usage_between(before, sample_process(fleet, name))
    return {
        'calls': 'one entry, driven',
        'calls/s': round(done / 6),
        'core %': round(used.cpu_percent),
        'us a call': round(used.cpu_percent / 100 * 6 / done * 1e6),
        'rss MiB': round(used.rss_mib),
    }


async def domain() -> list[Row]:
    """Take a domain out, return it, then kill it, at 60% of one domain."""
    with Testbed('bench-domain', TWO_DOMAINS, SEED.value) as testbed:
        testbed.add_targets('stock', TARGET_COUNT, '--quiet')
        await testbed.run_blocking(testbed.fleet.await_ready, TARGET_COUNT)
        callers = _new_callers(testbed.fleet, 'stock')
        # 30% of both domains is 60% of one; 60% of both would overload the
        # domain that remains by 20%.
        rate = 0.3 * TARGET_COUNT * SLOTS_PER_TARGET / MEAN_SERVICE_TIME
        warm = call_to('/x?ms=20')
        await run_open_loop(callers, rate, 4, warm)
        started = time.monotonic()
        running = asyncio.ensure_future(
            run_open_loop(callers, rate, 40, call_to('/x?ms=80', timeout=5)),
        )
        start_by_phase = {'before': 0.0}
        await asyncio.sleep(6)
        start_by_phase['taken out'] = time.monotonic() - started
        await testbed.set_domain_outage('tirol', 'tirol-b', out=True)
        await asyncio.sleep(8)
        start_by_phase['returned'] = time.monotonic() - started
        await testbed.set_domain_outage('tirol', 'tirol-b', out=False)
        await asyncio.sleep(8)
        start_by_phase['killed'] = time.monotonic() - started
        killed = [
            plan.name
            for plan in testbed.fleet.plans
            if plan.domain == 'tirol-b'
        ]
        for name in (*killed, *testbed.targets[1::2]):
            testbed.fleet.kill(name)
        answers = await running
    phase_starts = [*start_by_phase.values(), 1e9]
    rows = []
    for position, phase in enumerate(start_by_phase):
        phase_answers = [
            answer
            for answer in answers
            if phase_starts[position]
            <= answer.sent_at - started
            < phase_starts[position + 1]
        ]
        failed_answers = [
            answer for answer in phase_answers if answer.status != 200
        ]
        rows.append(
            {
                'phase': phase,
                'calls': len(phase_answers),
                'failed': len(failed_answers),
                'error seconds': len(
                    {int(answer.sent_at) for answer in failed_answers}
                ),
                **_percentile_columns(
                    percentiles(answer.latency for answer in phase_answers)
                ),
            },
        )
    return rows


async def overload() -> list[Row]:
    """Measure goodput and refusals at 70% and 200% of the capacity."""
    rows = []
    for load in (0.7, 2.0):
        fleet = _new_fleet('overload', TWO_DOMAINS)
        with fleet:
            for number in range(8):
                domain_flag = f'--domain=tirol-{"ab"[number % 2]}'
                fleet.start_target(f't{number}', [domain_flag, '--quiet'])
            fleet.await_ready(8)
            callers = _new_callers(fleet, 'stock')
            capacity = 8 * SLOTS_PER_TARGET / MEAN_SERVICE_TIME
            warm = call_to('/x?ms=20')
            await run_open_loop(callers, capacity, 5, warm)
            work = call_to(f'/x?ms={MEAN_SERVICE_TIME * 1000:.0f}', timeout=2)
            rate = load * capacity
            answers = await run_open_loop(callers, rate, SECONDS.value, work)
        good_latencies = [
            answer.latency for answer in answers if answer.status == 200
        ]
        failed_answers = [answer for answer in answers if answer.status != 200]
        rows.append(
            {
                'load': load,
                'calls': len(answers),
                'goodput %': round(
                    100 * len(good_latencies) / (capacity * SECONDS.value),
                    1,
                ),
                'not run': sum(answer.ran == 'no' for answer in failed_answers),
                'other errors': sum(
                    answer.ran != 'no' for answer in failed_answers
                ),
                'refusal p99': round(
                    percentiles(answer.latency for answer in failed_answers)[2],
                    1,
                ),
                **_percentile_columns(percentiles(good_latencies)),
            },
        )
    return rows


async def pause() -> list[Row]:
    """Pause all targets for a second, with several retry ratios.

    Retries are off (0), limited by the budget (0.1) or unlimited (1).
    """
    rows = []
    for ratio in (0, 0.1, 1):
        with Testbed('bench-pause', TWO_DOMAINS, SEED.value) as testbed:
            await testbed.propose({'defaults': {'retry_ratio': ratio}})
            testbed.add_targets('stock', 8)
            await testbed.run_blocking(testbed.fleet.await_ready, 8)
            callers = _new_callers(testbed.fleet, 'stock')
            work = call_to('/x?ms=20', timeout=0.8)
            await run_open_loop(callers, 300, 3, work)
            load = asyncio.ensure_future(
                run_open_loop(callers, 600, 8, work),
            )
            started = time.monotonic()
            await asyncio.sleep(2)
            for address in testbed.fleet.address_by_target.values():
                request('GET', f'http://{address}/-/pause?ms=1000')
            answers = await load
            history = testbed.history.all_events()
        runs = sum(event['event'] == 'start' for event in history)
        disturbed_at = [
            answer.sent_at - started
            for answer in answers
            if answer.status != 200 or answer.latency > 0.2
        ]
        rows.append(
            {
                'retry ratio': ratio,
                'calls': len(answers),
                'failed': sum(answer.status != 200 for answer in answers),
                # The history also has the calls of the warm-up, about 300 a
                # second for 3 s.
                'attempts a call': round(runs / (len(answers) + 900), 3),
                # The pause ends about 3 s after the start of the load.
                'normal after s': round(max(disturbed_at, default=0) - 3, 2),
                **_percentile_columns(
                    percentiles(answer.latency for answer in answers)
                ),
            },
        )
    return rows


async def control() -> list[Row]:
    """Measure the cost of control members by numbers of entries and targets.

    Also measured: the time until one change, and the last of 50, is accepted.
    """
    rows = []
    for entries, targets in (
        (2, 40),
        (4, 40),
        (8, 40),
        (16, 40),
        (4, 200),
        (4, 600),
        (4, 1300),
    ):
        row = await _run_control(entries, targets)
        rows.append(row)
        _print_rows([row])
    return rows


async def _run_control(entries: int, targets: int) -> Row:
    shape = FleetShape(
        (RegionShape('tirol', ('tirol-a', 'tirol-b'), entries // 2),),
    )
    with Testbed('bench-control', shape, SEED.value) as testbed:
        fleet = testbed.fleet
        fleet.start_synthetic_targets(targets, ('tirol-a', 'tirol-b'))
        await testbed.run_blocking(fleet.await_ready, targets)
        await asyncio.sleep(3)
        leader = fleet.find_leader('control', 'tirol')
        names = [*fleet.process_names('control'), fleet.entry_plans()[0].name]
        before = {name: sample_process(fleet, name) for name in names}
        await asyncio.sleep(SECONDS.value)
        idle = {
            name: usage_between(before[name], sample_process(fleet, name))
            for name in names
        }
        change_times = []
        for number in range(5):
            _, answer = await testbed.propose(
                {'defaults': {'queue_limit': 300 + number}},
            )
            change_times.append(await testbed.await_accepted(answer['version']))
        burst = await _measure_burst(testbed)
        counters = fetch_metrics(fleet.entry_plans()[0].http)
        # Member 2 is the witness.
        follower = next(name for name in names[:2] if name != leader)
    entry = names[-1]
    return {
        'entries': entries,
        'targets': targets,
        **_usage_columns('leader', idle[leader]),
        **_usage_columns('follower', idle[follower]),
        **_usage_columns('entry', idle[entry]),
        'change s': round(max(change_times), 2),
        'burst of 50 s': round(burst, 2),
        # The entry counts from its start, about 6 s before the first sample.
        'heard B/s': round(
            counters.get('turmericmast_measure_bytes_total', 0)
            / (time.monotonic() - before[entry].taken_at + 6),
        ),
    }


async def _measure_burst(testbed: Testbed) -> float:
    """Return the seconds until the last of 50 changes is accepted."""
    started = time.monotonic()
    version = 0
    for number in range(50):
        status, answer = await testbed.propose(
            {'defaults': {'queue_limit': 500 + number}},
        )
        version = answer['version'] if status == 200 else version
    await testbed.await_accepted(version)
    return time.monotonic() - started


async def keyed() -> list[Row]:
    """Measure the cost of keyed orders in the ledger at three rates.

    The last row is a linear fit of the leader's CPU usage over the rate.
    """
    rows = []
    for rate in (100, 300, 600):
        with Testbed('bench-keyed', TWO_DOMAINS, SEED.value) as testbed:
            testbed.add_targets('orders', 8, '--quiet')
            await testbed.run_blocking(testbed.fleet.await_ready, 8)
            callers = _new_callers(testbed.fleet, 'orders')
            await run_open_loop(callers, 200, 4, call_to('/x?ms=5'))

            def order(
                caller: Caller,
                due: float,
            ) -> Coroutine[Any, Any, CallResult]:
                return caller.call(
                    '/pay?ms=5',
                    method='POST',
                    body=b'{"order": 1}',
                    headers={'Idempotency-Key': testbed.next_id('k')},
                    due=due,
                )

            # Member 2 is the witness.
            names = [
                name
                for name in testbed.fleet.process_names('ledger')
                if not name.endswith('-2')
            ]
            before = {
                name: sample_process(testbed.fleet, name) for name in names
            }
            answers = await run_open_loop(callers, rate, 10, order)
            after = {
                name: sample_process(testbed.fleet, name) for name in names
            }
        used = {
            name: usage_between(before[name], after[name]) for name in names
        }
        # The leader of the ledger sends more octets than its follower.
        usages = sorted(
            used.values(), key=lambda usage: -usage.bytes_per_second
        )
        rows.append(
            {
                'orders/s': rate,
                'failed': sum(answer.status != 200 for answer in answers),
                **_usage_columns('leader', usages[0]),
                **_usage_columns('follower', usages[1]),
                **_percentile_columns(
                    percentiles(answer.latency for answer in answers)
                ),
            },
        )
    per_unit, at_zero = fit_line(
        [(row['orders/s'], row['leader core %']) for row in rows],
    )
    rows.append(
        {
            'orders/s': 'fit',
            'leader core %': f'{at_zero:.2f} + {per_unit:.4f} an order/s',
        },
    )
    return rows


async def fleet_size() -> list[Row]:
    """Measure what one edge's decisions take, by the size of the fleet."""
    return decisions.measure()


async def account_lookup() -> list[Row]:
    """Measure what finding the account of a key takes, by their number."""
    return accounts.measure()


def _usage_columns(role: str, used: Any) -> Row:
    return {
        f'{role} core %': round(used.cpu_percent, 2),
        f'{role} MiB': round(used.rss_mib, 1),
        f'{role} B/s': round(used.bytes_per_second),
    }


def _percentile_columns(numbers: Sequence[float]) -> Row:
    names = ('p50', 'p90', 'p99', 'p99.9')
    return {
        name: round(number, 2)
        for name, number in zip(names, numbers, strict=True)
    }


async def _find_owner(fleet: Fleet, service: str) -> str:
    """Return an entry that callers in tirol-a are sent to.

    The two entries of that domain own its targets, ``t0`` among them.
    """
    caller = Caller(
        [plan.http for plan in fleet.entry_plans()], service, 'tirol-a'
    )
    return await caller.choose_address()


def _new_callers(fleet: Fleet, service: str) -> list[Caller]:
    entries = [plan.http for plan in fleet.entry_plans()]
    return [
        Caller(entries, service, domain_name, seed)
        for seed, domain_name in enumerate(
            fleet.shape.regions[0].domains * 4,
        )
    ]


def _new_fleet(name: str, shape: FleetShape) -> Fleet:
    folder = RESULTS_FOLDER / name
    shutil.rmtree(folder, ignore_errors=True)
    return Fleet(shape, folder.absolute())


def _print_rows(rows: Sequence[Row]) -> None:
    for row in rows:
        columns = '  '.join(f'{name}: {number}' for name, number in row.items())
        sys.stdout.write(f'{columns}\n')
    sys.stdout.flush()


def _write(name: str, rows: Sequence[Row]) -> None:
    RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
    path = RESULTS_FOLDER / f'{name}.json'
    document = {'bench': name, 'seed': SEED.value, 'rows': list(rows)}
    path.write_text(f'{json.dumps(document, indent=1)}\n', encoding='utf-8')
    try:
        from bench import plot
    except ImportError:
        sys.stdout.write('no plot: matplotlib is not installed\n')
        return
    plot.draw_rows(name, rows, path.with_suffix('.png'))


BENCHMARK_BY_NAME: MappingProxyType[str, Benchmark] = MappingProxyType(
    {
        benchmark.__name__: benchmark
        for benchmark in (
            shift,
            added,
            domain,
            overload,
            pause,
            control,
            keyed,
            fleet_size,
            account_lookup,
        )
    },
)


def _run(arguments: Sequence[str]) -> int:
    names = arguments[1:]
    unknown = [name for name in names if name not in BENCHMARK_BY_NAME]
    if unknown or not names:
        known = ', '.join(BENCHMARK_BY_NAME)
        sys.stderr.write(f'give names of benchmarks: {known}\n')
        return 2
    for name in names:
        sys.stdout.write(f'== {name}, seed {SEED.value}\n')
        rows = asyncio.run(BENCHMARK_BY_NAME[name]())
        if name not in {'shift', 'control'}:
            _print_rows(rows)
        _write(name, rows)
    return 0


if __name__ == '__main__':
    app.run(_run)
