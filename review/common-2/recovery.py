"""A final fault, the traffic around it, and the rule RECOVER."""

import asyncio
import contextlib
import json
import random
import time

import fleet as deployment

FAULT_AT = 16.0
"""Seconds from the begin of the traffic to the final fault."""
FAULT_DOWN_S = 2.0
WATCHED_S = 12.0
"""Seconds after ``recover_s`` for which clients go on."""
SEED = 7


class Traffic:
    """Clients that send at a steady rate, and what became of each request."""

    def __init__(self, fleet, record, rate, path_of):
        self._fleet = fleet
        self._record = record
        self._rate = rate
        self._path_of = path_of
        self._random = random.Random(SEED)
        self._results = []
        """When each request was sent, and whether it was served."""

    async def run(self):
        pending = set()
        began_at = time.monotonic()
        number = 0
        while True:
            number += 1
            task = asyncio.ensure_future(self._send(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            due = began_at + number / self._rate
            await asyncio.sleep(max(due - time.monotonic(), 0))

    async def _send(self, number):
        machine = self._random.choice(self._fleet.machines)
        path = self._path_of(self._random.random(), number)
        request_id = f'r-{number}'
        sent_at = time.monotonic()
        status, refusal = 0, {}
        with contextlib.suppress(*deployment.ERRORS):
            answer = await deployment.get(
                self._fleet.address(machine, 'front'),
                path,
                request_id,
                deadline_ms=6000,
                timeout=7,
            )
            status = answer.status
            if status == 503:
                refusal = {'title': json.loads(answer.body).get('title', '')}
        self._results.append((sent_at, status == 200))
        self._record.write(
            'request',
            id=request_id,
            path=path,
            machine=machine.name,
            status=status,
            **refusal,
        )

    def served(self, begin, end):
        """Return how many were sent in a span, and how many were served."""
        chosen = [ok for sent_at, ok in self._results if begin <= sent_at < end]
        return len(chosen), sum(chosen)


async def play(fleet, record, traffic, *, trouble, has_fault):
    """Play traffic with a final fault; return how the rule was broken.

    ``trouble`` is awaited beside it, with the time at which traffic began.
    """
    began_at = time.monotonic()
    callers = asyncio.ensure_future(traffic.run())
    beside = asyncio.ensure_future(trouble(began_at)) if trouble else None
    await asyncio.sleep(began_at + FAULT_AT - time.monotonic())
    fault_at = time.monotonic()
    if has_fault:
        await _kill_all(fleet)
    recovered_at = time.monotonic() + fleet.bounds['recover_s']
    await asyncio.sleep(recovered_at + WATCHED_S - time.monotonic())
    # Those sent in the last second may still be on their way.
    ends_at = time.monotonic() - 1
    callers.cancel()
    if beside:
        await beside
    before = traffic.served(began_at, fault_at)
    after = traffic.served(recovered_at, ends_at)
    return _judge(record, before, after)


async def _kill_all(fleet):
    """Kill all processes at once; start them again on their disks."""
    for machine in fleet.machines:
        for role in ('core', 'edge'):
            fleet.kill(machine, role)
    await asyncio.sleep(FAULT_DOWN_S)
    for machine in fleet.machines:
        for role in ('core', 'edge'):
            fleet.start(machine, role)


def _judge(record, before, after):
    record.write('before_final_fault', sent=before[0], served=before[1])
    record.write('after_recovery', sent=after[0], served=after[1])
    was_served = before[1] * 4 >= before[0] > 0
    is_served = after[1] * 4 >= after[0] > 0
    if is_served or not was_served:
        return ''
    return (
        f'RECOVER: {after[1]} of {after[0]} requests served later than '
        f'recover_s after the machines are back; {before[1]} of {before[0]} '
        'before the final fault'
    )
