"""Pages on which operators look into a fleet: instances, targets, budgets.

They stand beside the metrics. Each list is bounded and tells how much it
leaves out.
"""

import dataclasses
from http import HTTPStatus
from typing import Any, TypeAlias, final

from tornado.web import RequestHandler

from turmericmast.clock import Clock
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.listing import (
    DEFAULT_LIMIT,
    MAX_LIMIT,
    ListFilter,
    Listing,
    list_edges,
    list_targets,
)
from turmericmast.cluster.records import EdgePhase, EdgeRecord, TargetPhase
from turmericmast.edge.edge import Edge
from turmericmast.edge.explanation import TargetExplanation, explain_target
from turmericmast.ids import DomainId, ServiceId
from turmericmast.numerals import is_whole_within

INSTANCES_PATH = '/fleet/instances'
TARGETS_PATH = '/fleet/targets'
BUDGETS_PATH = '/fleet/budgets'
MAX_SHOWN_SECONDS = 1000.0
"""Longest time that is shown; an age is infinite before the first report."""

Page: TypeAlias = tuple[str, type[RequestHandler], dict[str, Any]]
"""Path, handler and the arguments of its ``initialize``."""


def core_pages(cluster: Cluster) -> tuple[Page, ...]:
    """Return the pages of a core member."""
    return (
        (INSTANCES_PATH, _CoreInstances, {'cluster': cluster}),
        (TARGETS_PATH, _CoreTargets, {'cluster': cluster}),
    )


def edge_pages(edge: Edge, clock: Clock) -> tuple[Page, ...]:
    """Return the pages of an edge, which show its own view."""
    options = {'edge': edge, 'clock': clock}
    return (
        (INSTANCES_PATH, _EdgeInstances, options),
        (TARGETS_PATH, _EdgeTargets, options),
        (BUDGETS_PATH, _EdgeBudgets, options),
    )


class _ListPage(RequestHandler):
    """Reads the filter of a list, and sends faults as text."""

    def read_filter(self, phases: frozenset[str]) -> ListFilter | None:
        """Return the filter; ``None`` after a refusal was sent."""
        limit = self.get_query_argument('limit', str(DEFAULT_LIMIT))
        phase = self.get_query_argument('phase', '')
        fault = ''
        if not is_whole_within(limit, 1, MAX_LIMIT):
            fault = f'limit: write a whole number from 1 to {MAX_LIMIT}'
        elif phase and phase not in phases:
            fault = f'phase: write one of {", ".join(sorted(phases))}'
        if fault:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish({'error': fault, 'step': 'read query'})
            return None
        return ListFilter(
            DomainId(self.get_query_argument('domain', '')),
            ServiceId(self.get_query_argument('service', '')),
            phase,
            int(limit),
        )


class _CorePage(_ListPage):
    def initialize(self, cluster: Cluster) -> None:
        """Show a core member's state."""
        self.cluster = cluster


class _EdgePage(_ListPage):
    def initialize(self, edge: Edge, clock: Clock) -> None:
        """Show an edge's view."""
        self.edge = edge
        self.clock = clock


@final
class _CoreInstances(_CorePage):
    def get(self) -> None:
        """Send the instances that the cluster knows."""
        wanted = self.read_filter(_EDGE_PHASES)
        if wanted:
            edges = self.cluster.edges.record_by_key.values()
            self.finish(_show_edges(list_edges(edges, wanted)))


@final
class _EdgeInstances(_EdgePage):
    def get(self) -> None:
        """Send the instances that the edge knows."""
        wanted = self.read_filter(_EDGE_PHASES)
        if wanted:
            edges = self.edge.membership.edge_by_instance.values()
            self.finish(_show_edges(list_edges(edges, wanted)))


@final
class _CoreTargets(_CorePage):
    def get(self) -> None:
        """Send the targets that the cluster knows."""
        wanted = self.read_filter(_TARGET_PHASES)
        if wanted:
            table = self.cluster.registry.table
            listing = list_targets(table.record_by_key.values(), wanted)
            self.finish(
                {
                    'left_out': listing.left_out,
                    'targets': [
                        {
                            'target': record.target,
                            'service': record.service,
                            'domain': record.domain,
                            'address': record.address,
                            'slots': record.slots,
                            'phase': record.phase.value,
                        }
                        for record in listing.records
                    ],
                }
            )


@final
class _EdgeTargets(_EdgePage):
    def get(self) -> None:
        """Send the targets, and why the edge uses each of them or not."""
        wanted = self.read_filter(_TARGET_PHASES)
        if wanted:
            now = self.clock.now()
            view_by_target = {
                view.record.target: view for view in self.edge.views()
            }
            records = (view.record for view in view_by_target.values())
            listing = list_targets(records, wanted)
            self.finish(
                {
                    'left_out': listing.left_out,
                    'targets': [
                        _show_explanation(
                            explain_target(
                                self.edge, view_by_target[record.target], now
                            )
                        )
                        for record in listing.records
                    ],
                }
            )


@final
class _EdgeBudgets(_EdgePage):
    def get(self) -> None:
        """Send the retry budget of each service at this edge."""
        now = self.clock.now()
        self.finish(
            {
                'instances': len(self.edge.membership.edge_by_instance),
                'budgets': [
                    {
                        'service': service,
                        'share': round(pool.retry_budget.share, 3),
                        'usable': round(pool.retry_budget.usable(now), 3),
                    }
                    for service, pool in sorted(
                        self.edge.pool_by_service.items()
                    )
                ],
            }
        )


_EDGE_PHASES = frozenset(phase.value for phase in EdgePhase)
_TARGET_PHASES = frozenset(phase.value for phase in TargetPhase)


def _show_edges(listing: Listing[EdgeRecord]) -> dict[str, Any]:
    return {
        'left_out': listing.left_out,
        'instances': [
            dataclasses.asdict(record)
            | {'phase': record.phase.value, 'reach': record.reach.value}
            for record in listing.records
        ],
    }


def _show_explanation(explanation: TargetExplanation) -> dict[str, Any]:
    view = explanation.view
    return {
        'target': view.record.target,
        'service': view.record.service,
        'domain': view.record.domain,
        'obstacle': explanation.obstacle.value,
        'seconds_left': _shown(explanation.seconds_left),
        'report_age': _shown(explanation.report_age),
        'busy': view.outstanding(),
        'own_requests': view.in_flight,
        'slots': view.report.slots,
        'slowness': view.report.slowness,
        'failure_share': round(explanation.failure_share, 3),
    }


def _shown(seconds: float) -> float:
    return round(min(seconds, MAX_SHOWN_SECONDS), 3)
