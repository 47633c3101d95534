"""``turmericmast-admin``: the command line for operators."""

import dataclasses
import json
import pathlib
import secrets
import sys
import time
import urllib.parse
from collections.abc import Callable, Sequence
from types import MappingProxyType
from typing import Any, final

from absl import app, flags
from returns.result import Failure, Result, Success

from turmericmast.exceptions import (
    SettingsError,
)
from turmericmast.ids import RegionId
from turmericmast.programs import textoutput
from turmericmast.programs.controlclient import PAUSE, Answer, Operator
from turmericmast.settings import Settings, load_settings
from turmericmast.version import VERSION

WAIT_SECONDS = 10.0

SETTINGS = flags.DEFINE_string('settings', '', 'Settings of any process.')
REGION = flags.DEFINE_string('region', '', 'Region to ask; else your own.')
AS_JSON = flags.DEFINE_bool('json', False, 'Write JSON for a script.')
REASON = flags.DEFINE_string('reason', '', 'Why something is taken out.')
CHANGE = flags.DEFINE_string('change', '', 'Id of a change, to send it again.')
TENANT = flags.DEFINE_string('tenant', '', 'Tenant to explain values for.')
ROUTE = flags.DEFINE_string('route', '', 'Path to explain values for.')
BASE = flags.DEFINE_integer(
    'base',
    None,
    'Version that a proposed document was made from; else the present one.',
)
WAIT = flags.DEFINE_float(
    'wait', WAIT_SECONDS, 'Seconds to wait for an answer.'
)
VERSION_FLAG = flags.DEFINE_bool('version', False, 'Show the version and exit.')

USAGE = """usage: turmericmast-admin --settings FILE COMMAND

  get                         show the fleet document
  propose FILE [--base=N]     change it to the document in FILE, made from N
  explain SERVICE|TARGET      show what decides each value, and why
  take-out domain|target NAME --reason TEXT
  return domain|target NAME
  lift FINGERPRINT            end the quarantine of a request
  status                      show entries, targets and outages
"""


def _get(operator: Operator, arguments: Sequence[str]) -> Answer:
    answer = _ordering(operator).ask('GET', '/v1/fleet')
    if isinstance(answer, Success):
        version = answer.unwrap()['version']
        sys.stderr.write(
            f'version {version}; change it, then: '
            f'propose FILE --base={version}\n',
        )
    return answer


def _propose(operator: Operator, arguments: Sequence[str]) -> Answer:
    path = pathlib.Path(arguments[0])
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return Failure(
            SettingsError(
                f'{path.name} cannot be read: {error.strerror}',
                step='propose',
                hint='name a readable file',
            ),
        )
    ordering = _ordering(operator)
    change = _change_id()
    return (
        ordering.ask('GET', '/v1/fleet')
        .bind(
            lambda current: ordering.ask(
                'POST',
                '/v1/fleet',
                {
                    'change': change,
                    'base_version': (
                        current['current'] if BASE.value is None else BASE.value
                    ),
                    'base_digest': current['digest'],
                    'document': text,
                },
            ),
        )
        .bind(lambda made: _await_accepted(ordering, made))
    )


def _await_accepted(operator: Operator, made: dict[str, Any]) -> Answer:
    deadline = time.monotonic() + WAIT.value
    shown = made
    while shown['state'] != 'accepted' and time.monotonic() < deadline:
        time.sleep(PAUSE)
        path = f'/v1/fleet?version={made["version"]}'
        shown = operator.ask('GET', path).value_or(shown)
    shown.pop('document', None)
    return Success(shown)


def _explain(operator: Operator, arguments: Sequence[str]) -> Answer:
    query = urllib.parse.urlencode(
        {
            'name': arguments[0],
            'tenant': TENANT.value,
            'route': ROUTE.value,
        },
    )
    return operator.ask('GET', f'/v1/explain?{query}')


def _take_out(operator: Operator, arguments: Sequence[str]) -> Answer:
    if not REASON.value:
        return Failure(
            SettingsError(
                'no reason given',
                step='take out',
                hint='add --reason TEXT, so that others know why',
            ),
        )
    return _set_outage(operator, arguments, is_out=True)


def _return(operator: Operator, arguments: Sequence[str]) -> Answer:
    return _set_outage(operator, arguments, is_out=False)


def _set_outage(
    operator: Operator,
    arguments: Sequence[str],
    *,
    is_out: bool,
) -> Answer:
    kind, name = arguments
    return operator.ask(
        'POST',
        '/v1/outage',
        {
            'change': _change_id(),
            'kind': kind,
            'name': name,
            'out': is_out,
            'reason': REASON.value,
        },
    )


def _lift(operator: Operator, arguments: Sequence[str]) -> Answer:
    return operator.ask(
        'POST',
        '/v1/lift',
        {'change': _change_id(), 'fingerprint': arguments[0]},
    )


def _status(operator: Operator, arguments: Sequence[str]) -> Answer:
    return operator.ask('GET', '/v1/status')


def _change_id() -> str:
    return CHANGE.value or secrets.token_hex(8)


def _ordering(operator: Operator) -> Operator:
    return dataclasses.replace(
        operator,
        region=operator.settings.ordering_region,
    )


@final
@dataclasses.dataclass(frozen=True)
class _Command:
    run: Callable[[Operator, Sequence[str]], Answer]
    arguments: int
    show: Callable[[dict[str, Any]], str]


_COMMAND_BY_NAME = MappingProxyType(
    {
        'get': _Command(_get, 0, textoutput.show_fleet),
        'propose': _Command(_propose, 1, textoutput.show_version),
        'explain': _Command(_explain, 1, textoutput.show_reasons),
        'take-out': _Command(_take_out, 2, textoutput.show_done),
        'return': _Command(_return, 2, textoutput.show_done),
        'lift': _Command(_lift, 1, textoutput.show_done),
        'status': _Command(_status, 0, textoutput.show_status),
    }
)


def _run(arguments: Sequence[str]) -> int:
    if VERSION_FLAG.value:
        sys.stdout.write(f'turmericmast {VERSION}\n')
        return 0
    name, *rest = arguments[1:] or ['']
    command = _COMMAND_BY_NAME.get(name)
    if command is None or len(rest) != command.arguments:
        sys.stderr.write(USAGE)
        return 2
    answer = _carry_out(command, rest)
    if not isinstance(answer, Success):
        error = answer.failure()
        sys.stderr.write(f'{error.show()}\n')
        return error.exit_status
    document = answer.unwrap()
    shown = json.dumps(document, indent=1) if AS_JSON.value else None
    sys.stdout.write(f'{shown or command.show(document)}\n')
    return 0


def _carry_out(command: _Command, arguments: Sequence[str]) -> Answer:
    loaded = load_settings(pathlib.Path(SETTINGS.value))
    operator = loaded.bind(_operator)
    if isinstance(operator, Success):
        return command.run(operator.unwrap(), arguments)
    return Failure(operator.failure())


def _operator(settings: Settings) -> Result[Operator, SettingsError]:
    region = RegionId(REGION.value or settings.region)
    if region in settings.region_by_id:
        return Success(Operator(settings, region, WAIT.value))
    known = ', '.join(settings.region_by_id)
    return Failure(
        SettingsError(
            f'unknown region {region}',
            step='read flags',
            hint=f'use --region with one of {known}',
        ),
    )


def main() -> None:
    """Run the program."""
    app.run(_run)
