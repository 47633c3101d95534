"""Orders that a core member reads after later ones were acknowledged.

``python -m bench.lateorders --older=COMMIT`` plays them on three members, each
with this build or an older one, in all ways in which the member that freezes
or the leader has this one.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib
import signal
import socket
import sys
import tempfile
from collections.abc import Sequence
from typing import Any, final

from absl import app

from bench.builds import extract_build
from bench.machines import REGION_BY_ZONE, ROOT, LocalCluster, Upstream
from bench.soak import OLDER, route_document

FROZEN_DOMAIN = 'kaernten-a'
"""Failure domain of the core member that freezes."""
WORKING_DOMAIN = 'tirol-a'
"""Failure domain of the core member that goes on."""
SETTLE_SECONDS = 1.5
"""Seconds in which a member that wakes handles what has arrived, and in which
edges follow."""
RETURN_SECONDS = 5.0
"""Seconds within which targets that are back in service get requests."""


@final
@dataclasses.dataclass(frozen=True)
class LateOrder:
    """An order that a member reads after it was undone through another one."""

    domain: str
    is_withdrawal: bool
    has_closed: bool
    """Whether the sender has closed its connection before the member wakes."""

    @property
    def methods(self) -> tuple[str, str]:
        """Return the methods of the late order and of the one after it."""
        return ('DELETE', 'POST') if self.is_withdrawal else ('POST', 'DELETE')

    @property
    def path(self) -> str:
        """Return the path of the evacuation."""
        return f'/-/evacuations/{self.domain}'


LATE_ORDERS = (
    LateOrder('wien-a', is_withdrawal=True, has_closed=True),
    LateOrder('kaernten-a', is_withdrawal=True, has_closed=False),
    LateOrder('tirol-a', is_withdrawal=False, has_closed=True),
)


async def play_late_orders(
    cluster: LocalCluster, path: str
) -> dict[LateOrder, bool]:
    """Freeze a member with each late order; return which were carried out.

    Callers send GET requests to ``path``.
    """
    with contextlib.ExitStack() as connections:
        for late in LATE_ORDERS:
            if late.is_withdrawal:
                await send_order(cluster, 'POST', late.path)
        cluster.signal('core', FROZEN_DOMAIN, signal.SIGSTOP)
        for sent in LATE_ORDERS:
            connection = send_without_answer(
                cluster, sent.methods[0], sent.path
            )
            connections.callback(connection.close)
            if sent.has_closed:
                connection.close()
        for number, later in itertools.product(range(2), LATE_ORDERS):
            await send_order(cluster, later.methods[number], later.path)
        cluster.signal('core', FROZEN_DOMAIN, signal.SIGCONT)
        await asyncio.sleep(SETTLE_SECONDS)
        return {
            late: await _is_carried_out(cluster, late, path)
            for late in LATE_ORDERS
        }


async def _is_carried_out(
    cluster: LocalCluster, late: LateOrder, path: str
) -> bool:
    if late.is_withdrawal:
        return await is_served_at_home(cluster, late.domain, path)
    # Targets that are back in service are verified first. A late evacuation
    # that is carried out never ends.
    with contextlib.suppress(TimeoutError):
        await wait_until_served_at_home(cluster, late.domain, path)
        return False
    return True


def send_without_answer(
    cluster: LocalCluster, method: str, path: str
) -> socket.socket:
    """Send an order to the frozen member; return the connection."""
    connection = socket.create_connection(
        (cluster.ip_by_zone[FROZEN_DOMAIN], cluster.ports[3])
    )
    head = f'{method} {path} HTTP/1.1\r\nHost: core\r\n'
    connection.sendall(f'{head}Content-Length: 0\r\n\r\n'.encode())
    return connection


async def send_order(
    cluster: LocalCluster, method: str, path: str, document: Any = None
) -> None:
    """Send an order to the working member until it is acknowledged."""

    async def is_acknowledged() -> bool:  # noqa: WPS430
        answer = await cluster.request_core(
            WORKING_DOMAIN, method, path, document
        )
        return answer.code == 200

    await cluster.wait_until(is_acknowledged)


async def is_served_at_home(
    cluster: LocalCluster, domain: str, path: str
) -> bool:
    """Tell whether the target ``u-DOMAIN`` serves callers of its domain."""
    answer = await cluster.request_as_caller(domain, path, f'r-{domain}')
    return f'u-{domain}'.encode() in answer.body


async def wait_until_served_at_home(
    cluster: LocalCluster, domain: str, path: str
) -> None:
    """Wait for that; raises ``TimeoutError`` after ``RETURN_SECONDS``."""
    await cluster.wait_until(
        lambda: is_served_at_home(cluster, domain, path), RETURN_SECONDS
    )


async def _play(roots: tuple[pathlib.Path, ...]) -> list[LateOrder]:
    """Play with one build for each member; return what was carried out."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        cluster = LocalCluster(pathlib.Path(folder))
        stack.push(cluster.__exit__)
        for zone, root in zip(REGION_BY_ZONE, roots, strict=True):
            cluster.start('core', zone, bootstrap=True, root=root)
            cluster.start('edge', zone, bootstrap=True, root=root)
        upstreams = [
            stack.enter_context(
                Upstream(f'u-{zone}', zone, f'{ip}:{cluster.ports[6]}')
            )
            for zone, ip in cluster.ip_by_zone.items()
        ]
        await cluster.wait_until(lambda: _is_ready(cluster, upstreams))
        outcome = await play_late_orders(cluster, '/look/1')
    return [late for late, is_carried_out in outcome.items() if is_carried_out]


async def _is_ready(cluster: LocalCluster, upstreams: list[Upstream]) -> bool:
    answers = [
        await cluster.request_core(
            WORKING_DOMAIN, 'PUT', '/-/config', route_document(1, 0)
        ),
        *[
            await cluster.request_core(
                WORKING_DOMAIN,
                'PUT',
                f'/-/instances/{upstream.name}',
                upstream.next_report(),
            )
            for upstream in upstreams
        ],
    ]
    if any(answer.code != 200 for answer in answers):
        return False
    served = [
        await is_served_at_home(cluster, zone, '/look/1')
        for zone in REGION_BY_ZONE
    ]
    return all(served)


def _main(_arguments: Sequence[str]) -> int:
    failed = 0
    with tempfile.TemporaryDirectory() as folder:
        older = extract_build(OLDER.value, pathlib.Path(folder))
        # The domains of a late order, of the frozen and the working member.
        for frozen, others in ((older, ROOT), (ROOT, older), (ROOT, ROOT)):
            carried_out = asyncio.run(_play((others, frozen, others)))
            failed += len(carried_out)
            names = f'frozen {frozen.name}, others {others.name}'
            sys.stdout.write(f'{names}: {carried_out or "holds"}\n')
    return int(bool(failed))


if __name__ == '__main__':
    app.run(_main)
