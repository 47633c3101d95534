"""A reload of the settings while a process starts."""

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
from turmericmast.programs.settingsfile import SettingsFile
from turmericmast.programs.settingsreloader import SettingsReloader


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
            settings_file = SettingsFile(path)
            settings_file.mark_read()
            os.utime(path, ns=(0, 1))
            process = unittest.mock.Mock(
                settings_file=settings_file, load=lambda _: Success('new')
            )
            applied: list[Any] = []
            with SettingsReloader(process, applied.append) as reloader:
                reloader._check_file()
                reloader._check_file()
        self.assertEqual(applied, ['new'])
