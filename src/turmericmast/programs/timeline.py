"""``turmericmast-timeline``: the events of all processes in causal order."""

import html
import json
import pathlib
import sys
from collections.abc import Iterable, Sequence
from typing import Any, TypeAlias

from absl import app, flags

from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.version import VERSION

HTML = flags.DEFINE_string('html', '', 'Write one HTML page to this file.')
SINCE = flags.DEFINE_integer(
    'since',
    0,
    'Leave out events before this time, in milliseconds since the epoch.',
)
VERSION_FLAG = flags.DEFINE_bool('version', False, 'Show the version and exit.')


Event: TypeAlias = dict[str, Any]


def read_events(paths: Iterable[pathlib.Path]) -> tuple[list[Event], int]:
    """Return the events of all files in order, and how many lines are invalid.

    The order is that of the hybrid clock: an event that was caused by another
    one, through messages between processes, always comes after it.
    """
    lines = [
        line
        for path in paths
        for line in path.read_text(encoding='utf-8').splitlines()
    ]
    parsed = [event for line in lines if (event := _parse(line))]
    parsed.sort(key=lambda event: (event['clock'], event['process']))
    return parsed, len(lines) - len(parsed)


def render_text(events: Sequence[Event]) -> str:
    """Return one line for each event, with the seconds since the first one."""
    start = events[0]['clock'][0] if events else 0
    return ''.join(
        f'{(event["clock"][0] - start) / MILLIS_PER_SECOND:9.3f}  '
        f'{event["process"]:<14} {event["event"]:<16} {_fields(event)}\n'
        for event in events
    )


def render_html(events: Sequence[Event]) -> str:
    """Return an HTML page with a row per event and a column per process."""
    processes = sorted({event['process'] for event in events})
    start = events[0]['clock'][0] if events else 0
    head = ''.join(f'<th>{html.escape(process)}</th>' for process in processes)
    rows = ''.join(_row(event, processes, start) for event in events)
    return (
        '<!doctype html><meta charset="utf-8"><title>Time line</title>'
        '<style>body{font:13px sans-serif}table{border-collapse:collapse}'
        'th{position:sticky;top:0;background:#fff}td,th{padding:2px 8px;'
        'border-left:1px solid #ccc;text-align:left;vertical-align:top}'
        'b{color:#753}small{color:#666}</style>'
        f'<table><thead><tr><th>s</th>{head}</tr></thead>'
        f'<tbody>{rows}</tbody></table>\n'
    )


def _row(event: Event, processes: Sequence[str], start: int) -> str:
    seconds = (event['clock'][0] - start) / MILLIS_PER_SECOND
    cells = ''.join(
        f'<td><b>{html.escape(event["event"])}</b> '
        f'<small>{html.escape(_fields(event))}</small></td>'
        if process == event['process']
        else '<td></td>'
        for process in processes
    )
    return f'<tr><td>{seconds:.3f}</td>{cells}</tr>'


def _parse(line: str) -> Event | None:
    try:
        event = json.loads(line)
    except ValueError:
        # A killed process may leave an incomplete last line.
        return None
    is_event = isinstance(event, dict) and {
        'clock',
        'process',
        'event',
    } <= set(event)
    return event if is_event else None


def _fields(event: Event) -> str:
    return ' '.join(
        f'{name}={text}'
        for name, text in event.items()
        if name not in {'clock', 'process', 'event'}
    )


def _run(arguments: Sequence[str]) -> int:
    if VERSION_FLAG.value:
        sys.stdout.write(f'turmericmast {VERSION}\n')
        return 0
    paths = [pathlib.Path(argument) for argument in arguments[1:]]
    missing = [path.name for path in paths if not path.is_file()]
    if missing or not paths:
        missing_names = ', '.join(missing) or 'none given'
        sys.stderr.write(
            f'read events: no such event files: {missing_names}; '
            'name the files that "events" points to in the settings\n',
        )
        return 2
    events, skipped = read_events(paths)
    events = [event for event in events if event['clock'][0] >= SINCE.value]
    if HTML.value:
        pathlib.Path(HTML.value).write_text(render_html(events), 'utf-8')
    else:
        sys.stdout.write(render_text(events))
    if skipped:
        sys.stderr.write(f'skipped {skipped} lines that are not events\n')
    return 0


def main() -> None:
    """Run ``turmericmast-timeline``."""
    app.run(_run)
