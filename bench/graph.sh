#!/usr/bin/env bash
# Reading and planning of large Makefiles and Snakefiles without a site (-n): wall time and peak memory, from 1,000 to 20,000 targets.
# usage: bench/graph.sh [BUILD-DIR] [COUNT...]
set -eu
build=$(realpath "${1:-build}"); shift || true
counts=("$@"); [ ${#counts[@]} -gt 0 ] || counts=(1000 5000 10000 20000)
dir=$(mktemp -d); trap 'rm -rf "$dir"' EXIT
run() { # label, command...
    local label=$1; shift
    /usr/bin/time -f "%e s  %M KB" -o "$dir/time" "$@" > "$dir/out"
    printf '%-28s %s\n' "$label" "$(cat "$dir/time")"
}
for n in "${counts[@]}"; do
    mkdir -p "$dir/$n"
    # Layers of a hundred, each target needing three of the layer before: explicit rules.
    awk -v n="$n" 'BEGIN { printf "all:"; for (i = n - 100; i < n; i++) printf " t%d", i; print "";
        for (i = 0; i < n; i++) { printf "t%d:", i; if (i >= 100) { l = int(i / 100) * 100 - 100; for (k = 0; k < 3; k++) printf " t%d", l + (i * 7 + k * 31) % 100 } print ""; printf "\t@echo %d > $@\n", i } }' > "$dir/$n/layers.mk"
    awk -v n="$n" 'BEGIN { print "all: $(patsubst %,out/%.txt,$(shell seq " n "))"; print "out/%.txt: src/%.in"; print "\t@cat $< > $@" }' > "$dir/$n/pattern.mk"
    mkdir -p "$dir/$n/src"; (cd "$dir/$n/src" && seq "$n" | sed 's/$/.in/' | xargs touch)
    awk -v n="$n" 'BEGIN { print "all: c" n-1; print "c0:\n\t@echo 0 > $@"; for (i = 1; i < n; i++) printf "c%d: c%d\n\t@cat $< > $@\n", i, i - 1 }' > "$dir/$n/chain.mk"
    printf 'rule all:\n    input: expand("out/{n}.txt", n=range(1, %d))\nrule one:\n    input: "src/{n}.in"\n    output: "out/{n}.txt"\n    shell: "cat {input} > {output}"\n' "$((n + 1))" > "$dir/$n/Snakefile"
    for kind in layers pattern chain; do run "make $kind $n" "$build/barrowctl" make -n -C "$dir/$n" -f $kind.mk; done
    run "snake $n" "$build/barrowctl" snake -n -C "$dir/$n"
done
