"""``turmericmast-why``: all events that explain the outcome of a request."""

import pathlib
import sys
from collections.abc import Iterator, Sequence

from absl import app

from turmericmast.programs.timeline import Event, read_events, render_text
from turmericmast.units import MILLIS_PER_SECOND

CONTEXT_WINDOW_MS = 3000
"""Milliseconds before a request's first event from which context is shown."""
CONTEXT_EVENTS = frozenset(
    (
        'target_leaving',
        'target_paused',
        'target_trust',
        'core_contact',
        'key_trust',
        'routes',
        'routes_bad',
        'rollout',
        'leaving',
        'started',
        'lines_left_out',
    ),
)
"""Events that show what a process knew, or that it dropped events."""
MIN_ARGUMENTS = 3
"""Fewest arguments: program name, request id and one file."""


def explain_request(events: Sequence[Event], request: str) -> list[Event]:
    """Return the events of a request, with context, in their order.

    The context consists of events of the same processes, shortly before and
    during the request, about targets that the request's events name or about
    no target.
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
    """Return the context events of a request's targets, around its time."""
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
    """Return the time of an event, in milliseconds since the epoch."""
    return int(event['clock'][0])


def describe_time_range(events: Sequence[Event]) -> str:
    """Describe the time that events cover, in milliseconds since the epoch."""
    if not events:
        return 'the files contain no events'
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
        sys.stderr.write(f'skipped {skipped} lines that are not events\n')
    if not explanation:
        sys.stderr.write(
            f'no events of request {request}; {describe_time_range(events)}\n'
        )
    return 0 if explanation else 1


def main() -> None:
    """Run ``turmericmast-why``."""
    app.run(_main)
