"""Registrations of edges that are being committed."""

from typing import final

from turmericmast.cluster.records import EdgeRecord
from turmericmast.ids import InstanceId


@final
class PendingRegistrations:
    """Keeps a record from being committed twice.

    An edge sends its record with each poll, and polls again before a busy
    leader has committed it.
    """

    def __init__(self) -> None:
        """Begin without pending registrations."""
        self._record_by_instance: dict[InstanceId, EdgeRecord] = {}

    def begin(self, edge: EdgeRecord, known: EdgeRecord | None) -> bool:
        """Tell whether to commit the record of an edge.

        ``known`` is the committed record of the same instance. After ``True``,
        ``end`` must follow.
        """
        pending = self._record_by_instance.get(edge.instance)
        if edge in {known, pending}:
            return False
        self._record_by_instance[edge.instance] = edge
        return True

    def end(self, edge: EdgeRecord) -> None:
        """Forget a record that was committed, or that could not be."""
        if self._record_by_instance.get(edge.instance) == edge:
            self._record_by_instance.pop(edge.instance)
