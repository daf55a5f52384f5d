#!/usr/bin/env bash
# The regression runs: what earlier deployments have reached must hold (0.03 is noise). Needs the users' bench, whose path is
# the first argument; the folder of their site files is the second. Small sites are scored whole; of the large ones, whose
# days take minutes, the days named here are played. Not part of CI.
set -uo pipefail
cd "$(dirname "$0")/.."
bench="$1"
sites="$2"
out="$(mktemp -d)"
SCORED=(sites/zth-rill further/umurava-kigali)
PLAYED=(large/mtkvari-petitions-large:trouble-1 large/mtkvari-petitions-large:scale-1 further-grown/umurava-kigali-grown:scale-1)

# What a play's output says of its days: their rows, the gate, and each rule that was broken.
# The last line is what a day is given up for when it is too much: the processor time of our own processes.
tell() {
	grep -E '^(quiet|trouble|scale|fresh)-[0-9a-f]+ +[0-9]+/|^GATE|^rules broken|short of the gate' "$1"
	sed -nE "s/^to play it took.* ([0-9.]+) s in the processes' own code.*/own code: \1 s of processor time/p" "$1"
}

for site in "${SCORED[@]}"; do
	log="$out/$(basename "$site").log"
	"$bench" score "$sites/$site.toml" --why 'regression run' >"$log" 2>&1
	echo "$site"
	tell "$log"
done
for play in "${PLAYED[@]}"; do
	site="${play%%:*}"
	day="${play##*:}"
	log="$out/$(basename "$site")-$day.log"
	"$bench" run "$sites/$site.toml" "$day" --why 'regression run' >"$log" 2>&1
	echo "$site $day"
	tell "$log"
done
echo "logs in $out"
