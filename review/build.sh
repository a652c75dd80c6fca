#!/bin/bash
# The stand-ins are Python files of the standard library and need no build; this checks that they
# compile. The entry hosts need the build of deploy/system.toml (target/deps) and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
CHECK
test -d ../target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
