"""Command for trials with targets that stutter.

``bin/stutter --seeds 1-3`` runs one seed after the other and prints counts and
faults of each. ``--shares cut_head=1,first_cut=0`` changes how often targets
do what (``bench.stutter.Shares``).
"""

import dataclasses
import json
import pathlib
import sys
from collections.abc import Sequence

from absl import app, flags

from bench.machines import ROOT
from bench.stutter import Shares
from bench.stuttertrial import TrialReport, TrialSize, run_trial

SEEDS = flags.DEFINE_string('seeds', '1-1', 'Seeds to run: FIRST-LAST.')
SECONDS = flags.DEFINE_float('seconds', 30.0, 'Time in which callers call.')
INSTANCES = flags.DEFINE_integer('instances', 3, 'Edges, three at least.')
TARGETS = flags.DEFINE_integer('targets', 12, 'Targets.')
CALLERS = flags.DEFINE_integer('callers', 24, 'Callers, a request each.')
PAUSE = flags.DEFINE_float('pause', 0.05, 'Mean pause of a caller in seconds.')
ATTEMPTS = flags.DEFINE_integer('attempts', 3, 'Attempts of a request.')
SHARES = flags.DEFINE_list('shares', [], 'What targets do: NAME=SHARE.')
CASES = flags.DEFINE_integer('cases', 3, 'Cases of each fault to print.')
REPORT = flags.DEFINE_string('report', '', 'File to add lines of JSON to.')
SOURCES = flags.DEFINE_string('sources', str(ROOT), 'Sources to run.')


def _main(_arguments: Sequence[str]) -> int:
    first, _, last = SEEDS.value.partition('-')
    size = TrialSize(
        SECONDS.value,
        INSTANCES.value,
        TARGETS.value,
        CALLERS.value,
        PAUSE.value,
        ATTEMPTS.value,
    )
    changes = dict(change.split('=') for change in SHARES.value)
    shares = dataclasses.replace(
        Shares(), **{name: float(share) for name, share in changes.items()}
    )
    has_faults = False
    for seed in range(int(first), int(last or first) + 1):
        report = run_trial(seed, size, shares, pathlib.Path(SOURCES.value))
        _show(seed, changes, report)
        has_faults |= bool(report.faults())
    return int(has_faults)


def _show(seed: int, changes: dict[str, str], report: TrialReport) -> None:
    line = {
        'seed': seed,
        'shares': changes,
        **report.counts(),
        'faults': report.faults(),
    }
    sys.stdout.write(f'{json.dumps(line)}\n')
    for fault, cases in report.cases.items():
        for case in cases[: CASES.value]:
            sys.stdout.write(f'  {fault.value}: {case}\n')
    if REPORT.value:
        with pathlib.Path(REPORT.value).open('a', encoding='utf-8') as output:
            output.write(f'{json.dumps(line)}\n')


if __name__ == '__main__':
    app.run(_main)
