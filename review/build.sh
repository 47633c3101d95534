#!/bin/bash
# Checks that the stand-ins of the cases compile; they need no other build.
# Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
python3 -c "
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
"
