#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python modules, so there is nothing to compile; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit('the stand-ins need Python 3.9')
for path in sorted(pathlib.Path('review/harness-2').glob('*.py')) + sorted(pathlib.Path('review').glob('*/case.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
CHECK
test -x target/main/daemon/burdockpaddled || echo "build-2: the gateway isn't built yet" >&2
