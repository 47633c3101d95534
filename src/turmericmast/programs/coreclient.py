"""The parts of an edge that talk to the core."""

import contextlib
from typing import TYPE_CHECKING

from turmericmast.balance.affinity import affinity
from turmericmast.edge.edge import Edge
from turmericmast.ids import ServiceId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusterwatcher import ClusterWatcher
from turmericmast.programs.tokenlinks import TokenLinks
from turmericmast.programs.tokensource import CoreTokenSource
from turmericmast.web.allowancegate import AllowanceGate
from turmericmast.wire.linkpool import LinkPool

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process


def make_watcher(
    process: 'Process[InstanceSettings]', edge: Edge
) -> ClusterWatcher:
    """Return what keeps the view of an edge up to date."""
    return ClusterWatcher(
        process, edge, DocumentFormat(), LinkPool(process.context)
    )


def make_gate(
    process: 'Process[InstanceSettings]',
    stack: contextlib.ExitStack,
    watcher: ClusterWatcher,
) -> AllowanceGate:
    """Return what draws tokens at an edge; ``stack`` closes its links."""
    links = stack.enter_context(LinkPool(process.context))
    return AllowanceGate(
        CoreTokenSource(watcher, TokenLinks(links, process.metrics)),
        process.clock,
        process.metrics,
        affinity(ServiceId(''), process.settings.instance),
    )
