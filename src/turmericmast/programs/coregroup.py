"""Sets up the member of the core group, whose membership is dynamic."""

import contextlib

from turmericmast.disk.store import FileStore
from turmericmast.exceptions import SettingsError
from turmericmast.ids import MemberId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.groupmember import GroupMember, StateMachine
from turmericmast.programs.runner import Process
from turmericmast.replica.state import ReplicaConfig


def contacts_of(settings: InstanceSettings) -> tuple[MemberId, ...]:
    """Return the seed members that the settings name."""
    return tuple(map(MemberId, settings.contacts))


def open_core_member(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    state_machine: StateMachine,
) -> GroupMember:
    """Open the data folder and return the member, not yet started.

    Raises ``SettingsError`` if the settings have no data folder.
    """
    settings = process.settings
    if settings.data is None:
        raise SettingsError(
            'a core member needs a data folder, but none is set',
            step='check settings',
            hint='run it on a host with a disk, and set a data folder',
        )
    own_id = MemberId(settings.listening.peers)
    contacts = contacts_of(settings)
    store = stack.enter_context(FileStore(settings.data))
    member = GroupMember(
        process.context,
        ReplicaConfig(
            own_id,
            contacts,
            domain=settings.domain,
            has_dynamic_membership=True,
            may_bootstrap=settings.is_first_start and own_id in contacts,
        ),
        store,
        state_machine,
        process.clock,
        process.events,
    )
    process.metrics.gauge('disk_syncs', lambda: store.sync_count)
    process.metrics.gauge('applied_index', lambda: member.applied_index)
    process.metrics.gauge('contact_age_seconds', member.contact_age)
    return member
