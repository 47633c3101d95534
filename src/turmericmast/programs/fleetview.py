"""``turmericmast-fleet``: look into a process of a large fleet."""

import json
import sys
import urllib.parse
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, TypeAlias

from absl import app, flags
from returns.result import Success

from turmericmast.cluster.listing import DEFAULT_LIMIT
from turmericmast.programs.controlclient import request_document
from turmericmast.programs.textoutput import format_table

ADDRESS = flags.DEFINE_string(
    'address', '', 'Metrics address of an edge or core member, IP:PORT.'
)
DOMAIN = flags.DEFINE_string('domain', '', 'Only this failure domain.')
SERVICE = flags.DEFINE_string('service', '', 'Only targets of this service.')
PHASE = flags.DEFINE_string('phase', '', 'Only records in this phase.')
LIMIT = flags.DEFINE_integer('limit', DEFAULT_LIMIT, 'Most rows to show.')
AS_JSON = flags.DEFINE_bool('json', False, 'Write the answer as JSON.')

USAGE = """usage: turmericmast-fleet --address IP:PORT COMMAND

  instances   edges that the process knows: --domain, --phase serving|leaving
  targets     targets; at an edge, what keeps requests from each of them:
              --domain, --service, --phase ready|draining
  budgets     retry budget of each service at an edge

The address is that of the metrics: --metrics_port of the process.
"""

Rows: TypeAlias = Iterable[Mapping[str, Any]]


def format_rows(rows: Rows, left_out: int = 0) -> str:
    """Return a table whose headings are the keys of the first row."""
    shown = list(rows)
    headings = list(shown[0]) if shown else ['NOTHING FOUND']
    cells = ([str(row[name]) for name in headings] for row in shown)
    table = format_table([name.upper() for name in headings], cells)
    note = f'\n{left_out} more; narrow the list or raise --limit'
    return table + note * bool(left_out)


def _format_instances(document: Mapping[str, Any]) -> str:
    return format_rows(document['instances'], document['left_out'])


def _format_targets(document: Mapping[str, Any]) -> str:
    return format_rows(document['targets'], document['left_out'])


def _format_budgets(document: Mapping[str, Any]) -> str:
    return (
        f'shared by {document["instances"]} instances\n'
        f'{format_rows(document["budgets"])}'
    )


_FORMAT_BY_COMMAND: Mapping[str, Callable[[Mapping[str, Any]], str]] = (
    MappingProxyType(
        {
            'instances': _format_instances,
            'targets': _format_targets,
            'budgets': _format_budgets,
        }
    )
)


def _run(arguments: Sequence[str]) -> int:
    command = arguments[1] if len(arguments) == 2 else ''
    format_answer = _FORMAT_BY_COMMAND.get(command)
    if format_answer is None or not ADDRESS.value:
        sys.stderr.write(USAGE)
        return 2
    answer = request_document(
        ADDRESS.value,
        'GET',
        f'/fleet/{command}?{_query()}',
        hint='check --address; budgets are shown by edges only',
        step='ask process',
    )
    if not isinstance(answer, Success):
        error = answer.failure()
        sys.stderr.write(f'{error.show()}\n')
        return error.exit_status
    document = answer.unwrap()
    text = json.dumps(document, indent=1) if AS_JSON.value else None
    sys.stdout.write(f'{text or format_answer(document)}\n')
    return 0


def _query() -> str:
    return urllib.parse.urlencode(
        {
            'domain': DOMAIN.value,
            'service': SERVICE.value,
            'phase': PHASE.value,
            'limit': LIMIT.value,
        }
    )


def main() -> None:
    """Run ``turmericmast-fleet``."""
    app.run(_run)
