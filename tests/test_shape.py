"""The layers of the code base: which packages may import which."""

import ast
import pathlib
import subprocess
import sys
import unittest
from collections.abc import Iterator

from parameterized import parameterized

SOURCE = pathlib.Path(__file__).parent.parent / 'src' / 'turmericmast'
DECISIONS = (
    'account',
    'allowance',
    'balance',
    'call',
    'cluster',
    'edge',
    'entry',
    'fleet',
    'ledger',
    'limits',
    'region',
    'replica',
    'rollout',
    'route',
    'service',
    'session',
    'target',
)
SOCKETS_AND_ENCODINGS = frozenset(
    ('tornado', 'thrift', 'pycurl', 'asyncio', 'socket', 'threading'),
)
REGIONAL = frozenset(
    ('entry', 'fleet', 'ledger', 'region', 'service', 'session', 'target'),
)
"""Packages that only regions with a control group and a ledger need."""
SHOW_MODULES = 'import sys; print(*sys.modules, sep=chr(10))'


def _imports(path: pathlib.Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


def _file_of(module: str) -> pathlib.Path | None:
    parts = module.split('.')[1:]
    package = SOURCE.joinpath(*parts)
    if package.is_dir():
        return package / '__init__.py'
    plain = package.with_suffix('.py')
    return plain if plain.is_file() else None


def _reachable(path: pathlib.Path) -> set[str]:
    """Return the top-level packages that a file imports, also indirectly."""
    packages: set[str] = set()
    seen: set[pathlib.Path] = set()
    waiting = [path]
    while waiting:
        current = waiting.pop()
        if current in seen:
            continue
        seen.add(current)
        for module in _imports(current):
            packages.add(module.partition('.')[0])
            own = module.startswith('turmericmast')
            reached = _file_of(module) if own else None
            if reached:
                waiting.append(reached)
    return packages


class ImportGraphTest(unittest.TestCase):
    """Decisions depend neither on sockets nor on encodings nor on threads."""

    @parameterized.expand([(name,) for name in DECISIONS])
    def test_decisions_import_no_input_or_output(self, package: str) -> None:
        for path in (SOURCE / package).glob('*.py'):
            with self.subTest(path.name):
                self.assertFalse(_reachable(path) & SOCKETS_AND_ENCODINGS)

    def test_one_loop_on_one_thread(self) -> None:
        for path in SOURCE.rglob('*.py'):
            if 'generated' in path.parts:
                continue
            with self.subTest(path.name):
                heads = {name.partition('.')[0] for name in _imports(path)}
                self.assertFalse(
                    heads & {'threading', 'multiprocessing', 'concurrent'},
                )

    @parameterized.expand([('edge',), ('core',)])
    def test_program_loads_only_what_it_runs(self, program: str) -> None:
        # After a power loss, every process of a host starts again. Loading
        # modules that it does not run would make that slower.
        shown = subprocess.run(
            [
                sys.executable,
                '-c',
                f'import turmericmast.programs.{program}; {SHOW_MODULES}',
            ],
            capture_output=True,
            check=True,
            text=True,
        )
        packages = {
            parts[1]
            for module in shown.stdout.split()
            if (parts := module.split('.'))[0] == 'turmericmast' and parts[1:]
        }
        self.assertIn('edge' if program == 'edge' else 'cluster', packages)
        self.assertFalse(packages & REGIONAL)

    def test_indirect_imports_are_found(self) -> None:
        packages = _reachable(SOURCE / 'wire' / 'client.py')
        self.assertIn('thrift', packages)
        self.assertIn('tornado', packages)
