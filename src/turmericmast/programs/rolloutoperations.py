"""Orders of rollouts, and their state, at any core member."""

from typing import TYPE_CHECKING, final

from returns.result import Failure, Result, Success

from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import OrderRollout
from turmericmast.exceptions import SettingsError, TurmericmastError
from turmericmast.ids import ServiceId
from turmericmast.instancesettings import Contract, InstanceSettings
from turmericmast.programs.clustercommitter import ClusterCommitter
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.rolloutdriver import RolloutDriver
from turmericmast.rollout.records import ServiceRollout

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process


@final
class RolloutOperations:
    """Accepts orders of rollouts through the leader, and shows rollouts."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        committer: ClusterCommitter,
        group: GroupMember,
        cluster: Cluster,
    ) -> None:
        """Commit orders by ``committer``."""
        self._process = process
        self._committer = committer
        self._cluster = cluster
        self.driver = RolloutDriver(process, committer, group, cluster)

    async def order(
        self, order: OrderRollout
    ) -> Result[bool, TurmericmastError]:
        """Begin a rollout, or acknowledge one that was ordered before.

        Fails with ``SettingsError`` for an order that names nothing that is
        known, and with ``ConflictError`` while another version of the service
        is being rolled out.
        """
        accepted = await self._accept(order)
        is_accepted = isinstance(accepted, Success)
        self._process.events.write(
            'rollout_ordered',
            service=order.service,
            version=order.target_version,
            duration_ms=order.duration_ms,
            accepted=is_accepted,
            reason='' if is_accepted else accepted.failure().show(),
        )
        return accepted

    async def show(
        self, service: ServiceId
    ) -> Result[ServiceRollout, TurmericmastError]:
        """Return the latest committed state of a service's newest rollout."""
        caught_up = await self._committer.catch_up()
        return caught_up.map(lambda _: self._cluster.rollouts.find(service))

    async def _accept(
        self, order: OrderRollout
    ) -> Result[bool, TurmericmastError]:
        if Contract.rollout not in self._process.settings.contracts:
            return Failure(_not_in_force())
        rollouts = self._cluster.rollouts
        if rollouts.is_accepted(order):
            return Success(False)
        caught_up = await self._committer.catch_up()
        if not isinstance(caught_up, Success):
            return Failure(caught_up.failure())
        is_settled = rollouts.is_accepted(order) or (
            # The leader rejects another order; targets are no matter then.
            rollouts.find(order.service).is_running
        )
        if is_settled or self._has_targets(order.service):
            return await self._committer.change(order)
        return Failure(_unknown_service(order.service))

    def _has_targets(self, service: ServiceId) -> bool:
        """Tell whether a service is known.

        The targets of the new version may start only after the order.
        """
        registry = self._cluster.registry
        records = registry.table.record_by_key.values()
        return any(record.service == service for record in records)


def _unknown_service(service: ServiceId) -> SettingsError:
    return SettingsError(
        f'service: no target of {service!r} is known',
        step='order rollout',
        hint='write the name of a service that has targets',
    )


def _not_in_force() -> SettingsError:
    return SettingsError(
        'rollouts are not in force in this deployment',
        step='order rollout',
        hint='add "rollout" to the list "contracts" of the settings',
    )
