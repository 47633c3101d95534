"""The ports at which the programs serve pages."""

import contextlib
from collections.abc import Iterable
from typing import Any

from tornado.web import Application

from turmericmast.programs.runner import METRICS_PORT, Process
from turmericmast.web.connectionguard import ConnectionGuard
from turmericmast.web.metricspage import make_metrics_server
from turmericmast.web.pagerequest import LimitOfPath
from turmericmast.web.pageserver import (
    MAX_PAGE_BODY_BYTES,
    listen,
    make_page_server,
)


def serve_pages(
    stack: contextlib.ExitStack,
    application: Application,
    address: str,
    max_body_bytes: int = MAX_PAGE_BODY_BYTES,
    guard: ConnectionGuard | None = None,
    limit_of_path: LimitOfPath | None = None,
) -> None:
    """Serve ``application`` at an address until ``stack`` is closed."""
    server = make_page_server(application, max_body_bytes, guard, limit_of_path)
    stack.callback(listen(server, address).stop)


def serve_metrics(
    process: Process[Any],
    stack: contextlib.ExitStack,
    host: str,
    pages: Iterable[Any],
    guard: ConnectionGuard | None = None,
) -> None:
    """Serve the metrics at the port of ``--metrics_port``, if it is set.

    ``pages`` are served there as well.
    """
    if METRICS_PORT.value:
        server = make_metrics_server(process.metrics, pages, guard)
        server.listen(METRICS_PORT.value, host)
        stack.callback(server.stop)
