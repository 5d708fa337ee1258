#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python without dependencies, so they are compiled
# only to find errors. The edges need the build of deploy/system.toml besides.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
from pathlib import Path

for path in sorted(Path().rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
