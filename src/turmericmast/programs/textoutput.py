"""Answers to operators as text that a person can read."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any


def show_fleet(document: Mapping[str, Any]) -> str:
    """Return the fleet document alone, so that it can go to a file."""
    return json.dumps(document['document'], indent=2, ensure_ascii=False)


def show_version(document: Mapping[str, Any]) -> str:
    """Return one line about a version, with what it waits for."""
    line = f'version {document["version"]}: {document["state"]}'
    if document['waiting_for']:
        regions = ', '.join(document['waiting_for'])
        return f'{line}, waiting for {regions}'
    return line


def show_reasons(document: Mapping[str, Any]) -> str:
    """Return a table of values with their origins and reasons."""
    head = f'service {document["service"]}'
    target = document['target']
    if target:
        head = f'target {target["target"]} owned by {target["owner"]}, {head}'
    rows = (
        (one['name'], one['value'], one['origin'], one['reason'])
        for one in document['values']
    )
    return f'{head}\n{_table(("VALUE", "IS", "DECIDED BY", "REASON"), rows)}'


def show_done(document: Mapping[str, Any]) -> str:
    """Return one line about a change."""
    if document['in_force']:
        return 'done, and in force at every entry'
    return (
        'done, but not every entry has confirmed it; '
        'its lease ends within seconds, look at: turmericmast-admin status'
    )


def show_status(document: Mapping[str, Any]) -> str:
    """Return tables of a region."""
    members = ', '.join(map(_show_member, document['members']))
    entries = (
        (one['instance'], one['domain'], one['http'], one['phase'])
        + (str(one['targets']),)
        for one in document['entries']
    )
    targets = (
        (
            one['target'],
            one['service'],
            one['domain'],
            one['address'],
            one['owner'] or '-',
            'out' if one['out'] else 'in',
        )
        for one in document['targets']
    )
    outages = (
        (one['kind'], one['name'], one['reason']) for one in document['outages']
    )
    quarantined = (
        (one['fingerprint'], str(one['crashes']))
        for one in document['quarantined']
    )
    return '\n\n'.join(
        (
            f'region {document["region"]}, led by {document["leader"]}; '
            f'members {members}\nfleet {show_version(document["fleet"])}',
            _table(('ENTRY', 'DOMAIN', 'HTTP', 'PHASE', 'TARGETS'), entries),
            _table(
                ('TARGET', 'SERVICE', 'DOMAIN', 'ADDRESS', 'OWNER', 'STATE'),
                targets,
            ),
            _table(('TAKEN OUT', 'NAME', 'REASON'), outages),
            _table(('QUARANTINED', 'CRASHES'), quarantined),
        ),
    )


def _show_member(member: Mapping[str, Any]) -> str:
    notes = [
        note
        for note, applies in (
            ('witness', member['witness']),
            (f'{member["behind"]} changes behind', member['behind']),
        )
        if applies
    ]
    return (
        f'{member["member"]} ({", ".join(notes)})'
        if notes
        else member['member']
    )


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [tuple(head), *sorted(map(tuple, rows))]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(head))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
