"""Runs a program from a checkout, with the settings file of the platform."""

import gc
import importlib
import os
import pathlib
import signal
import sys

SETTINGS_VARIABLE = 'TURMERICMAST_NODE_FILE'
"""Environment variable with the path of the settings file."""


def main() -> None:
    """Run the program that the first argument names."""
    # The program has yet to read its settings, and would end by this signal
    # until it watches for it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing modules creates no garbage, so collections would only slow the
    # start down. The program turns them on again.
    gc.disable()
    source = pathlib.Path(__file__).resolve().parent.parent / 'src'
    sys.path.insert(0, str(source))
    program = importlib.import_module(f'turmericmast.programs.{sys.argv[1]}')
    settings = os.environ.get(SETTINGS_VARIABLE, '')
    sys.argv = [sys.argv[0], f'--settings={settings}', *sys.argv[2:]]
    program.main()


if __name__ == '__main__':
    main()
