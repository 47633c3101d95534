"""Formats JSON documents of the operators' API as text for a terminal."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any


def format_fleet(document: Mapping[str, Any]) -> str:
    """Return only the fleet document, so that it can be saved to a file."""
    return json.dumps(document['document'], indent=2, ensure_ascii=False)


def format_version(document: Mapping[str, Any]) -> str:
    """Return one line: a version, its state and the regions it waits for."""
    line = f'version {document["version"]}: {document["state"]}'
    if document['waiting_for']:
        regions = ', '.join(document['waiting_for'])
        return f'{line}, waiting for {regions}'
    return line


def format_explanation(document: Mapping[str, Any]) -> str:
    """Return a table of fleet values with their origins and reasons."""
    heading = f'service {document["service"]}'
    target = document['target']
    if target:
        heading = (
            f'target {target["target"]} owned by {target["owner"]}, {heading}'
        )
    rows = (
        (
            explanation['name'],
            explanation['value'],
            explanation['origin'],
            explanation['reason'],
        )
        for explanation in document['values']
    )
    return (
        f'{heading}\n'
        f'{format_table(("VALUE", "IS", "DECIDED BY", "REASON"), rows)}'
    )


def format_change(document: Mapping[str, Any]) -> str:
    """Return one line: whether a change is in force at every entry."""
    if document['in_force']:
        return 'done, and in force at every entry'
    return (
        'done, but not every entry has confirmed it; '
        'its lease ends within seconds, look at: turmericmast-admin status'
    )


def format_status(document: Mapping[str, Any]) -> str:
    """Return tables of entries, targets, outages and quarantined requests."""
    members = ', '.join(map(_format_member, document['members']))
    entries = (
        (entry['instance'], entry['domain'], entry['http'], entry['phase'])
        + (str(entry['targets']),)
        for entry in document['entries']
    )
    targets = (
        (
            target['target'],
            target['service'],
            target['domain'],
            target['address'],
            target['owner'] or '-',
            'out' if target['out'] else 'in',
        )
        for target in document['targets']
    )
    outages = (
        (outage['kind'], outage['name'], outage['reason'])
        for outage in document['outages']
    )
    quarantined = (
        (suspicion['fingerprint'], str(suspicion['crashes']))
        for suspicion in document['quarantined']
    )
    return '\n\n'.join(
        (
            f'region {document["region"]}, led by {document["leader"]}; '
            f'members {members}\nfleet {format_version(document["fleet"])}',
            format_table(
                ('ENTRY', 'DOMAIN', 'HTTP', 'PHASE', 'TARGETS'), entries
            ),
            format_table(
                ('TARGET', 'SERVICE', 'DOMAIN', 'ADDRESS', 'OWNER', 'STATE'),
                targets,
            ),
            format_table(('TAKEN OUT', 'NAME', 'REASON'), outages),
            format_table(('QUARANTINED', 'CRASHES'), quarantined),
        ),
    )


def _format_member(member: Mapping[str, Any]) -> str:
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


def format_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return aligned columns under headings, with the rows in order."""
    lines = [tuple(headings), *sorted(map(tuple, rows))]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(headings))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
