"""A member of an open group, opened from the settings of a machine."""

import contextlib

from turmericmast.disk.store import FileStore
from turmericmast.exceptions import SettingsError
from turmericmast.ids import MemberId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.group import GroupNode, StateMachine
from turmericmast.programs.runner import Process
from turmericmast.replica.state import ReplicaConfig


def contacts_of(settings: InstanceSettings) -> tuple[MemberId, ...]:
    """Return the members that the settings name."""
    return tuple(map(MemberId, settings.contacts))


def open_member(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    machine: StateMachine,
) -> GroupNode:
    """Open the disk of a member; ``start`` it to take part."""
    settings = process.settings
    if settings.data is None:
        raise SettingsError(
            'no data folder',
            step='check settings',
            hint='run this program on a machine with a disk',
        )
    me = MemberId(settings.listening.peers)
    contacts = contacts_of(settings)
    store = stack.enter_context(FileStore(settings.data))
    node = GroupNode(
        process.node,
        ReplicaConfig(
            me,
            contacts,
            domain=settings.domain,
            has_dynamic_membership=True,
            may_bootstrap=settings.is_first_start and me in contacts,
        ),
        store,
        machine,
        process.clock,
        process.events,
    )
    process.metrics.gauge('disk_syncs', lambda: store.sync_count)
    process.metrics.gauge('applied_index', lambda: node.applied)
    process.metrics.gauge('contact_age_seconds', node.contact_age)
    return node
