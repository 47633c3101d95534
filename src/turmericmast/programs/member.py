"""What the control and the ledger program have in common."""

import contextlib
from typing import Any, TypeAlias

from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.web import Application

from turmericmast.disk.store import FileStore
from turmericmast.exceptions import (
    NotLeaderError,
    SettingsError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import MemberId, RegionId
from turmericmast.programs.group import GroupNode, StateMachine
from turmericmast.programs.runner import Process
from turmericmast.replica.state import ReplicaConfig
from turmericmast.settings import GroupKind, MemberSettings
from turmericmast.wire.replies import NotNow, Refusal
from turmericmast.wire.server import Handler, PeerServer

HAND_OVER_TIMEOUT = 3.0
"""Seconds in which a leader that stops should find a successor."""
MAX_PAGE_BODY = 4_194_304
"""Octets of the largest request of operators."""

Group: TypeAlias = tuple[RegionId, tuple[MemberSettings, ...]]


def find_group(process: Process, kind: GroupKind) -> Group:
    """Return the region and the members of the group of this process."""
    settings = process.settings
    found = settings.find_group(kind, MemberId(settings.name))
    if found is None or settings.data is None or not settings.peer:
        raise SettingsError(
            f'{settings.name} is no {kind.value} member with data and peer',
            step='check settings',
            hint=f'add it to a {kind.value} group, and set data and peer',
        )
    return found


def open_group(
    process: Process,
    stack: contextlib.ExitStack,
    group: Group,
    machine: StateMachine,
) -> GroupNode:
    """Open the disk of a member and join its group."""
    _, members = group
    settings = process.settings
    config = ReplicaConfig(
        MemberId(settings.name),
        tuple(sorted(one.member for one in members)),
        frozenset(one.member for one in members if one.witness),
    )
    if settings.data is None:
        raise ValueError(settings.name)
    store = stack.enter_context(FileStore(settings.data))
    node = GroupNode(
        process.node,
        config,
        store,
        machine,
        process.clock,
        process.events,
    )
    process.metrics.gauge('disk_syncs', lambda: store.sync_count)
    process.metrics.gauge('applied_index', lambda: node.applied)
    stack.enter_context(node)
    return node


def serve(
    process: Process,
    stack: contextlib.ExitStack,
    handler: Handler,
    application: Application,
) -> None:
    """Listen for peers, and for operators over HTTP."""
    settings = process.settings
    peers = PeerServer(process.node, handler)
    host, _, port = settings.peer.rpartition(':')
    peers.listen(int(port), host.strip('[]'))
    stack.callback(peers.close_all)
    pages = HTTPServer(application, max_body_size=MAX_PAGE_BODY)
    host, _, port = settings.http.rpartition(':')
    pages.listen(int(port), host.strip('[]'))
    stack.callback(pages.stop)


def refusal_of(error: TurmericmastError) -> Any:
    """Return the answer to a peer that stands for an error."""
    if isinstance(error, NotLeaderError):
        return NotNow(MemberId(error.peer), error.message)
    if isinstance(error, WireError):
        return NotNow(MemberId(''), error.message)
    return Refusal(error.step, error.message, error.hint)


def unwrap(answer: Any) -> Any:
    """Return what a command gave, or the error behind it.

    Applying a command may give a result of its own, which says whether a
    rule refused it.
    """
    if not isinstance(answer, Success):
        return answer
    inner = answer.unwrap()
    return inner if hasattr(inner, 'unwrap') else answer
