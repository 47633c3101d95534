"""An edge whose targets have said that they are up."""

import asyncio
import contextlib
import unittest.mock
from collections.abc import AsyncIterator, Sequence

from tests.joined_heads import JoiningTarget
from tests.running_edge import RunningEdge, target_at
from turmericmast.balance import confirmation, targetview
from turmericmast.balance.load import LoadReport
from turmericmast.clock import SystemClock
from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.curl import CurlClient
from turmericmast.web.probing import Prober


async def probe(address: str, metrics: Metrics) -> targetview.TargetView:
    """Probe a target once; return what is known of it then."""
    view = targetview.TargetView(target_at('1', address), 'tirol')
    with CurlClient() as curl:
        prober = Prober(
            curl,
            PlatformHeaders(),
            SystemClock(),
            metrics,
            unittest.mock.Mock(),
        )
        await prober.start(view, '/0')
    return view


@contextlib.asynccontextmanager
async def verified_edge(
    method: str, *targets: JoiningTarget
) -> AsyncIterator[RunningEdge]:
    """Run an edge with targets that are verified."""
    asyncio.get_running_loop().set_debug(enabled=False)
    service = 'orders' if method == 'POST' else 'stock'
    async with contextlib.AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(target.run()) for target in targets
        ]
        own = stack.enter_context(RunningEdge('own'))
        # On a busy machine, a request may come long after its target's word.
        stack.enter_context(
            unittest.mock.patch.object(
                confirmation, 'VERIFICATION_LIFETIME', 60
            )
        )
        await own.open(targets=_records(addresses, service))
        for view in own.edge.views():
            view.verify(Seconds(0), own.clock.now())
            view.update_load(LoadReport(0, 0, 4), own.clock.now())
        yield own


def _records(addresses: Sequence[str], service: str) -> list[TargetRecord]:
    return [
        target_at(str(number), address, service)
        for number, address in enumerate(addresses, start=1)
    ]
