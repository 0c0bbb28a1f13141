#!/usr/bin/env bash
# Builds the project's own stand-ins that the scripts of this folder start. Run it after the build of
# deploy/system.toml, from anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
