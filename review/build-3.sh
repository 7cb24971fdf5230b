#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The nodes are built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/ ./review/mesh-3
