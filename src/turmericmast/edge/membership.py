"""The instances of the cluster as one of them knows them."""

from typing import final

from turmericmast.balance.assignment import AssignmentTable
from turmericmast.cluster.records import ClusterFeed, EdgeRecord
from turmericmast.ids import DomainId, InstanceId


@final
class Membership:
    """Keeps the instances, and the assignment of targets to them."""

    def __init__(self, own_instance: InstanceId) -> None:
        """Begin without any instance."""
        self.edge_by_instance: dict[InstanceId, EdgeRecord] = {}
        self.assignments = AssignmentTable(own_instance)
        self.revision = 0
        """Incremented by each change of the instances."""

    def count_in(self, domain: DomainId) -> int:
        """Return the number of instances in a failure domain."""
        return len(self.assignments.edges_by_domain.get(domain, ()))

    def apply(self, feed: ClusterFeed) -> None:
        """Update the instances from a feed."""
        listed = {edge.instance for edge in feed.edges}
        removed = (
            self.edge_by_instance.keys() - listed
            if feed.complete
            else feed.removed_edges
        )
        for instance in removed:
            self._remove(instance)
        for edge in feed.edges:
            self._set(edge)
        if removed or listed:
            self.revision += 1

    def _set(self, edge: EdgeRecord) -> None:
        known = self.edge_by_instance.get(edge.instance)
        if known and known.domain != edge.domain:
            self.assignments.remove_edge(known)
        self.edge_by_instance[edge.instance] = edge
        self.assignments.set_edge(edge)

    def _remove(self, instance: InstanceId) -> None:
        known = self.edge_by_instance.pop(instance, None)
        if known:
            self.assignments.remove_edge(known)
