"""``turmericmast-why``: the story of one request over all processes."""

import pathlib
import sys
from collections.abc import Iterator, Sequence

from absl import app

from turmericmast.programs.timeline import Event, read_events, render_text
from turmericmast.units import MILLIS_PER_SECOND

CONTEXT_WINDOW_MS = 3000
"""Milliseconds before a request's first line whose beliefs are shown."""
CONTEXT_EVENTS = frozenset(
    (
        'target_trust',
        'core_contact',
        'routes',
        'routes_bad',
        'leaving',
        'started',
        'lines_left_out',
    ),
)
"""Events by which a process tells what it believes or has lost."""
MIN_ARGUMENTS = 3


def explain_request(events: Sequence[Event], request: str) -> list[Event]:
    """Return the lines of a request, with what its processes believed.

    Beliefs are those of the same processes, shortly before and meanwhile,
    about the targets that the request's lines name.
    """
    request_events = [
        event for event in events if event.get('request') == request
    ]
    if not request_events:
        return []
    processes = {event['process'] for event in request_events}
    context = _context_events(events, request_events)
    return [
        event
        for event in events
        if event.get('request') == request
        or (event['process'] in processes and event in context)
    ]


def _context_events(
    events: Sequence[Event], request_events: Sequence[Event]
) -> list[Event]:
    """Return what was believed of a request's targets, around its time."""
    targets = {*_targets_named(request_events), ''}
    earliest = _time_ms(request_events[0]) - CONTEXT_WINDOW_MS
    return [
        event
        for event in events
        if event['event'] in CONTEXT_EVENTS
        and earliest <= _time_ms(event) <= _time_ms(request_events[-1])
        and event.get('target', '') in targets
    ]


def _time_ms(event: Event) -> int:
    """Return milliseconds since the epoch."""
    return int(event['clock'][0])


def describe_time_range(events: Sequence[Event]) -> str:
    """Return which time the lines cover, in milliseconds since the epoch."""
    if not events:
        return 'the files hold no events'
    first = _time_ms(events[0])
    last = _time_ms(events[-1])
    seconds = (last - first) / MILLIS_PER_SECOND
    return f'the files cover {first} to {last} ({seconds:g} s)'


def _targets_named(request_events: Sequence[Event]) -> Iterator[str]:
    for event in request_events:
        yield event.get('target') or ''
        yield from event.get('tried', '').split(',')


def _main(arguments: Sequence[str]) -> int:
    if len(arguments) < MIN_ARGUMENTS:
        sys.stderr.write('usage: turmericmast-why REQUEST-ID FILE…\n')
        return 2
    _, request, *file_names = arguments
    events, skipped = read_events(map(pathlib.Path, file_names))
    explanation = explain_request(events, request)
    sys.stdout.write(render_text(explanation))
    if skipped:
        sys.stderr.write(f'{skipped} lines that are no events were skipped\n')
    if not explanation:
        sys.stderr.write(
            f'request {request} is not known; {describe_time_range(events)}\n'
        )
    return 0 if explanation else 1


def main() -> None:
    """Run the program."""
    app.run(_main)
