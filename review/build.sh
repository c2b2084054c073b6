#!/usr/bin/env bash
# The stand-ins of the cases need only Python's standard library: checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
