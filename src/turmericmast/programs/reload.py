"""Take over settings that changed while the process runs."""

import asyncio
import pathlib
import signal
from collections.abc import Callable
from types import TracebackType
from typing import Self, final

from returns.result import Success
from tornado.ioloop import PeriodicCallback

from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.runner import Process, settings_path

LOOK_MS = 1000
"""Time between two looks at the settings file, which may change unsaid."""


@final
class Reloading:
    """Reads the settings file again on SIGHUP and when it has changed."""

    def __init__(
        self,
        process: Process[InstanceSettings],
        apply: Callable[[InstanceSettings], object],
    ) -> None:
        """Call ``apply`` with good settings; bad ones change nothing."""
        self._process = process
        self._apply = apply
        self._path = settings_path()
        self._seen = _stamp(self._path)
        self._ticker = PeriodicCallback(self._look, LOOK_MS)

    def __enter__(self) -> Self:
        """Watch signal and file."""
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
        """Stop watching."""
        self._ticker.stop()
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)

    def _look(self) -> None:
        seen = _stamp(self._path)
        if seen != self._seen:
            self._reload()

    def _reload(self) -> None:
        self._seen = _stamp(self._path)
        loaded = self._process.load(self._path)
        if isinstance(loaded, Success):
            self._process.settings = loaded.unwrap()
            self._apply(self._process.settings)
            self._process.events.write('settings_reloaded')
        else:
            self._process.events.write(
                'settings_refused',
                reason=loaded.failure().show(),
            )


def _stamp(path: pathlib.Path) -> tuple[int, int]:
    """Return what tells two contents of a file apart; zeros for none."""
    try:
        found = path.stat()
    except OSError:
        # A missing file shows as a change as soon as it is back.
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)
