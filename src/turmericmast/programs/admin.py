"""``turmericmast-admin``: the command line for operators of regions."""

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
from turmericmast.programs.controlclient import (
    POLL_INTERVAL,
    ControlClient,
    OperationResult,
)
from turmericmast.settings import Settings, load_settings
from turmericmast.version import VERSION

WAIT_SECONDS = 10.0
"""Default of the flag ``--wait``, in seconds."""

SETTINGS = flags.DEFINE_string('settings', '', 'Settings file of any process.')
REGION = flags.DEFINE_string(
    'region', '', 'Region to use; by default that of the settings.'
)
AS_JSON = flags.DEFINE_bool(
    'json', False, 'Write the answer as JSON, for scripts.'
)
REASON = flags.DEFINE_string(
    'reason', '', 'Reason for taking something out of service.'
)
CHANGE = flags.DEFINE_string(
    'change', '', 'Id of an earlier change, to send it again.'
)
TENANT = flags.DEFINE_string(
    'tenant', '', 'Tenant for which values are explained.'
)
ROUTE = flags.DEFINE_string('route', '', 'Path for which values are explained.')
BASE = flags.DEFINE_integer(
    'base',
    None,
    'Version that a proposed document was made from; by default the current.',
)
WAIT = flags.DEFINE_float(
    'wait',
    WAIT_SECONDS,
    'Seconds to wait for an answer, and for a proposal to be accepted.',
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


def _get(client: ControlClient, arguments: Sequence[str]) -> OperationResult:
    answer = _at_ordering_region(client).request('GET', '/v1/fleet')
    if isinstance(answer, Success):
        version = answer.unwrap()['version']
        sys.stderr.write(
            f'version {version}; change it, then: '
            f'propose FILE --base={version}\n',
        )
    return answer


def _propose(
    client: ControlClient, arguments: Sequence[str]
) -> OperationResult:
    path = pathlib.Path(arguments[0])
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return Failure(
            SettingsError(
                f'file {path.name} cannot be read: {error.strerror}',
                step='propose',
                hint='check the path and its permissions',
            ),
        )
    ordering_client = _at_ordering_region(client)
    change = _change_id()
    return (
        ordering_client.request('GET', '/v1/fleet')
        .bind(
            lambda current: ordering_client.request(
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
        .bind(lambda proposal: _wait_until_accepted(ordering_client, proposal))
    )


def _wait_until_accepted(
    client: ControlClient, proposal: dict[str, Any]
) -> OperationResult:
    deadline = time.monotonic() + WAIT.value
    rollout = proposal
    while rollout['state'] != 'accepted' and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL)
        path = f'/v1/fleet?version={proposal["version"]}'
        rollout = client.request('GET', path).value_or(rollout)
    rollout.pop('document', None)
    return Success(rollout)


def _explain(
    client: ControlClient, arguments: Sequence[str]
) -> OperationResult:
    query = urllib.parse.urlencode(
        {
            'name': arguments[0],
            'tenant': TENANT.value,
            'route': ROUTE.value,
        },
    )
    return client.request('GET', f'/v1/explain?{query}')


def _take_out(
    client: ControlClient, arguments: Sequence[str]
) -> OperationResult:
    if not REASON.value:
        return Failure(
            SettingsError(
                'no reason given',
                step='take out',
                hint='add --reason TEXT, so that others know why',
            ),
        )
    return _set_outage(client, arguments, is_out=True)


def _return(client: ControlClient, arguments: Sequence[str]) -> OperationResult:
    return _set_outage(client, arguments, is_out=False)


def _set_outage(
    client: ControlClient,
    arguments: Sequence[str],
    *,
    is_out: bool,
) -> OperationResult:
    kind, name = arguments
    return client.request(
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


def _lift(client: ControlClient, arguments: Sequence[str]) -> OperationResult:
    return client.request(
        'POST',
        '/v1/lift',
        {'change': _change_id(), 'fingerprint': arguments[0]},
    )


def _status(client: ControlClient, arguments: Sequence[str]) -> OperationResult:
    return client.request('GET', '/v1/status')


def _change_id() -> str:
    return CHANGE.value or secrets.token_hex(8)


def _at_ordering_region(client: ControlClient) -> ControlClient:
    return dataclasses.replace(
        client,
        region=client.settings.ordering_region,
    )


@final
@dataclasses.dataclass(frozen=True)
class _Command:
    """A command of the program, and how its result is shown."""

    run: Callable[[ControlClient, Sequence[str]], OperationResult]
    argument_count: int
    format_result: Callable[[dict[str, Any]], str]


_COMMAND_BY_NAME = MappingProxyType(
    {
        'get': _Command(_get, 0, textoutput.format_fleet),
        'propose': _Command(_propose, 1, textoutput.format_version),
        'explain': _Command(_explain, 1, textoutput.format_explanation),
        'take-out': _Command(_take_out, 2, textoutput.format_change),
        'return': _Command(_return, 2, textoutput.format_change),
        'lift': _Command(_lift, 1, textoutput.format_change),
        'status': _Command(_status, 0, textoutput.format_status),
    }
)


def _run(arguments: Sequence[str]) -> int:
    if VERSION_FLAG.value:
        sys.stdout.write(f'turmericmast {VERSION}\n')
        return 0
    name, *rest = arguments[1:] or ['']
    command = _COMMAND_BY_NAME.get(name)
    if command is None or len(rest) != command.argument_count:
        sys.stderr.write(USAGE)
        return 2
    answer = _execute(command, rest)
    if not isinstance(answer, Success):
        error = answer.failure()
        sys.stderr.write(f'{error.show()}\n')
        return error.exit_status
    document = answer.unwrap()
    text = json.dumps(document, indent=1) if AS_JSON.value else None
    sys.stdout.write(f'{text or command.format_result(document)}\n')
    return 0


def _execute(command: _Command, arguments: Sequence[str]) -> OperationResult:
    loaded = load_settings(pathlib.Path(SETTINGS.value))
    client = loaded.bind(_make_client)
    if isinstance(client, Success):
        return command.run(client.unwrap(), arguments)
    return Failure(client.failure())


def _make_client(settings: Settings) -> Result[ControlClient, SettingsError]:
    region = RegionId(REGION.value or settings.region)
    if region in settings.region_by_id:
        return Success(ControlClient(settings, region, WAIT.value))
    known_regions = ', '.join(settings.region_by_id)
    return Failure(
        SettingsError(
            f'unknown region {region}',
            step='read flags',
            hint=f'set --region to one of {known_regions}',
        ),
    )


def main() -> None:
    """Run the command that the arguments name, and exit with its status."""
    app.run(_run)
