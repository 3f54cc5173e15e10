#!/usr/bin/env bash
# 200 rules of 0.5 s each on 8 CPUs: plain `make -j8` against the same rules on a loopback site of 8 machines with one
# CPU each. Prints both wall times and their ratio, and what the time on the site went into.
# usage: bench/wide.sh [BUILD-DIR] [RULES] [SECONDS]
set -eu
build=$(realpath "${1:-build}") rules=${2:-200} seconds=${3:-0.5}
dir=$(mktemp -d); trap 'rm -rf "$dir"' EXIT
make_rules() {
    mkdir -p "$1"
    # shellcheck disable=SC2016  # make's dollars, not the shell's
    { printf 'all: $(patsubst %%,t%%,$(shell seq %s))\n' "$rules"; printf 't%%:\n\t@sleep %s; echo $* > $@\n' "$seconds"; } > "$1/Makefile"
}
now() { date +%s.%N; }
make_rules "$dir/plain"; make_rules "$dir/site"
t0=$(now); make -s -j8 -C "$dir/plain"; t1=$(now)
plain=$(echo "$t1 - $t0" | bc)
# Its own time only: the site is up before, and machines have reported.
cat > "$dir/measure" <<MEASURE
sleep 3
t0=\$(date +%s.%N); "$build/barrowctl" --json make -C "$dir/site" > "$dir/out"; t1=\$(date +%s.%N)
echo "\$t1 - \$t0" | bc > "$dir/took"
MEASURE
"$build/barrowrun-lab" run --machines 8 --cpus 1 --dir "$dir/lab" -- bash "$dir/measure"
diff -r --exclude=.barrowrun "$dir/plain" "$dir/site"
took=$(cat "$dir/took")
ran=$(grep -o '"ran_s":[0-9.]*' "$dir/out" | cut -d: -f2 | awk '{s+=$1; n++} END {printf "%.4f", s/n}')
echo "rules $rules of $seconds s, 8 at once"
echo "plain make -j8   $plain s"
echo "on the site      $took s"
echo "ratio            $(echo "scale=3; $took / $plain" | bc)"
echo "mean run on its machine $ran s; between two runs on one CPU $(echo "scale=4; $took / ($rules / 8) - $ran" | bc) s"
