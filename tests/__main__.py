"""Run all tests but the known faults, and print those.

``KNOWN-RED.txt`` has one entry a line: test id, command, seed, what was seen
and the open issue, parted by ``|``.
"""

import itertools
import pathlib
import sys
import unittest
from collections.abc import Iterator

import hypothesis
from hypothesis import strategies as st

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for one in suite:
        if isinstance(one, unittest.TestSuite):
            yield from _cases(one)
        else:
            yield one


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def _prepare_hypothesis() -> None:
    """Draw once without a test around it.

    The first draw reads the constants of all modules that are loaded, which
    takes seconds where nothing is cached yet. Within a test this counts as
    slow input, and fails whichever test draws first on a busy machine.
    """
    hypothesis.find(
        st.integers(),
        lambda _drawn: True,
        settings=hypothesis.settings(
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def _run(names: list[str]) -> int:
    loader = unittest.TestLoader()
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    )
    _prepare_hypothesis()
    red = _known_red()
    red_ids = {line.partition('|')[0].strip() for line in red}
    chosen, passed_over = itertools.tee(_cases(suite))
    kept = unittest.TestSuite(
        case for case in chosen if case.id() not in red_ids
    )
    found = [case.id() for case in passed_over if case.id() in red_ids]
    outcome = unittest.TextTestRunner(verbosity=1).run(kept)
    for line in red:
        sys.stdout.write(f'known red, passed over: {line}\n')
    failed = len(outcome.failures) + len(outcome.errors)
    failed += len(outcome.unexpectedSuccesses)
    skipped = len(outcome.skipped) + len(found)
    passed = outcome.testsRun - failed - len(outcome.skipped)
    sys.stdout.write(f'{passed} passed, {failed} failed, {skipped} skipped\n')
    return int(failed > 0 or not passed)


if __name__ == '__main__':
    sys.exit(_run(sys.argv[1:]))
