#!/usr/bin/env bash
# Builds the stand-ins of the third review. None of its cases has a script, so there is
# nothing to build.
set -euo pipefail
