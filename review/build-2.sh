#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are plain modules for Node.js, which need no build: checks that each
# can be read, and that the build of the deploy file has left its programs.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do node --check "$file"; done
ls target/core.js target/front.js > /dev/null
