#!/usr/bin/env bash
# Builds every stand-in that a script of this review starts: the project's own stand-in of the store. The servers and
# callers are plain modules beside the scripts and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
