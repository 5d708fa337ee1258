#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program of the deploy file. The
# stand-ins are plain Python of the standard library; they are compiled, so that a fault in one is
# found before a case runs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

paths = [*pathlib.Path("review/standins3").glob("*.py"), *pathlib.Path("review").glob("1[1-5]/*.py")]
for path in paths:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
