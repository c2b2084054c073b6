#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are plain Python without dependencies and run from
# their sources, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/rig.py {6,7,8,9,10}/run.py <<'PYTHON'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON
