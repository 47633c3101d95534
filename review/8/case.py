"""DRAIN: a server that has been told that it may leave gets requests again.

Two servers cannot report for 13 s, then say that they drain, which is
acknowledged. A report from the time before arrives late.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import fleet as deployment  # noqa: E402

CUT_S = 13.0
LATE_S = 1.6
"""Seconds from the ack to the late report; it was sent before the ack."""
PER_ZONE = {'tirol-a': 6, 'kaernten-a': 6, 'wien-a': 2}
"""Servers: 2 of 14 leave, a share of 0.14."""
WATCHED_S = 4.5
"""Seconds after the ack for which clients go on."""


async def main(record, has_trouble):
    with deployment.Fleet(record) as fleet:
        fleet.start_all()
        operator = deployment.Operator(fleet)
        await operator.order('PUT', '/-/config', _config())
        servers = [
            deployment.Server(fleet, f'u-{zone}-{number}', zone)
            for zone, count in PER_ZONE.items()
            for number in range(count)
        ]
        for server in servers:
            await server.start()
        await deployment.wait_ready(fleet)
        await deployment.wait_served(fleet, '/wien/warm')
        # The contact window passes after the start.
        await asyncio.sleep(4)
        leaving = [each for each in servers if each.zone == 'wien-a']
        callers = asyncio.ensure_future(_call_forever(fleet, record))
        late = await _cut(record, leaving, has_trouble)
        acked_at = await _begin_to_drain(record, leaving)
        beats = [asyncio.ensure_future(_beat(each)) for each in leaving]
        if has_trouble:
            await asyncio.sleep(max(acked_at) + LATE_S - time.monotonic())
            await _deliver_late(fleet, record, late)
        await asyncio.sleep(max(acked_at) + WATCHED_S - time.monotonic())
        for task in (callers, *beats):
            task.cancel()
        return _judge(fleet, record, leaving, acked_at)


def _config():
    return deployment.config(
        1,
        0,
        {
            'all': deployment.route('safe', '/stock/'),
            'home': deployment.route('safe', '/wien/', regions=('wien',)),
        },
    )


async def _cut(record, leaving, has_trouble):
    """Let the servers go on as before, or lose the reports that they send."""
    if not has_trouble:
        await asyncio.sleep(CUT_S)
        return {}
    record.write('cut_begins', servers=[each.name for each in leaving])
    for server in leaving:
        server.stop_reporting()
    reports = {}
    ends_at = time.monotonic() + CUT_S
    while time.monotonic() < ends_at:
        for server in leaving:
            # Nobody gets it, for now. The server keeps on serving.
            reports[server.name] = server.report_body()
            record.write(
                'report_held_up', server=server.name, sequence=server.sequence
            )
        await asyncio.sleep(deployment.HEARTBEAT_S)
    record.write('cut_ends')
    return reports


async def _begin_to_drain(record, leaving):
    acked_at = []
    for server in leaving:
        server.stop_reporting()
        server.state = 'draining'
        if not await server.report():
            raise deployment.CannotRun('draining was not acknowledged')
        acked_at.append(time.monotonic())
        record.write(
            'draining_acked', server=server.name, sequence=server.sequence
        )
    return acked_at


async def _beat(server):
    while True:
        await asyncio.sleep(deployment.HEARTBEAT_S)
        await server.report()


async def _deliver_late(fleet, record, late):
    core = fleet.address(fleet.cores[0], 'control')
    for name, report in late.items():
        answer = await deployment.call(
            core, 'PUT', f'/-/instances/{name}', report
        )
        record.write(
            'late_report_arrives',
            server=name,
            sequence=report['status']['sequence'],
            state=report['status']['state'],
            status=answer.status,
        )


async def _call_forever(fleet, record):
    """Send a request to each edge every 50 ms, each on its own connection."""
    pending = set()
    number = 0
    while True:
        number += 1
        for machine in fleet.machines:
            request_id = f'r-{number}-{machine.zone}'
            task = asyncio.ensure_future(
                _call(fleet, record, machine, request_id)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.sleep(0.05)


async def _call(fleet, record, machine, request_id):
    record.write('sent', id=request_id)
    status = 0
    with contextlib.suppress(*deployment.ERRORS):
        answer = await deployment.get(
            fleet.address(machine, 'front'), '/wien/item', request_id
        )
        status = answer.status
    record.write('answer', id=request_id, status=status)


def _judge(fleet, record, leaving, acked_at):
    drain = fleet.bounds['drain_s']
    late = [
        (server.name, request_id, round(at - acked, 3))
        for server, acked in zip(leaving, acked_at, strict=True)
        for at, request_id, _ in server.arrivals
        if at - acked > drain
    ]
    for name, request_id, after in late:
        record.write(
            'reached_after_drain',
            server=name,
            id=request_id,
            seconds_after_ack=after,
        )
    if not late:
        return ''
    return (
        f'DRAIN: {len(late)} requests reached draining servers later than '
        f'{drain} s after the ack, up to {max(each[2] for each in late)} s'
    )


deployment.run_case(main, FOLDER)
