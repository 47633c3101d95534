"""What every program does: flags, settings, events, signals."""

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
from turmericmast.version import VERSION
from turmericmast.web.metricspage import make_metrics_server
from turmericmast.wire.link import Node

INCARNATION_OCTETS = 6
"""Random octets: no two starts of a fleet in years share them."""
GC_THRESHOLD = 50_000
"""Allocations between two collections of the youngest generation."""

HIGHEST_PORT = 65_535

SETTINGS = flags.DEFINE_string('settings', '', 'Settings file, in JSON.')
CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')
METRICS_PORT = flags.DEFINE_integer(
    'metrics_port',
    0,
    'Port at which metrics alone are served; 0 for none.',
    lower_bound=0,
    upper_bound=HIGHEST_PORT,
)
VERSION_FLAG = flags.DEFINE_bool('version', False, 'Show the version and exit.')


class AnySettings(Protocol):
    """What every program is told."""

    @property
    def name(self) -> str:
        """Return the name of the process."""

    @property
    def events(self) -> pathlib.Path | None:
        """Return the file for events, if there is one."""

    @property
    def logs_to_stdout(self) -> bool:
        """Tell whether events go to standard output, as JSON lines."""


SettingsT = TypeVar('SettingsT', bound=AnySettings)
Load: TypeAlias = Callable[[pathlib.Path], Result[Any, SettingsError]]


@final
class Process(Generic[SettingsT]):
    """The parts that belong to the process as a whole."""

    def __init__(
        self,
        settings: SettingsT,
        events: EventLog,
        load: Load,
    ) -> None:
        """Join settings, clock, metrics and events."""
        self.settings = settings
        self.events = events
        self.load = load
        self.clock: Clock = SystemClock()
        self.metrics = Metrics()
        self.stop = asyncio.Event()
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_OCTETS))
        """Names this start of the process."""
        self.node = Node(settings.name, events.clock, self.metrics)


Main: TypeAlias = Callable[
    [Process[Any], contextlib.ExitStack],
    Awaitable[None],
]


def run_program(main: Main, load: Load) -> None:
    """Run a program until it is told to stop; ``load`` reads its settings."""
    app.run(lambda arguments: _start(main, load, arguments))


def settings_path() -> pathlib.Path:
    """Return the settings file that the process was given."""
    return pathlib.Path(SETTINGS.value)


def _start(main: Main, load: Load, arguments: Sequence[str]) -> int:
    if VERSION_FLAG.value:
        sys.stdout.write(f'turmericmast {VERSION}\n')
        return 0
    loaded = load(settings_path())
    if not isinstance(loaded, Success):
        return _complain(loaded.failure())
    if CHECK.value:
        sys.stdout.write(f'{SETTINGS.value}: good\n')
        return 0
    logging.set_verbosity(logging.INFO)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    try:
        asyncio.run(_run(main, loaded.unwrap(), load))
    except TurmericmastError as error:
        return _complain(error)
    except OSError as error:
        return _complain(
            SettingsError(
                str(error),
                step='start',
                hint='check the addresses and paths in the settings',
            ),
        )
    return 0


def serve_metrics(
    process: Process[Any],
    stack: contextlib.ExitStack,
    host: str,
) -> None:
    """Serve the metrics at the port of the flag, if it names one."""
    if METRICS_PORT.value:
        server = make_metrics_server(process.metrics)
        server.listen(METRICS_PORT.value, host)
        stack.callback(server.stop)


async def _run(main: Main, settings: Any, load: Load) -> None:
    clock = HybridClock(SystemClock())
    with contextlib.ExitStack() as stack:
        sink = (
            stack.enter_context(LineWriter(sys.stdout.fileno()))
            if settings.logs_to_stdout
            else None
        )
        events = stack.enter_context(
            EventLog(settings.name, settings.events, clock, sink),
        )
        process = Process(settings, events, load)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, process.stop.set)
        events.write('started', version=VERSION)
        await main(process, stack)
        events.write('stopped')


def _complain(error: TurmericmastError) -> int:
    sys.stderr.write(f'{error.show()}\n')
    return error.exit_status
