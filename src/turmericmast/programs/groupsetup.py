"""Sets up members of control and ledger groups, whose membership is static.

It also holds limits and conversions of results that the core program shares.
"""

import contextlib
from typing import TYPE_CHECKING, Any, TypeAlias

from returns.result import Success
from tornado.web import Application

from turmericmast.disk.store import FileStore
from turmericmast.exceptions import (
    NotLeaderError,
    SettingsError,
    TurmericmastError,
    WireError,
)
from turmericmast.ids import MemberId, RegionId
from turmericmast.programs.groupmember import GroupMember, StateMachine
from turmericmast.replica.state import ReplicaConfig
from turmericmast.settings import GroupKind, MemberSettings
from turmericmast.web.pageserver import listen, make_page_server
from turmericmast.wire.replies import NotNow, Refusal
from turmericmast.wire.server import Handler, PeerServer

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

LEADERSHIP_TRANSFER_TIMEOUT = 3.0
"""Seconds within which a stopping leader should find a successor."""
MAX_OPERATOR_BODY_BYTES = 4_194_304
"""Largest body of an operator's request, in bytes."""

RegionGroup: TypeAlias = tuple[RegionId, tuple[MemberSettings, ...]]
"""Region of a group and the settings of its members."""


def find_group(process: 'Process', kind: GroupKind) -> RegionGroup:
    """Return the region and members of the group that this process belongs to.

    Raises ``SettingsError`` if it is in no group of this kind, or has no data
    folder or peer address.
    """
    settings = process.settings
    group = settings.find_group(kind, MemberId(settings.name))
    if group is None or settings.data is None or not settings.peer:
        raise SettingsError(
            f'{settings.name} is not a {kind.value} member with data and peer',
            step='check settings',
            hint=f'add it to a {kind.value} group, and set data and peer',
        )
    return group


def open_group_member(
    process: 'Process',
    stack: contextlib.ExitStack,
    group: RegionGroup,
    state_machine: StateMachine,
) -> GroupMember:
    """Open the data folder and return the member, not yet started.

    Raises ``ValueError`` if the settings have no data folder, which
    ``find_group`` checks before.
    """
    _, members = group
    settings = process.settings
    config = ReplicaConfig(
        MemberId(settings.name),
        tuple(sorted(member_settings.member for member_settings in members)),
        frozenset(
            member_settings.member
            for member_settings in members
            if member_settings.witness
        ),
    )
    if settings.data is None:
        raise ValueError(settings.name)
    store = stack.enter_context(FileStore(settings.data))
    member = GroupMember(
        process.context,
        config,
        store,
        state_machine,
        process.clock,
        process.events,
    )
    process.metrics.gauge('disk_syncs', lambda: store.sync_count)
    process.metrics.gauge('applied_index', lambda: member.applied_index)
    stack.enter_context(member)
    return member


def serve_group(
    process: 'Process',
    stack: contextlib.ExitStack,
    handler: Handler,
    application: Application,
) -> None:
    """Listen for peers over TCP and for operators over HTTP."""
    settings = process.settings
    peer_server = PeerServer(process.context, handler)
    host, _, port = settings.peer.rpartition(':')
    peer_server.listen(int(port), host.strip('[]'))
    stack.callback(peer_server.close_all)
    operator_server = make_page_server(application, MAX_OPERATOR_BODY_BYTES)
    listen(operator_server, settings.http)
    stack.callback(operator_server.stop)


def error_reply(error: TurmericmastError) -> Any:
    """Return the reply that reports an error to a peer.

    Errors that a retry may resolve become ``NotNow``, all others ``Refusal``.
    """
    if isinstance(error, NotLeaderError):
        return NotNow(MemberId(error.peer), error.message)
    if isinstance(error, WireError):
        return NotNow(MemberId(''), error.message)
    return Refusal(error.step, error.message, error.hint)


def flatten_result(answer: Any) -> Any:
    """Flatten the result of a proposal.

    Applying a command may itself return a result, a failure if a rule rejected
    the command.
    """
    if not isinstance(answer, Success):
        return answer
    inner = answer.unwrap()
    return inner if hasattr(inner, 'unwrap') else answer
