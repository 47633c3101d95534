"""Start-up shared by all programs: flags, settings, events and signals."""

import asyncio
import contextlib
import gc
import pathlib
import secrets
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Generic, Protocol, TypeAlias, TypeVar, final

from absl import app, flags, logging
from returns.result import Result, Success

from turmericmast.clock import Clock, HybridClock, SystemClock
from turmericmast.events import EventLog
from turmericmast.exceptions import SettingsError, TurmericmastError
from turmericmast.ids import Incarnation
from turmericmast.linewriter import LineWriter
from turmericmast.metrics import Metrics
from turmericmast.programs.settingsfile import SettingsFile
from turmericmast.version import VERSION
from turmericmast.wire.link import ProcessContext

INCARNATION_BYTES = 6
"""Random bytes of an incarnation.

Enough that no two starts in a fleet get the same within years."""
GC_THRESHOLD = 5_000
"""Net allocations of objects that start a collection of generation 0.

Objects that exist after the imports are never looked at, so a collection takes
under a millisecond."""

MAX_PORT = 65_535
"""Largest port number of TCP and UDP."""

SETTINGS = flags.DEFINE_string('settings', '', 'Settings file, in JSON.')
CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')
METRICS_PORT = flags.DEFINE_integer(
    'metrics_port',
    0,
    'Port at which metrics alone are served; 0 for none.',
    lower_bound=0,
    upper_bound=MAX_PORT,
)
VERSION_FLAG = flags.DEFINE_bool('version', False, 'Show the version and exit.')


class AnySettings(Protocol):
    """The settings that all programs have in common."""

    @property
    def name(self) -> str:
        """Return the name of the process, which events carry."""

    @property
    def events(self) -> pathlib.Path | None:
        """Return the file to which events are written, ``None`` for none."""

    @property
    def logs_to_stdout(self) -> bool:
        """Tell whether events go to standard output, as JSON lines."""


SettingsT = TypeVar('SettingsT', bound=AnySettings)
LoadSettings: TypeAlias = Callable[[pathlib.Path], Result[Any, SettingsError]]


@final
class Process(Generic[SettingsT]):
    """Settings, clock, metrics and events of a running process."""

    def __init__(
        self,
        settings: SettingsT,
        events: EventLog,
        load: LoadSettings,
        settings_file: SettingsFile,
    ) -> None:
        """Create the clock, the metrics and a random incarnation.

        ``load`` reads the settings again when ``settings_file`` changes.
        """
        self.settings_file = settings_file
        self.settings = settings
        self.events = events
        self.load = load
        self.clock: Clock = SystemClock()
        self.metrics = Metrics()
        self.stop = asyncio.Event()
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        """Identifies this start of the process."""
        self.context = ProcessContext(settings.name, events.clock, self.metrics)


ProgramMain: TypeAlias = Callable[
    [Process[Any], contextlib.ExitStack],
    Awaitable[None],
]


def run_program(main: ProgramMain, load: LoadSettings) -> None:
    """Run a program until SIGTERM or SIGINT; ``load`` reads its settings."""
    app.run(lambda arguments: _start(main, load, arguments))


def _start(
    main: ProgramMain, load: LoadSettings, arguments: Sequence[str]
) -> int:
    if VERSION_FLAG.value:
        sys.stdout.write(f'turmericmast {VERSION}\n')
        return 0
    settings_file = SettingsFile(pathlib.Path(SETTINGS.value))
    settings_file.mark_read()
    loaded = load(settings_file.path)
    if not isinstance(loaded, Success):
        return _report_error(loaded.failure())
    if CHECK.value:
        sys.stdout.write(f'{SETTINGS.value}: good\n')
        return 0
    logging.set_verbosity(logging.INFO)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    try:
        asyncio.run(_run(main, loaded.unwrap(), load, settings_file))
    except TurmericmastError as error:
        return _report_error(error)
    except OSError as error:
        return _report_error(
            SettingsError(
                str(error),
                step='start',
                hint='check the addresses and paths in the settings',
            ),
        )
    return 0


async def _run(
    main: ProgramMain,
    settings: Any,
    load: LoadSettings,
    settings_file: SettingsFile,
) -> None:
    clock = HybridClock(SystemClock())
    with contextlib.ExitStack() as stack:
        writer = (
            stack.enter_context(LineWriter(sys.stdout.fileno()))
            if settings.logs_to_stdout
            else None
        )
        events = stack.enter_context(
            EventLog(settings.name, settings.events, clock, writer),
        )
        process = Process(settings, events, load, settings_file)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, process.stop.set)
        events.write('started', version=VERSION)
        await main(process, stack)
        events.write('stopped')


def _report_error(error: TurmericmastError) -> int:
    sys.stderr.write(f'{error.show()}\n')
    return error.exit_status
