"""A reload of the settings while a process starts."""

import asyncio
import contextlib
import os
import pathlib
import signal
import tempfile
import unittest.mock
from types import SimpleNamespace
from typing import Any

from returns.result import Success

from deploy import launch
from turmericmast.programs import settingsreloader


class EarlyReloadTest(unittest.IsolatedAsyncioTestCase):
    """A process survives a reload during its start, and carries it out."""

    # Guards against a process that is ended by SIGHUP in the first 0.3 s.
    def test_signal_before_the_program_runs(self) -> None:
        dispositions: list[Any] = []

        def main() -> None:
            dispositions.append(signal.getsignal(signal.SIGHUP))

        with contextlib.ExitStack() as stack:
            before = signal.getsignal(signal.SIGHUP)
            stack.callback(signal.signal, signal.SIGHUP, before)
            stack.enter_context(unittest.mock.patch('gc.disable'))
            for name, substitute in (
                ('sys.argv', ['launch.py', 'core']),
                ('sys.path', []),
            ):
                stack.enter_context(unittest.mock.patch(name, substitute))
            stack.enter_context(
                unittest.mock.patch(
                    'importlib.import_module',
                    return_value=SimpleNamespace(main=main),
                )
            )
            launch.main()
        self.assertEqual(dispositions, [signal.SIG_IGN])

    # Guards against settings that changed after they were read and before
    # their file was watched.
    async def test_change_before_the_file_is_watched(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            path.write_text('old', encoding='utf-8')
            version = (path.stat().st_mtime_ns, path.stat().st_size)
            os.utime(path, ns=(0, version[0] + 1))
            process = unittest.mock.Mock(
                settings_version=version, load=lambda _: Success('new')
            )
            applied: list[Any] = []
            with unittest.mock.patch.object(
                settingsreloader, 'settings_path', lambda: path
            ):
                reloader = settingsreloader.SettingsReloader(
                    process, applied.append
                )
            with (
                unittest.mock.patch.object(
                    settingsreloader, 'CHECK_INTERVAL_MS', 1
                ),
                reloader,
            ):
                reloader._check_file()
                reloader._check_file()
            await asyncio.sleep(0)
        self.assertEqual(applied, ['new'])
