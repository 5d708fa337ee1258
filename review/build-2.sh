#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/6 to review/10 start. They need Python 3.11
# and its standard library only; what the project's program needs is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standins2
PYTHONPATH=review python3 -c 'import standins2.scene'
