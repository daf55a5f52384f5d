#!/usr/bin/env bash
# Plays two commits in pairs on the users' bench, on the same days and seeds, and prints the worth of each and the difference.
# usage: scripts/compare.sh BENCH A B SITE DAYS SEEDS    (DAYS and SEEDS separated by commas; a seed - is the day's own)
# A pair is played at the same time, so that both meet the same load of the machine, each on two processors: left to itself a
# play takes all and the pair waits in turn. Journal entries are brought back.
set -euo pipefail
bench=$(realpath "$1") a=$2 b=$3 site=$(realpath "$4") days=${5//,/ } seeds=${6//,/ }
here=$(git rev-parse --show-toplevel)
# Not under /tmp: each process of the bench has one of its own.
work=$(mktemp -d "$here/../compare-XXXXXX")
for commit in "$a" "$b"; do
	git clone -q "$here" "$work/$commit"
	git -C "$work/$commit" checkout -q "$commit"
done

play() {
	local commit=$1 day=$2 seed=$3 choice=()
	[ "$seed" = - ] || choice=(--seed "$seed")
	cd "$work/$commit"
	"$bench" run "$site" "$day" "${choice[@]}" --jobs 2 --why "trial: compare $a with $b" >"$work/$commit-$day-$seed.log" 2>&1 || true
}
worth() { awk -v day="$1" '$1 == day { print $4; exit }' "$2"; }
broken() { grep -o 'BROKEN: [A-Z0-9, ]*' "$1" | head -1 || true; }

printf '%-12s %-14s %8s %8s %8s\n' day seed "$a" "$b" difference
differences=()
for day in $days; do
	for seed in $seeds; do
		play "$a" "$day" "$seed" &
		first=$!
		play "$b" "$day" "$seed"
		wait "$first"
		one=$(worth "$day" "$work/$a-$day-$seed.log") other=$(worth "$day" "$work/$b-$day-$seed.log")
		difference=$(awk -v one="${one:-0}" -v other="${other:-0}" 'BEGIN { printf "%.3f", other - one }')
		differences+=("$difference")
		printf '%-12s %-14s %8s %8s %8s %s / %s\n' "$day" "$seed" "${one:-none}" "${other:-none}" "$difference" \
			"$(broken "$work/$a-$day-$seed.log")" "$(broken "$work/$b-$day-$seed.log")"
	done
done
printf '%s\n' "${differences[@]}" | awk '
	{ sum += $1; squares += $1 * $1 }
	END { mean = sum / NR; printf "mean difference %.3f, spread %.3f, %d pairs\n", mean, sqrt(squares / NR - mean * mean), NR }'
for commit in "$a" "$b"; do cp -rn "$work/$commit/journal/." "$here/journal/"; done
echo "logs in $work"
