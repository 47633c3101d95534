"""GONE: requests of callers who have left reach servers a second later.

Half of the callers send three safe requests at once (pipelining). Of all
callers, three in ten leave before the first answer.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import fleet as deployment  # noqa: E402

CALLERS = 60
LEAVING_SHARE = 0.3
DEPTH = 3
"""Requests that a caller sends at once, if it does not wait for answers."""
WORK_S = 1.2
DEADLINE_MS = 6000
LEAVES_AFTER_S = 0.3
PER_ZONE = 8
MOST_LATE = 5
"""The rule allows a few requests; more than these are more than a few."""


class Caller:
    """A caller on one kept connection."""

    def __init__(self, number):
        self.number = number
        self.is_leaving = number < CALLERS * LEAVING_SHARE
        self.depth = DEPTH if number % 2 else 1
        self.ids = [f'c{number}-{order}' for order in range(self.depth)]
        self.closed_at = None
        self.statuses = []


async def main(record, has_trouble):
    with deployment.Fleet(record) as fleet:
        fleet.start_all()
        operator = deployment.Operator(fleet)
        routes = {
            'price': deployment.route(
                'safe', '/price/', timeout_s=6.996, goal_s=0.709
            )
        }
        await operator.order(
            'PUT', '/-/config', deployment.config(1, 0, routes)
        )
        servers = [
            deployment.Server(fleet, f'u-{zone}-{number}', zone, work=_work)
            for zone in fleet.zones
            for number in range(PER_ZONE)
        ]
        for server in servers:
            await server.start()
        await deployment.wait_ready(fleet)
        await deployment.wait_served(fleet, '/price/warm')
        # The contact window passes after the start.
        await asyncio.sleep(4)
        callers = [Caller(number) for number in range(CALLERS)]
        await asyncio.gather(
            *(_call(fleet, record, each, has_trouble) for each in callers)
        )
        await asyncio.sleep(2)
        record.write('statuses', counts=_count(callers))
        return _judge(record, servers, callers)


def _work(path):
    return WORK_S if 'item' in path else 0.02


async def _call(fleet, record, caller, has_trouble):
    machine = fleet.machines[caller.number % len(fleet.machines)]
    reader, writer = await asyncio.open_connection(
        *fleet.address(machine, 'front')
    )
    for request_id in caller.ids:
        writer.write(
            deployment.request_bytes(
                'GET',
                f'/price/item-{request_id}',
                request_id,
                deadline_ms=DEADLINE_MS,
            )
        )
        record.write('sent', id=request_id, machine=machine.name)
    with contextlib.suppress(*deployment.ERRORS):
        if caller.is_leaving and has_trouble:
            await asyncio.sleep(LEAVES_AFTER_S)
        else:
            async with asyncio.timeout(15):
                for request_id in caller.ids:
                    answer = await deployment.read_answer(reader)
                    caller.statuses.append(answer.status)
                    record.write('answer', id=request_id, status=answer.status)
    writer.close()
    with contextlib.suppress(*deployment.ERRORS):
        await writer.wait_closed()
    caller.closed_at = time.monotonic()
    record.write('closed', caller=caller.number, leaves=caller.is_leaving)


def _count(callers):
    statuses = [status for each in callers for status in each.statuses]
    return {status: statuses.count(status) for status in sorted(set(statuses))}


def _judge(record, servers, callers):
    closed_at = {
        request_id: caller.closed_at
        for caller in callers
        if not caller.statuses
        for request_id in caller.ids
    }
    runs = [
        run
        for server in servers
        for run in server.runs
        if run.request_id in closed_at
    ]
    late = {
        request_id: round(at - closed_at[request_id], 3)
        for server in servers
        for at, request_id, _ in server.arrivals
        if request_id in closed_at and at - closed_at[request_id] > 0.5
    }
    would_last, at_work = set(), set()
    for run in runs:
        left_at = closed_at[run.request_id]
        if run.began_at <= left_at < run.began_at + WORK_S - 0.5:
            would_last.add(run.request_id)
            if run.ended_at is None or run.ended_at - left_at > 0.5:
                at_work.add(run.request_id)
    record.write('late', requests=late)
    record.write('still_at_work', of=sorted(would_last), these=sorted(at_work))
    faults = []
    if len(late) > MOST_LATE:
        faults.append(
            f'{len(late)} requests reached a server over 0.5 s after their '
            f'caller had closed, up to {max(late.values())} s'
        )
    if len(at_work) * 4 > len(would_last):
        faults.append(
            f'servers were still at work 0.5 s later on {len(at_work)} of '
            f'{len(would_last)} requests'
        )
    return f'GONE: {"; ".join(faults)}' if faults else ''


deployment.run_case(main, FOLDER)
