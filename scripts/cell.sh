#!/usr/bin/env bash
# Starts a cell of seven instances as separate processes on loopback, with fake workers, and prints each
# command. Ctrl-C stops them all as planned. Data goes to the folder given, ./data by default.
set -euo pipefail
cd "$(dirname "$0")/.."
data="${1:-data}"
export RR_PEERS="isani-1@isani=127.0.0.1:7101,disk;isani-2@isani=127.0.0.1:7102;saburtalo-1@saburtalo=127.0.0.1:7103,disk;saburtalo-2@saburtalo=127.0.0.1:7104;vake-1@vake=127.0.0.1:7105,disk;vake-2@vake=127.0.0.1:7106;vake-3@vake=127.0.0.1:7107"
started=()
run() {
	echo "$*"
	"$@" &
	started+=("$!")
}
trap 'kill "${started[@]}" 2>/dev/null; wait' EXIT INT TERM

fleet="$(mktemp)"
node apps/bench/dist/fleet.js 10 1 >"$fleet" &
started+=("$!")
until [ -s "$fleet" ]; do sleep 0.1; done
RR_PLATFORM="$(node -p "JSON.parse(require('fs').readFileSync('$fleet', 'utf8')).platform")"
export RR_PLATFORM

number=1
for id in isani-1 isani-2 saburtalo-1 saburtalo-2 vake-1 vake-2 vake-3; do
	disk=()
	case "$id" in *-1) mkdir -p "$data/$id" && disk=(--data "$data/$id") ;; esac
	run node apps/control/dist/main.js --id "$id" --operators "127.0.0.1:720$number" "${disk[@]}"
	run node apps/entry/dist/main.js --id "$id" --callers "127.0.0.1:730$number"
	number=$((number + 1))
done
wait
