"""The ports of a core member."""

import contextlib
from typing import TYPE_CHECKING

from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.coreapi import body_limit, make_application
from turmericmast.programs.clientlimits import find_limits, open_guard
from turmericmast.programs.groupsetup import MAX_OPERATOR_BODY_BYTES
from turmericmast.programs.pageports import serve_metrics, serve_pages
from turmericmast.programs.runner import Process
from turmericmast.wire.server import PeerServer

if TYPE_CHECKING:
    from turmericmast.programs.core import Core


def serve_core(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    core: 'Core',
) -> None:
    """Listen for peers, operators and targets until ``stack`` is closed."""
    listening = process.settings.listening
    guard = open_guard(process, find_limits(process))
    peer_server = PeerServer(process.context, core, guard)
    host, _, port = listening.peers.rpartition(':')
    peer_server.listen(int(port), host)
    serve_metrics(process, stack, host, core.pages(), guard)
    stack.callback(peer_server.close_all)
    serve_pages(
        stack,
        make_application(core.operations, process.metrics),
        listening.operators,
        MAX_OPERATOR_BODY_BYTES,
        guard,
        body_limit,
    )
