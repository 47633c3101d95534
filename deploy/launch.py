"""Start one of the programs from a checkout, with the platform's settings."""

import gc
import importlib
import os
import pathlib
import sys

SETTINGS_VARIABLE = 'TURMERICMAST_NODE_FILE'
"""Environment variable in which the platform names the settings file."""


def main() -> None:
    """Run the program that the first argument names."""
    # Imports make no garbage; the program turns collections on again.
    gc.disable()
    source = pathlib.Path(__file__).resolve().parent.parent / 'src'
    sys.path.insert(0, str(source))
    program = importlib.import_module(f'turmericmast.programs.{sys.argv[1]}')
    settings = os.environ.get(SETTINGS_VARIABLE, '')
    sys.argv = [sys.argv[0], f'--settings={settings}', *sys.argv[2:]]
    program.main()


if __name__ == '__main__':
    main()
