#!/bin/sh
# Builds the stand-ins that the scripts start. They need the Python of the deploy
# file's build only, so this checks that each of them compiles.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib

for path in [pathlib.Path("standin.py"), *sorted(pathlib.Path(".").glob("*/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON
