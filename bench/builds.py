"""Builds of this repository that run side by side, as during an upgrade."""

import pathlib
import shutil
import subprocess
import sys
import tarfile

from bench.machines import ROOT

REPLAY = pathlib.Path(__file__).parent / 'replay.py'


def extract_build(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Return a new folder with the sources of a commit of this repository.

    Raises ``CalledProcessError`` if the repository does not have the commit.
    """
    root = folder / f'build-{commit}'
    archive = folder / f'build-{commit}.tar'
    subprocess.run(
        ['git', 'archive', f'--output={archive}', commit, 'src', 'deploy'],
        cwd=ROOT,
        check=True,
    )
    with tarfile.open(archive) as tar:
        tar.extractall(root, filter='data')
    return root


def differing_states(
    roots: tuple[pathlib.Path, ...], folder: pathlib.Path
) -> list[str]:
    """Return the data folders in ``folder`` that builds read differently.

    Each build reads a copy, applies its log up to where it is committed, and
    describes the state. No process may use the folders.
    """
    differing = []
    for data in sorted(folder.glob('data-core-*')):
        states = [_replay(root, data) for root in roots]
        if len(set(states)) > 1:
            differing.append(f'{data.name}: {states}')
    return differing


def _replay(root: pathlib.Path, data: pathlib.Path) -> str:
    copy = data.with_name('replayed')
    shutil.copytree(data, copy)
    state = subprocess.check_output(
        [sys.executable, str(REPLAY), str(copy)],
        env={'PYTHONPATH': str(root / 'src')},
        text=True,
    )
    shutil.rmtree(copy)
    return state.strip()
