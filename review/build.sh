#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need nothing but Python's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness
