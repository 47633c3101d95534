"""The version gates of an edge, where rollouts are in force."""

from typing import TYPE_CHECKING

from turmericmast.balance.affinity import affinity
from turmericmast.edge.freshness import Freshness
from turmericmast.ids import InstanceId, ServiceId
from turmericmast.instancesettings import Contract, InstanceSettings
from turmericmast.rollout.gates import VersionGates

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process


def make_gates(
    process: 'Process[InstanceSettings]',
) -> VersionGates | None:
    """Return the gates by version, ``None`` where no rollouts are in force."""
    if Contract.rollout not in process.settings.contracts:
        return None
    start = f'{process.settings.instance}/{process.incarnation}'
    gates = VersionGates(
        Freshness(),
        lambda service, order: affinity(
            ServiceId(f'{service}/{order}'), InstanceId(start)
        ),
    )
    gates.on_change = lambda rollout: process.events.write(
        'rollout',
        service=rollout.service,
        state=rollout.state.value,
        current=rollout.current,
        version=rollout.target_version,
        order=rollout.order,
        share=rollout.share,
    )
    return gates
