"""Runs all tests except known failures, and prints these.

``KNOWN-RED.txt`` has one known failure per line: test id, command, seed, what
was seen and the open issue, separated by ``|``.
"""

import itertools
import pathlib
import sys
import unittest
from collections.abc import Iterator

import hypothesis
from hypothesis import strategies as st
from tornado.netutil import Resolver

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURES_PATH = ROOT / 'KNOWN-RED.txt'


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _cases(test)
        else:
            yield test


def _read_known_failures() -> list[str]:
    if not KNOWN_FAILURES_PATH.exists():
        return []
    lines = KNOWN_FAILURES_PATH.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def _prepare_hypothesis() -> None:
    """Generate one example before the tests run.

    The first example reads the constants of all loaded modules, which takes
    seconds while nothing is cached. Within a test, hypothesis would count this
    as slow data generation and fail the first test that draws on a busy
    machine.
    """
    hypothesis.find(
        st.integers(),
        lambda _drawn: True,
        settings=hypothesis.settings(
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def _prepare_resolver() -> None:
    """Resolve the addresses of the tests in their loops.

    By default, Tornado's client starts a thread even for a literal address. On
    a busy machine that takes longer than a test waits for a response.
    """
    Resolver.configure('tornado.netutil.BlockingResolver')


def _run(names: list[str]) -> int:
    loader = unittest.TestLoader()
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    )
    _prepare_hypothesis()
    _prepare_resolver()
    known_failures = _read_known_failures()
    known_failure_ids = {
        line.partition('|')[0].strip() for line in known_failures
    }
    cases, skipped_cases = itertools.tee(_cases(suite))
    selected = unittest.TestSuite(
        case for case in cases if case.id() not in known_failure_ids
    )
    skipped_ids = [
        case.id() for case in skipped_cases if case.id() in known_failure_ids
    ]
    outcome = unittest.TextTestRunner(verbosity=1).run(selected)
    for line in known_failures:
        sys.stdout.write(f'known red, passed over: {line}\n')
    failed = len(outcome.failures) + len(outcome.errors)
    failed += len(outcome.unexpectedSuccesses)
    skipped = len(outcome.skipped) + len(skipped_ids)
    passed = outcome.testsRun - failed - len(outcome.skipped)
    sys.stdout.write(f'{passed} passed, {failed} failed, {skipped} skipped\n')
    return int(failed > 0 or not passed)


if __name__ == '__main__':
    sys.exit(_run(sys.argv[1:]))
