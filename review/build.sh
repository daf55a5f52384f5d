#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts, so nothing has to be compiled; this checks that the
# programs of the deploy file are built and that the scripts can be read.
set -euo pipefail
cd "$(dirname "$0")"
for program in ../target/core.js ../target/front.js; do
	[ -e "$program" ] || { echo "$program is missing: run the build of the deploy file first"; exit 1; }
done
for script in lib/*.mjs [0-9]/*.mjs; do node --check "$script"; done
