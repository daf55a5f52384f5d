#!/usr/bin/env bash
# Plays every day of deploy/days/ on a site and prints one table. Needs the users' bench, whose path is
# the first argument; the site file is the second. Not part of CI.
set -uo pipefail
cd "$(dirname "$0")/.."
bench="$1"
site="$2"
out="$(mktemp -d)"
for day in deploy/days/*.toml; do
	name="$(basename "$day" .toml)"
	"$bench" run "$site" "$day" --why "own day $name" >"$out/$name.log" 2>&1
	row="$(grep -A1 '^day ' "$out/$name.log" | tail -1)"
	echo "${row:-$name could not be played, see $out/$name.log}"
	grep -E '^rules broken|short of the gate' "$out/$name.log" | sed 's/^/    /'
done
echo "logs in $out"
