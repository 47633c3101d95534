"""Applies changes of the settings file while the process runs."""

import asyncio
import signal
from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING, Self, final

from returns.result import Success
from tornado.ioloop import PeriodicCallback

from turmericmast.instancesettings import InstanceSettings

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

CHECK_INTERVAL_MS = 1000
"""Milliseconds between two checks of the file, which can change unannounced."""


@final
class SettingsReloader:
    """Reloads the settings file on SIGHUP and whenever it has changed."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        apply: Callable[[InstanceSettings], object],
    ) -> None:
        """Call ``apply`` with new settings; ignore invalid ones."""
        self._process = process
        self._apply = apply
        self._settings_file = process.settings_file
        self._ticker = PeriodicCallback(self._check_file, CHECK_INTERVAL_MS)

    def __enter__(self) -> Self:
        """Begin to watch the signal and the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._ticker.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching the signal and the file."""
        self._ticker.stop()
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)

    def _check_file(self) -> None:
        if self._settings_file.has_changed():
            self._reload()

    def _reload(self) -> None:
        self._settings_file.mark_read()
        loaded = self._process.load(self._settings_file.path)
        if isinstance(loaded, Success):
            self._process.settings = loaded.unwrap()
            self._apply(self._process.settings)
            self._process.events.write('settings_reloaded')
        else:
            self._process.events.write(
                'settings_refused',
                reason=loaded.failure().show(),
            )
