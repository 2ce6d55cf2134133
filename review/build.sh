#!/usr/bin/env bash
# Build the stand-ins of the scripts. They are Python and need nothing beside the standard library,
# so this only checks that they compile. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed.")
for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
PYTHON
